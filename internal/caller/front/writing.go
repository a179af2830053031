package front

import (
	"net/http"
	"time"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
)

const (
	// streamGrace is how long after its deadline a stream may still be written. Its caller has
	// stopped waiting.
	streamGrace = 2 * time.Second
	// answerGrace is the same for a plain answer, which only has to begin before its deadline. It
	// lets 4 MB, the largest, leave at 1.1 Mbit/s.
	answerGrace = 30 * time.Second
)

// limitWriting bounds the writing of an answer. Its memory counts until it is written, which a
// caller that reads nothing would delay without end. net/http lifts the bound before the
// connection's next request.
func limitWriting(w http.ResponseWriter, req *server.Request) {
	grace := answerGrace
	if req.Route.Kind == routes.Streaming {
		grace = streamGrace
	}
	_ = http.NewResponseController(w).SetWriteDeadline(req.Deadline.Add(grace))
}
