package generation

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrEventID reports a Last-Event-ID that does not have the form that
// EventID.String writes.
var ErrEventID = errors.New("malformed event id")

// EventID identifies a token, so that a caller that reconnects can continue after
// it. Keeper is the router that held a replica of the answer when the token was
// sent.
type EventID struct {
	Keeper     string
	Generation string
	Attempt    string
	Position   int
}

// String returns the event ID as it is sent in the id field of a server-sent
// event.
func (e EventID) String() string {
	return e.Keeper + "/" + e.Generation + "/" + e.Attempt + "/" + strconv.Itoa(e.Position)
}

// ParseEventID parses an event ID that EventID.String wrote.
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
