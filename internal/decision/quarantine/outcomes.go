package quarantine

import (
	"math/bits"
	"time"
)

const (
	// maxOutcomes bounds the requests in each of the two generations of outcomes.
	maxOutcomes = 1024
	// recentOutcomes is how many outcomes of a request count, the last ones.
	recentOutcomes = 8
	// outlivedPerLoss is how many abandoned attempts of a request servers may outlive for each
	// one whose server was lost, if the request is to blame. Servers also outlive an attempt that
	// they drop before they run it.
	outlivedPerLoss = 2
)

// outcomes holds what became of the servers of each request's abandoned attempts, of the requests
// that were seen last: two generations of at most maxOutcomes requests.
type outcomes struct{ current, previous map[string]history }

// history holds the last outcomes for a request.
type history struct {
	lost   uint8 // a bit for each outcome, the newest is the lowest; set if the server was lost
	count  int
	lostAt time.Time
}

func (h *history) add(lost uint8) {
	h.lost, h.count = h.lost<<1|lost, min(h.count+1, recentOutcomes)
}

func (o *outcomes) get(origin string) history {
	if h, ok := o.current[origin]; ok {
		return h
	}
	return o.previous[origin]
}

func (o *outcomes) set(origin string, h history) {
	if _, ok := o.current[origin]; !ok && len(o.current) >= maxOutcomes {
		o.previous, o.current = o.current, nil
	}
	if o.current == nil {
		o.current = make(map[string]history)
	}
	o.current[origin] = h
}

// addOutlived records that a server has outlived an abandoned attempt of a request.
func (o *outcomes) addOutlived(origin string) {
	h := o.get(origin)
	h.add(0)
	o.set(origin, h)
}

// addLost records that the server of an abandoned attempt of a request was lost, and reports
// whether the request may be to blame. Servers that are lost at about the same time count once.
func (o *outcomes) addLost(origin string, now time.Time) bool {
	h := o.get(origin)
	if h.lostAt.IsZero() || now.Sub(h.lostAt) > abandonedMoment {
		h.add(1)
		h.lostAt = now
		o.set(origin, h)
	}
	lost := bits.OnesCount8(h.lost)
	return h.count-lost <= outlivedPerLoss*lost
}
