package generation

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrEventID reports a Last-Event-ID that this system did not issue.
var ErrEventID = errors.New("malformed event id")

// EventID names a token for a caller that comes back. It carries where a copy
// was held when the token was sent.
type EventID struct {
	Keeper     string
	Generation string
	Attempt    string
	Position   int
}

// String returns the form sent in the id field of an event.
func (e EventID) String() string {
	return e.Keeper + "/" + e.Generation + "/" + e.Attempt + "/" + strconv.Itoa(e.Position)
}

// ParseEventID reads what EventID.String wrote.
func ParseEventID(s string) (EventID, error) {
	fields := strings.Split(s, "/")
	if len(s) > 256 || len(fields) != 4 || fields[1] == "" || fields[2] == "" {
		return EventID{}, ErrEventID
	}
	n, err := strconv.Atoi(fields[3])
	if err != nil || n < 1 {
		return EventID{}, fmt.Errorf("position: %w", ErrEventID)
	}
	return EventID{Keeper: fields[0], Generation: fields[1], Attempt: fields[2], Position: n}, nil
}
