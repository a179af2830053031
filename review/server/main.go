// Command server is a stand-in for one backend server of the users' platform: a model engine
// that streams events and keeps backups of runs, or a service.
package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"wisteriafield/platform/kv"
)

const (
	heartbeat = 1200 * time.Millisecond
	// handleTime is how long a copy is kept after its last part (handleS).
	handleTime = 4 * time.Second
	// copyInterval is the time between two parts of a copy.
	copyInterval = 150 * time.Millisecond
	// bodyBytes is the size of a service's answer, and bodyParts how many writes it takes.
	bodyBytes = 800
	bodyParts = 4
	copiesURL = "/review/copies/"
	// crashTime is how long a deadly request runs before the server crashes.
	crashTime = 10 * time.Millisecond
)

var (
	name     = flag.String("name", "", "name of the server")
	service  = flag.String("service", "", "service")
	zone     = flag.String("zone", "", "zone")
	listen   = flag.String("listen", "", "IP:PORT")
	store    = flag.String("store", "", "IP:PORT of the store")
	runLog   = flag.String("log", "", "file that gets a line for each run")
	engine   = flag.Bool("engine", false, "is a model engine")
	unframed = flag.Bool("unframed", false, "answers have no length and end with their connection")
	work     = flag.Duration("work", 15*time.Millisecond, "time of a call, or of reading a prompt")
	linger   = flag.Duration("linger", 6*time.Second, "time for which it serves on after it has left")
	deadly   = flag.String("deadly", "", "a request with this body crashes the server when it begins to run; empty for none")
	gap      = flag.Duration("gap", 30*time.Millisecond, "time between two parts of an answer")
)

// memory is what a run has in memory: what it was asked for decides what it generates.
type memory struct {
	Run    string // attempt ID of the request that began it
	Digest string // of its method, path and body
	Prefix string // X-Prefix-Hash
	Events int
}

type copied struct {
	memory
	expires time.Time
}

type server struct {
	id       string
	born     int64
	listener net.Listener

	// registration is held while the entry in the store is written or removed.
	registration sync.Mutex
	leaving      bool

	mu      sync.Mutex
	running map[string]memory
	copies  map[string]copied
}

func main() {
	flag.Parse()
	born := time.Now().UnixMilli()
	s := &server{id: fmt.Sprintf("%s-%d", *name, born), born: born, running: make(map[string]memory), copies: make(map[string]copied)}
	go s.keepRegistered()
	go s.leaveOnSignal()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", s.id) })
	mux.HandleFunc("GET /-/report", s.report)
	mux.HandleFunc("GET /-/kv-list", s.list)
	mux.HandleFunc("PUT "+copiesURL+"{id}", s.putCopy)
	mux.HandleFunc("DELETE "+copiesURL+"{id}", s.deleteCopy)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, "/-/") || strings.HasPrefix(r.RequestURI, copiesURL) || r.RequestURI == "/healthz" {
			mux.ServeHTTP(w, r)
			return
		}
		s.serve(w, r)
	})
	var err error
	if s.listener, err = net.Listen("tcp", *listen); err != nil {
		log.Fatal(err)
	}
	log.Fatal(http.Serve(s.listener, handler))
}

// crash ends the process. Its address refuses connections before the open ones end, so that a
// router that checks at once sees the crash.
func (s *server) crash() {
	_ = s.listener.Close()
	time.Sleep(time.Millisecond)
	os.Exit(2)
}

func (s *server) keepRegistered() {
	client := kv.New(kv.Config{Address: *store, Timeout: time.Second})
	ctx := context.Background()
	value, err := json.Marshal(map[string]any{
		"service": *service, "address": *listen, "zone": *zone, "version": "v1", "slots": s.slots(), "phase": "ready",
		"coldLeftMs": 0, "callSeq": 0, "born": s.born,
	})
	if err != nil {
		log.Fatal(err)
	}
	var lease string
	for ; ; time.Sleep(heartbeat) {
		s.registration.Lock()
		if s.leaving {
			s.registration.Unlock()
			return
		}
		if lease == "" || client.KeepAlive(ctx, lease) != nil {
			lease, err = client.Grant(ctx, 3*heartbeat)
			if err == nil {
				err = client.SetWithLease(ctx, s.key(), value, lease)
			}
			if err != nil {
				lease = ""
			}
		}
		s.registration.Unlock()
	}
}

func (s *server) key() string { return "servers/" + s.id }

// leaveOnSignal removes the server's entry at SIGTERM, without a report that it drains, serves
// on for a while and exits.
func (s *server) leaveOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	<-stop
	s.registration.Lock()
	s.leaving = true
	s.registration.Unlock()
	client := kv.New(kv.Config{Address: *store, Timeout: time.Second})
	for {
		v, err := client.Get(context.Background(), s.key())
		if err == nil {
			err = client.Delete(context.Background(), s.key(), v.Revision)
		}
		if err == nil {
			break
		}
		time.Sleep(heartbeat / 4)
	}
	s.note("leaves: removal of its entry acknowledged")
	time.Sleep(*linger)
	s.note("exits")
	os.Exit(0)
}

func (s *server) slots() int {
	if *engine {
		return 64
	}
	return 6
}

func (s *server) note(format string, args ...any) {
	f, err := os.OpenFile(*runLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer f.Close()
	now := time.Now()
	_, _ = f.WriteString(strconv.FormatInt(now.UnixMilli(), 10) + " " + s.id + " " + fmt.Sprintf(format, args...) + "\n")
}

func (s *server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	rows := make([][]any, 0, len(s.running))
	for id, m := range s.running {
		rows = append(rows, []any{id, 5200 + 6*m.Events, m.Events, 5})
	}
	s.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "born": s.born, "busy": false, "callSeq": 0,
		"queued": 0, "active": len(rows), "kvUsed": 5200 * len(rows), "kvTotal": 55000, "handles": 0, "runs": rows,
	})
}

func (s *server) list(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]any{"epoch": s.born, "next": 1, "held": [][]any{}, "born": s.born})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *server) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	m := memory{Run: id, Digest: digest(r.Method + " " + r.RequestURI + "\n" + string(body)), Prefix: r.Header.Get("X-Prefix-Hash")}
	if from := r.Header.Get("Kv-From"); from != "" {
		kept, ok := s.takeCopy(from[strings.LastIndexByte(from, '/')+1:])
		if !ok || kept.Prefix != m.Prefix {
			s.refuse(w, http.StatusServiceUnavailable)
			return
		}
		s.note("run id=%s %s %s digest=%s goes on after event %s from the memory of run=%s digest=%s", id, r.Method, r.RequestURI, m.Digest, r.Header.Get("Last-Event-Id"), kept.Run, kept.Digest)
		m.Digest = kept.Digest
	} else {
		s.note("run id=%s %s %s digest=%s", id, r.Method, r.RequestURI, m.Digest)
	}
	s.begin(id, m)
	defer s.end(id)
	if *deadly != "" && string(body) == *deadly {
		time.Sleep(crashTime)
		s.note("crashes by id=%s", id)
		s.crash()
	}
	if *engine {
		s.stream(w, r, id, m)
		return
	}
	time.Sleep(*work)
	s.answer(w, id, m)
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:6])
}

func (s *server) begin(id string, m memory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id] = m
}

func (s *server) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id)
}

// answer sends the answer of a service in some parts. Its seal has the digest of the body.
func (s *server) answer(w http.ResponseWriter, id string, m memory) {
	body := []byte("answer to " + m.Digest + " ")
	for len(body) < bodyBytes {
		body = append(body, m.Digest...)
	}
	seal := fmt.Sprintf("%s.%d.%s", s.id, len(body), digest(string(body)))
	if !*unframed {
		w.Header().Set("X-Server-Seal", seal)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nConnection: close\r\n\r\n", id, seal)
	for i := range bodyParts {
		if i > 0 {
			time.Sleep(*gap)
		}
		if _, err := conn.Write(body[i*len(body)/bodyParts : (i+1)*len(body)/bodyParts]); err != nil {
			return
		}
	}
}

// stream sends the events of a generation. The data of an event names what it was generated
// for: the digest of the request that began the run.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, m memory) {
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(output)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if r.Header.Get("Kv-From") == "" {
		time.Sleep(*work)
	}
	w.Header().Set("X-Server-Seal", s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	backup := r.Header.Get("X-Kv-Backup")
	var sentAt time.Time
	for n := after + 1; n <= tokens/6; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(*gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, m.Digest, n); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		m.Events = n
		s.begin(id, m)
		if backup != "" && time.Since(sentAt) >= copyInterval {
			sentAt = time.Now()
			go sendCopy(http.MethodPut, backup, id, m)
		}
	}
	if backup != "" {
		go sendCopy(http.MethodDelete, backup, id, m)
	}
}

func sendCopy(method, address, id string, m memory) {
	body, err := json.Marshal(m)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+copiesURL+id, bytes.NewReader(body))
	if err != nil {
		return
	}
	if res, err := http.DefaultClient.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

func (s *server) putCopy(w http.ResponseWriter, r *http.Request) {
	var m memory
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[r.PathValue("id")] = copied{m, time.Now().Add(handleTime)}
}

func (s *server) deleteCopy(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.copies, r.PathValue("id"))
}

func (s *server) takeCopy(id string) (memory, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.copies[id]
	delete(s.copies, id)
	return c.memory, ok && time.Now().Before(c.expires)
}
