// Package answermemory decides which answers of backend servers a router goes on reading.
// Each answer has a bound of its own, but the sum of many may exceed the host's memory.
//
// The load that it answers: servers in trouble that send without end, in hundreds of answers
// at once, beside sound ones. The largest answer is broken off first, and small ones never
// are. The bodies of callers' requests share a budget of their own in the same way.
package answermemory

import (
	"sync"

	"github.com/pkg/errors"
)

// ErrExhausted means that an answer was broken off, since all answers together took too much
// memory.
var ErrExhausted = errors.New("answers take too much memory")

// smallBytes is the part of an answer that does not count. Most answers are smaller.
const smallBytes = 16 << 10

// Budget is the memory for the answers that a router holds at the same time. It is safe for
// concurrent use.
type Budget struct {
	mu       sync.Mutex
	limit    int64
	used     int64 // beyond smallBytes of each answer
	accounts map[*Account]struct{}
}

// New returns a budget of so many bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, accounts: make(map[*Account]struct{})}
}

// Limit returns the bytes of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that count against the budget.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Account is what one answer takes of a budget. It is safe for concurrent use.
type Account struct {
	budget   *Budget
	held     int64
	breakOff func() // nil once the answer is complete
	broken   bool
	closed   bool
}

// Open returns an account without bytes, which the caller has to close. breakOff ends the
// reading of the answer, which may be waiting for its server; it must not block.
func (b *Budget) Open(breakOff func()) *Account {
	a := &Account{budget: b, breakOff: breakOff}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = struct{}{}
	return a
}

// Grow adds n bytes. It returns ErrExhausted if the answer was broken off, be it to make room
// for these bytes or for another answer.
func (a *Account) Grow(n int) error {
	b := a.budget
	b.mu.Lock()
	if a.broken || a.closed {
		b.mu.Unlock()
		return ErrExhausted
	}
	b.resize(a, a.held+int64(n))
	var victims []*Account
	for b.used > b.limit {
		victim := b.largest()
		if victim == nil {
			victim = a
		}
		victim.broken = true
		b.resize(victim, 0)
		victims = append(victims, victim)
	}
	broken := a.broken
	b.mu.Unlock()
	for _, victim := range victims {
		victim.breakOff()
	}
	if broken {
		return ErrExhausted
	}
	return nil
}

// Shrink takes n bytes away that were passed on.
func (a *Account) Shrink(n int) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.broken && !a.closed {
		b.resize(a, a.held-int64(n))
	}
}

// Complete marks the answer as complete: it is not broken off any more. It returns ErrExhausted
// if it was.
func (a *Account) Complete() error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.broken {
		return ErrExhausted
	}
	a.breakOff = nil
	return nil
}

// Broken reports whether the answer was broken off.
func (a *Account) Broken() bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.broken
}

// Close gives the bytes of the answer back.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resize(a, 0)
	a.closed = true
	delete(b.accounts, a)
}

// resize sets the bytes of an account. The caller holds mu.
func (b *Budget) resize(a *Account, held int64) {
	b.used += counted(held) - counted(a.held)
	a.held = held
}

func counted(held int64) int64 { return max(0, held-smallBytes) }

// largest returns the largest answer that may be broken off, or nil. The caller holds mu.
func (b *Budget) largest() *Account {
	var largest *Account
	for a := range b.accounts {
		if a.breakOff == nil || a.broken || counted(a.held) == 0 {
			continue
		}
		if largest == nil || a.held > largest.held {
			largest = a
		}
	}
	return largest
}
