package faults

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Server serves a stand-in in this process. It can be killed and restarted on the same
// address.
type Server struct {
	Injector *Injector
	Address  string

	handler http.Handler
	http    *http.Server
}

// Start serves the handler with the faults of the injector. Port 0 in the address picks
// a free port.
func Start(address string, injector *Injector, handler http.Handler) (*Server, error) {
	s := &Server{Injector: injector, Address: address, handler: handler}
	return s, s.Restart()
}

// Restart listens on the same address again after Kill.
func (s *Server) Restart() error {
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.Address = ln.Addr().String()
	s.http = &http.Server{
		Handler:           s.Injector.Wrap(s.handler),
		ConnContext:       s.Injector.ConnContext,
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func(srv *http.Server) { _ = srv.Serve(ln) }(s.http)
	return nil
}

// Kill closes the listener and all connections immediately.
func (s *Server) Kill() { _ = s.http.Close() }
