package http1

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// queueTime bounds the accepting of connections that were in the queue: callers may add others
// all the time.
const queueTime = 100 * time.Millisecond

// acceptQueue calls a function with the connections that the kernel has accepted for a listener, and
// does not wait for others. A deadline of the listener would not do: once it has passed, Accept does
// not look at the queue, and on a busy host it may pass before the call.
func acceptQueue(ln net.Listener, accept func(net.Conn)) error {
	listener, ok := ln.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return fmt.Errorf("get listener: %w", err)
	}
	for end := time.Now().Add(queueTime); time.Now().Before(end); {
		conn, err := acceptQueued(raw)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			return nil
		case errors.Is(err, syscall.ECONNABORTED), errors.Is(err, syscall.EINTR):
		case err != nil:
			return err
		default:
			accept(conn)
		}
	}
	return nil
}

// acceptQueued returns a connection, or an error at once.
func acceptQueued(listener syscall.RawConn) (net.Conn, error) {
	var fd int
	var acceptErr error
	err := listener.Control(func(ln uintptr) {
		fd, _, acceptErr = syscall.Accept4(int(ln), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err = errors.Join(err, acceptErr); err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	file := os.NewFile(uintptr(fd), "")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return conn, nil
}
