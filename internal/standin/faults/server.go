package faults

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Server serves a stand-in in this process and can be killed and started again
// on the same address.
type Server struct {
	Injector *Injector
	Address  string

	handler http.Handler
	http    *http.Server
}

// Start serves the handler behind the gate. The address may end in port 0.
func Start(address string, gate *Injector, handler http.Handler) (*Server, error) {
	s := &Server{Injector: gate, Address: address, handler: handler}
	return s, s.Restart()
}

// Restart serves again after Kill.
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

// Kill closes the listener and all connections at once.
func (s *Server) Kill() { _ = s.http.Close() }
