package relay_test

import (
	"context"
	"fmt"
	"time"

	"wisteriafield/internal/backend/server"
)

// crash ends an engine after deadlyAfter. It returns the error of the connection, which may be
// closed before.
func (e *fakeEngines) crash(ctx context.Context, address string) error {
	ended := make(chan bool)
	time.AfterFunc(e.deadlyAfter, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.crashed[address]++
		e.down[address] = true
		close(ended)
	})
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ctx.Err(), server.ErrLost)
	case <-ended:
		return fmt.Errorf("EOF: %w", server.ErrLost)
	}
}

func (e *fakeEngines) isDown(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down[address]
}

// start starts the engines that are down.
func (e *fakeEngines) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.down)
}

// crashes returns how many engines have ended.
func (e *fakeEngines) crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, times := range e.crashed {
		n += times
	}
	return n
}
