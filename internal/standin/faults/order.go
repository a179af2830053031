package faults

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// order is the body of POST /faults. An omitted field leaves its fault unchanged.
type order struct {
	Die         bool
	PauseMillis int
	Silence     bool
	DelayMillis *int
	Outage      *bool
	OutageOf    *string // path prefixes, separated by commas
	LoseAnswers *int
}

// ServeHTTP handles a fault order.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<16))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.HandleOrder(w, body)
}

// HandleOrder applies a fault order. Unknown fields are ignored.
func (i *Injector) HandleOrder(w http.ResponseWriter, body []byte) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if o.Die {
		os.Exit(1)
	}
	if o.PauseMillis > 0 {
		i.Pause()
		time.AfterFunc(time.Duration(o.PauseMillis)*time.Millisecond, i.Resume)
	}
	if o.Silence {
		i.Silence()
	}
	if o.DelayMillis != nil {
		i.SetDelay(time.Duration(*o.DelayMillis) * time.Millisecond)
	}
	if o.Outage != nil {
		i.SetOutage(*o.Outage)
	}
	if o.OutageOf != nil {
		i.SetPartialOutage(strings.Split(*o.OutageOf, ","))
	}
	if o.LoseAnswers != nil {
		i.LoseAnswers(*o.LoseAnswers)
	}
	w.WriteHeader(http.StatusOK)
}
