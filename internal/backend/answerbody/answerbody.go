// Package answerbody reads the bodies of backend servers' answers, and of callers' requests,
// within the memory that a router has for them.
package answerbody

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"

	"wisteriafield/internal/decision/answermemory"
)

// ErrTooLarge means that a body has more bytes than one answer may have.
var ErrTooLarge = errors.New("answer is too large")

const (
	firstPieceBytes = 4 << 10 // holds most answers
	pieceBytes      = 32 << 10
)

// freePieces holds pieces of pieceBytes that no body has any more. Hundreds of bodies that are
// read and broken off at once otherwise leave garbage faster than it is collected beside load.
var freePieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// newPiece returns an empty piece of n bytes.
func newPiece(n int) []byte {
	if n != pieceBytes {
		return make([]byte, 0, n)
	}
	return freePieces.Get().(*[pieceBytes]byte)[:0]
}

// freePiece makes a piece available to other bodies.
func freePiece(piece []byte) {
	if cap(piece) == pieceBytes {
		freePieces.Put((*[pieceBytes]byte)(piece[:pieceBytes]))
	}
}

// Body is a complete body. It is kept in pieces, since a growing buffer takes up to twice the
// memory and leaves as much behind.
type Body struct {
	pieces  [][]byte
	joined  []byte // all of them, if not nil
	size    int
	account *answermemory.Account
}

// Read reads a body of at most limit bytes to its end. breakOff has to end a read that waits.
// The error is ErrTooLarge, answermemory.ErrExhausted or that of the reader. The caller has to
// release the body.
func Read(r io.Reader, limit int, budget *answermemory.Budget, breakOff func()) (*Body, error) {
	b := &Body{account: budget.Open(breakOff)}
	if err := b.readAll(r, limit); err != nil {
		if b.account.Broken() {
			err = answermemory.ErrExhausted
		}
		b.Release()
		return nil, fmt.Errorf("read body: %w", err)
	}
	return b, nil
}

func (b *Body) readAll(r io.Reader, limit int) error {
	for next := firstPieceBytes; ; next = pieceBytes {
		if err := b.account.Grow(next); err != nil {
			return err
		}
		piece, err := readPiece(r, newPiece(next))
		b.pieces = append(b.pieces, piece)
		b.size += len(piece)
		switch {
		case b.size > limit:
			return ErrTooLarge
		case err == io.EOF:
			return b.account.Complete()
		case err != nil:
			return err
		}
	}
}

// readPiece fills a piece. The error is that of the reader: io.ErrUnexpectedEOF, which
// io.ReadFull returns at the end of a body too, means that the body is incomplete.
func readPiece(r io.Reader, piece []byte) ([]byte, error) {
	for len(piece) < cap(piece) {
		n, err := r.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		if err != nil {
			return piece, err
		}
	}
	return piece, nil
}

// Size returns the number of bytes; 0 for a nil body.
func (b *Body) Size() int {
	if b == nil {
		return 0
	}
	return b.size
}

// Bytes returns the body in one piece, which stays valid after the release: a request may still
// be written then.
func (b *Body) Bytes() []byte {
	switch {
	case b.joined != nil:
	case len(b.pieces) == 1 && cap(b.pieces[0]) < pieceBytes:
		b.joined = b.pieces[0]
	default:
		b.joined = bytes.Join(b.pieces, nil)
	}
	b.freeAll()
	return b.joined
}

// freeAll gives the pieces to other bodies.
func (b *Body) freeAll() {
	for _, piece := range b.pieces {
		freePiece(piece)
	}
	b.pieces = nil
}

// WriteTo writes the body. A nil body has no bytes.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	if b == nil {
		return 0, nil
	}
	var written int64
	pieces := b.pieces
	if b.joined != nil {
		pieces = [][]byte{b.joined}
	}
	for _, piece := range pieces {
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, fmt.Errorf("write body: %w", err)
		}
	}
	return written, nil
}

// Release gives the memory back. A nil body has none. The body is empty then, except for what
// Bytes returned.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.freeAll()
	b.account.Close()
}
