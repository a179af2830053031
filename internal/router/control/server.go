// Package control carries the short calls between routers as JSON-RPC 2.0. Each
// router opens one connection to a peer that it calls, upgraded from HTTP.
package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	controlPath     = "/peer/v1/control"
	controlProtocol = "wisteriafield-control"
)

// Handler handles the calls of one method.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers calls of other routers.
type Server struct {
	handlers map[string]Handler
}

// NewServer returns a server without methods.
func NewServer() *Server { return &Server{handlers: make(map[string]Handler)} }

// Handle adds a method. It must not be called after the first call arrived.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// Register adds the route of the control protocol to mux.
func (s *Server) Register(mux *http.ServeMux) { mux.HandleFunc("POST "+controlPath, s.serve) }

// Call handles a call from this process without a connection. Parameters and reply
// still pass through JSON.
func (s *Server) Call(ctx context.Context, method string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return fmt.Errorf("encode %s: %w", method, err)
	}
	value, err := s.dispatch(ctx, method, encoded)
	if err != nil {
		return err
	}
	reply, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode reply of %s: %w", method, err)
	}
	return json.Unmarshal(reply, result)
}

func (s *Server) dispatch(ctx context.Context, method string, params json.RawMessage) (any, error) {
	h := s.handlers[method]
	if h == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: method}
	}
	return h(ctx, params)
}

// serve upgrades a connection and handles its calls until it is closed.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != controlProtocol {
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	}
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = rw.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + controlProtocol + "\r\n\r\n")
	if err := rw.Flush(); err != nil {
		_ = conn.Close()
		return
	}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))
	rpc := jsonrpc2.NewConn(context.Background(), newStream(&boundedConn{Conn: conn}), handler)
	<-rpc.DisconnectNotify()
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return s.dispatch(ctx, req.Method, params)
}

// DecodeParams decodes the parameters of a call.
func DecodeParams[T any](params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return v, errors.WithStack(&jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
	}
	return v, nil
}
