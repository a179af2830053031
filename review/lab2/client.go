package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the answer is missing or incomplete
}

// send sends a request on a connection of its own and reads the answer to its end. The target
// goes out as it is.
func send(address, method, target, id, headers, body string, timeout time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s\r\n%s",
		method, target, host, id, timeout.Milliseconds(), length, headers, body)
	if err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, res.Header, string(data), err}
}

// host is the host of all routes.
const host = "desk.example"

// route is a route of the operator's configuration.
func route(name, prefix, kind, service string, timeoutMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "type": kind, "timeoutMs": timeoutMs, "goalMs": 300, "priority": 2,
		"service": service, "attempts": attempts, "public": true, "sticky": false, "resumable": false,
	}
}

// service is a service of the operator's configuration.
func service(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}
}

// config is a configuration of the operator.
func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// startServer starts a stand-in of a server with more flags.
func (f *fleet) startServer(id, address, service string, flags ...string) (*process, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find program: %w", err)
	}
	args := append([]string{"server", "--id", id, "--listen", address, "--service", service, "--store", f.store}, flags...)
	p, err := f.run(id, nil, exe, args...)
	if err != nil {
		return nil, err
	}
	p.address = address
	return p, nil
}

// copyLog appends the record of a stand-in to the case's record.
func (f *fleet) copyLog(name string) string {
	data, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(data)) {
		f.logf("record of %s: %s", name, strings.TrimSpace(line))
	}
	return string(data)
}
