// Package gossip lets routers tell each other which configuration and servers
// they know, what they run where, and who else is there. It agrees on nothing:
// the newest version and revision of the platform's store win.
package gossip

import (
	"context"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/router/sessions"
	"wisteriafield/platform/kv"
)

// Host is a router as its peers see it.
type Host struct {
	Name            string
	Domain          string // failure domain
	Address         string // IP:PORT for calls of peers
	DatagramAddress string `json:"Notices"` // IP:PORT to which peers send datagrams
	Started         int64  // Unix nanoseconds
	// LinkMbps is the rate of its network link, 0 if not known.
	LinkMbps float64 `json:",omitempty"`
}

// message is both directions of an exchange.
type message struct {
	Host     Host
	Peers    []Host                    `json:",omitempty"`
	Version  int64                     // of the configuration
	Revision int64                     // of the server list
	Loads    map[string]registry.Share `json:",omitempty"` // by server
	Stopping bool                      `json:",omitempty"`
	Reads    bool                      `json:",omitempty"` // it reads the store
	AgeMs    int64                     // since the store answered it last; -1 if never

	// Signs is how long ago, in ms, there was a sign of life of some peers.
	Signs map[string]int64 `json:",omitempty"`
	// Sends counts this router's sends of the last window, by service.
	Sends map[string]retrybudget.Counts `json:",omitempty"`
	// Run is a record for a home; a message with one says nothing else.
	Run *sessions.Record `json:",omitempty"`
}

// configReply has the configuration, or says that the link is busy.
type configReply struct {
	Packed []byte // by flate
	Busy   bool
}

type serversRequest struct {
	Revision int64
}

type serversReply struct {
	Revision int64
	Values   []kv.Value
	Whole    bool // the whole list, not changes
	Busy     bool // the link is; nothing else is set
}

// Methods of the calls.
const (
	methodExchange = "Gossip.Exchange"
	methodConfig   = "Gossip.Config"
	methodServers  = "Gossip.Servers"
)

// Times of the exchange.
const (
	// tick is how often it is looked whether an exchange is due, and kickPause the
	// least time between two that news make due.
	tick      = 200 * time.Millisecond
	kickPause = 25 * time.Millisecond
	// callTimeout is far above a round trip of 2 ms and below a period's idle time.
	callTimeout = 400 * time.Millisecond
	// pullTimeout bounds the fetching of a configuration or a list: some ten KB on
	// links of 10 Mbit/s that are promised a quarter of a second ahead.
	pullTimeout = time.Second
	// pullTries is how many peers are asked in turn, pullPause the time between
	// two that were busy.
	pullTries = 12
	pullPause = 40 * time.Millisecond
	// forgetAfter drops a peer that stays silent.
	forgetAfter = 30 * time.Second
	// retryPeriod is between calls to a silent peer.
	retryPeriod = time.Second
	// behindFor is how old a reader's last answer of the store is before it takes
	// a peer's list; it hears from the store every second.
	behindFor = 1300 * time.Millisecond
	// called bounds the silent peers that are called at once, and loadsFor is how
	// old the loads of a peer may be.
	called   = 4
	loadsFor = 2 * time.Second
	// paces bounds the engines whose pace one message of a large fleet tells.
	paces = 12
	// listed bounds the peers named in one message, and listEvery is how many
	// datagrams pass between two that name any. Calls, by which routers find each
	// other, always do.
	listed    = 16
	listEvery = 8
	// maxDatagram bounds a datagram, in bytes. Loads that do not fit are left out.
	maxDatagram = 8 << 10
)

// Caller calls other routers.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// RetryBudget is the repeats that all routers share.
type RetryBudget interface {
	OwnCounts(now time.Time) map[string]retrybudget.Counts
	MergePeerCounts(counts map[string]retrybudget.Counts, now time.Time)
}

// State is what this router tells and takes in.
type State interface {
	ConfigVersion() int64
	ConfigValue() []byte
	SetConfig(value []byte, source string)
	ServerList(after int64) (revision int64, values []kv.Value, whole bool)
	ServerRevision() int64
	ApplyServerList(after, revision int64, values []kv.Value, whole bool, source string)
	StoreReached() time.Time // when the store answered last
	ReadsStore() bool        // this router reads the store
	Stopping() bool
}
