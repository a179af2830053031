package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// Datagrams sends and receives datagrams.
type Datagrams struct {
	conn *net.UDPConn
}

// ListenDatagrams binds an address for datagrams.
func ListenDatagrams(address string) (*Datagrams, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address for datagrams: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	return &Datagrams{conn: conn}, nil
}

// Send sends one datagram. It may get lost.
func (n *Datagrams) Send(address string, datagram []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address of peer: %w", err)
	}
	_, err = n.conn.WriteToUDPAddrPort(datagram, to)
	return err
}

// Run receives until ctx ends.
func (n *Datagrams) Run(ctx context.Context, receive func(datagram []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	buffer := make([]byte, 64<<10)
	for {
		size, err := n.conn.Read(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("receive datagrams: %w", err)
		}
		if err != nil {
			// A peer's port that is closed shows here; the next datagram may be well.
			time.Sleep(time.Millisecond)
			continue
		}
		receive(buffer[:size])
	}
}
