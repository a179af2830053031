package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// Datagrams sends and receives datagrams on one UDP socket.
type Datagrams struct {
	conn *net.UDPConn
}

// ListenDatagrams opens a UDP socket for datagrams at an IP:PORT address.
func ListenDatagrams(address string) (*Datagrams, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("parse datagram address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	return &Datagrams{conn: conn}, nil
}

// Send sends one datagram to an IP:PORT address. Delivery is not guaranteed.
func (d *Datagrams) Send(address string, datagram []byte) error {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("parse peer address: %w", err)
	}
	_, err = d.conn.WriteToUDPAddrPort(datagram, target)
	return err
}

// Run passes each datagram to receive until ctx ends. The buffer is reused for the
// next datagram.
func (d *Datagrams) Run(ctx context.Context, receive func(datagram []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	buffer := make([]byte, 64<<10)
	for {
		size, err := d.conn.Read(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("receive datagrams: %w", err)
		}
		if err != nil {
			// A closed port of a peer shows as a read error; later datagrams may
			// still arrive.
			time.Sleep(time.Millisecond)
			continue
		}
		receive(buffer[:size])
	}
}
