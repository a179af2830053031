package faults

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// order is the body of POST /faults. A field left out changes nothing.
type order struct {
	Die         bool
	PauseMillis int
	Silence     bool
	DelayMillis *int
	Outage      *bool
	OutageOf    *string // path prefixes, separated by commas
	LoseAnswers *int
}

// ServeHTTP takes an order.
func (g *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<16))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.HandleOrder(w, body)
}

// HandleOrder takes the body of an order. Fields it does not know are ignored.
func (g *Injector) HandleOrder(w http.ResponseWriter, body []byte) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if o.Die {
		os.Exit(1)
	}
	if o.PauseMillis > 0 {
		g.Pause()
		time.AfterFunc(time.Duration(o.PauseMillis)*time.Millisecond, g.Resume)
	}
	if o.Silence {
		g.Silence()
	}
	if o.DelayMillis != nil {
		g.SetDelay(time.Duration(*o.DelayMillis) * time.Millisecond)
	}
	if o.Outage != nil {
		g.SetOutage(*o.Outage)
	}
	if o.OutageOf != nil {
		g.SetPartialOutage(strings.Split(*o.OutageOf, ","))
	}
	if o.LoseAnswers != nil {
		g.LoseAnswers(*o.LoseAnswers)
	}
	w.WriteHeader(http.StatusOK)
}
