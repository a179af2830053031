package control

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"wisteriafield/internal/base/validanswer"
)

// ErrUnreachable means that a peer could not be reached or did not answer in time.
var ErrUnreachable = errors.New("peer unreachable")

const (
	dialTimeout = 300 * time.Millisecond
	// idleTimeout closes an unused connection, so that a large fleet does not hold
	// a connection for every pair of routers.
	idleTimeout = 30 * time.Second
)

// Client calls other routers.
type Client struct {
	CallsSent atomic.Int64

	credential string
	mu         sync.Mutex
	conns      map[string]*peerConn
}

// peerConn is the connection to one peer address.
type peerConn struct {
	rpc    *jsonrpc2.Conn
	usedAt time.Time
}

// NewClient returns a client that authenticates to peers with the credential.
func NewClient(credential string) *Client {
	return &Client{credential: credential, conns: make(map[string]*peerConn)}
}

// Call calls a method of the router at a peer address. If no answer comes in time, it
// closes the connection, which may stay silent for good. An error that the peer returns
// and a cancellation by the caller leave it open: other calls use it.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	rpc, err := c.conn(ctx, address)
	if errors.Is(ctx.Err(), context.Canceled) {
		return fmt.Errorf("%s: %w", method, context.Canceled)
	}
	if err != nil {
		return fmt.Errorf("%s: %v: %w", method, err, ErrUnreachable)
	}
	c.CallsSent.Add(1)
	err = rpc.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return fmt.Errorf("%s: %w", method, err)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return fmt.Errorf("%s: %w", method, context.Canceled)
	}
	c.closeConn(address, rpc)
	return fmt.Errorf("%s: %v: %w", method, err, ErrUnreachable)
}

// CloseIdle closes the connections that have been unused for idleTimeout.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.conns {
		if now.Sub(p.usedAt) > idleTimeout {
			delete(c.conns, address)
			_ = p.rpc.Close()
		}
	}
}

// conn returns the connection to an address and dials it if there is none.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	p := c.conns[address]
	if p != nil {
		p.usedAt = time.Now()
	}
	c.mu.Unlock()
	if p != nil {
		return p.rpc, nil
	}
	rpc, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		_ = rpc.Close()
		return other.rpc, nil
	}
	c.conns[address] = &peerConn{rpc: rpc, usedAt: time.Now()}
	return rpc, nil
}

// closeConn closes a connection and removes it from the client, unless another has
// replaced it there.
func (c *Client) closeConn(address string, rpc *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.conns[address]; p != nil && p.rpc == rpc {
		delete(c.conns, address)
	}
	_ = rpc.Close()
}

func (c *Client) dial(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &boundedConn{Conn: dialed, left: maxUpgradeBytes}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if err := c.upgrade(conn, address); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return jsonrpc2.NewConn(context.Background(), newStream(conn), jsonrpc2.HandlerWithError(refuse)), nil
}

// upgrade switches an HTTP connection to the control protocol.
func (c *Client) upgrade(conn net.Conn, address string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+controlPath, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", controlProtocol)
	req.Header.Set("Authorization", "Bearer "+c.credential)
	if err := req.Write(conn); err != nil {
		return fmt.Errorf("send upgrade: %w", err)
	}
	res, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), req)
	if err != nil {
		return fmt.Errorf("read upgrade: %w", err)
	}
	if err := validanswer.Check(res, http.StatusSwitchingProtocols); err != nil {
		return fmt.Errorf("read upgrade: %w", err)
	}
	if res.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("upgrade refused with status %d", res.StatusCode)
	}
	return nil
}

// refuse rejects calls from the peer: a connection carries the calls of the dialling
// side only.
func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
}
