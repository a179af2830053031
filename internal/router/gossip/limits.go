package gossip

import (
	"time"

	"wisteriafield/internal/decision/ratelimit"
)

// limitRecord is the limit of a backend server in a message.
type limitRecord struct {
	Server    string
	PerSecond float64 `json:",omitempty"`
	Lifted    bool    `json:",omitempty"`
	AgeMs     int64
}

func encodeLimits(limits []ratelimit.Limit, now time.Time) []limitRecord {
	var records []limitRecord
	for _, l := range limits {
		records = append(records, limitRecord{l.Server, l.PerSecond, l.Lifted, now.Sub(l.At).Milliseconds()})
	}
	return records
}

func decodeLimits(records []limitRecord, now time.Time) []ratelimit.Limit {
	var limits []ratelimit.Limit
	for _, r := range records {
		limits = append(limits, ratelimit.Limit{Server: r.Server, PerSecond: r.PerSecond, Lifted: r.Lifted, At: now.Add(-millis(r.AgeMs))})
	}
	return limits
}
