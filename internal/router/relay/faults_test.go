package relay_test

import (
	"time"

	"wisteriafield/internal/backend/server"
)

// engineFaults says what goes wrong at an engine.
type engineFaults struct {
	breakAfter      int            // the connection breaks after this many events of an attempt
	unresponsive    bool           // with breakAfter, the connection goes silent; probes are not answered
	losesConnection bool           // the connection breaks at once
	refuses         bool           // for lack of capacity
	replaced        bool           // another incarnation has the address
	waiting         int            // queued requests of other routers
	errorBytes      int            // answers with a failure of that size
	answer          *server.Answer // answers with it and answerBody
	answerBody      string
	drips           string  // sends this now and then, never a whole event
	closeDelimited  bool    // answers have neither a length nor chunks
	closesAfter     int     // closes the connection, as if the answer were whole, after this many events
	cutsEvent       bool    // with closesAfter, within the next event
	limit           float64 // that it names in its answers; 0 for none
	pauseAfter      int     // after this many events of an attempt, neither events nor replies for the pause
	pause           time.Duration
	repliesInPause  bool          // answers probes during the pause
	silentBetween   time.Duration // sends an event with an ID, one without, nothing for so long, and one with an ID
	hangsAfter      int           // sends no more events after this many, but answers probes
	lostAttempt     bool          // does not have the attempt and sends nothing, but answers probes
	leaving         bool          // says so in its answers
	cutsUnread      time.Duration // breaks off an answer of which nothing was read for so long
	retryIn         time.Duration // with refuses, for which it wants nothing more
}
