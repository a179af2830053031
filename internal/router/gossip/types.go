// Package gossip exchanges state between routers: which configuration and servers
// they know, which attempts they run where, and which peers are live. There is no
// agreement protocol: the newest version and position in the platform's store win.
package gossip

import (
	"context"
	"encoding/json"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/decision/freshness"
	"wisteriafield/internal/decision/quarantine"
	"wisteriafield/internal/decision/ratelimit"
	"wisteriafield/internal/decision/retrybudget"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/decision/storereader"
	"wisteriafield/internal/router/discovery"
	"wisteriafield/internal/router/sessions"
	"wisteriafield/platform/kv"
)

// Host is a router as its peers see it.
type Host struct {
	Name            string
	Domain          string // failure domain
	Address         string // IP:PORT for calls from peers
	DatagramAddress string `json:"Notices"` // IP:PORT for datagrams from peers
	Started         int64  // Unix nanoseconds
	// LinkMbps is the rate of the host's network link, 0 if unknown.
	LinkMbps float64 `json:",omitempty"`
}

// message is a datagram, or either direction of an exchange call.
type message struct {
	Host       Host
	Peers      []Host                    `json:",omitempty"`
	Version    int64                     // of the configuration
	Revision   int64                     // of the server list
	Era        int64                     `json:",omitempty"` // of the server list; 0 if the sender knows none
	Loads      map[string]registry.Share `json:",omitempty"` // by server
	Stopping   bool                      `json:",omitempty"`
	Informed   bool                      `json:",omitempty"`      // the sender knows what the fleet knows
	ReadsStore bool                      `json:"Reads,omitempty"` // the sender reads the store
	// StoreFailing means that the store did not answer the sender's last call.
	StoreFailing bool `json:",omitempty"`
	// StoreEra is the newest era that the store named to the sender, if that is newer than
	// its server list's.
	StoreEra   int64 `json:",omitempty"`
	StoreAgeMs int64 `json:"AgeMs"` // since the store last answered the sender; -1 if never
	// ConfirmedMs is how long ago what the sender has of the store was known to be the newest;
	// nil if it doesn't know. ConfigAt is as far as it knows the configuration, if that is not
	// the position of its server list.
	ConfirmedMs *int64                 `json:",omitempty"`
	ConfigAt    *storehistory.Position `json:",omitempty"`

	// Heartbeats is the age in ms of the newest known heartbeats of some peers, by
	// name.
	Heartbeats map[string]int64 `json:"Signs,omitempty"`
	// Attempts counts the sender's attempts in the last window, by service.
	Attempts map[string]retrybudget.Counts `json:"Sends,omitempty"`
	// Crashes are those of servers that had just begun to answer, Survived is the age in ms
	// of the last survival of what may be to blame, and Blocked what the sender does not send
	// to servers.
	Crashes  []crashRecord    `json:",omitempty"`
	Survived map[string]int64 `json:",omitempty"`
	Blocked  []string         `json:",omitempty"`
	// Limits are those that backend servers named.
	Limits []limitRecord `json:",omitempty"`
	// SessionRecord is a record for one of its owners. A message that has one
	// carries nothing else.
	SessionRecord *sessions.Record `json:"Run,omitempty"`
	// Placement is a message of package placing. A message that has one carries nothing else.
	Placement json.RawMessage `json:"Pl,omitempty"`
}

// configReply holds the configuration, or reports that the link is busy.
type configReply struct {
	Compressed []byte `json:"Packed"` // with flate
	Busy       bool
}

type serversRequest struct {
	Revision int64
	Era      int64 `json:",omitempty"`
}

type serversReply struct {
	Revision int64
	Era      int64 `json:",omitempty"`
	Values   []kv.Value
	Full     bool              `json:"Whole"`      // Values is the full list, not changes
	Gap      *storehistory.Gap `json:",omitempty"` // that the changes have passed over
	Busy     bool              // the link is busy; nothing else is set
}

// Methods that peers call.
const (
	methodExchange = "Gossip.Exchange"
	methodConfig   = "Gossip.Config"
	methodServers  = "Gossip.Servers"
)

// Intervals and limits of the exchange.
const (
	// checkInterval is how often Run checks whether an exchange is due, and
	// minTriggerInterval the minimum time between two triggered exchanges.
	checkInterval      = 200 * time.Millisecond
	minTriggerInterval = 25 * time.Millisecond
	// callTimeout is far above a round trip of 2 ms and below the interval between
	// exchanges while loads do not change.
	callTimeout = 400 * time.Millisecond
	// pullTimeout bounds the fetch of a configuration or server list: about ten KB
	// on a 10 Mbit/s link that may have a backlog of a quarter of a second.
	pullTimeout = time.Second
	// maxPullAttempts is how many peers are asked in turn, and pullRetryDelay the
	// delay between two of them.
	maxPullAttempts = 12
	pullRetryDelay  = 40 * time.Millisecond
	// peerTTL is how long a silent peer is kept.
	peerTTL = 30 * time.Second
	// contactRetryInterval is the time between calls to a silent peer.
	contactRetryInterval = time.Second
	// lagTimeout is how old the store's last answer to a store reader must be before
	// the reader pulls a peer's list, and how long peers may have a newer list before
	// this router is lagging. The store answers a reader every second.
	lagTimeout = 1300 * time.Millisecond
	// maxContacts bounds the silent peers that are called at once, and loadTTL is how
	// long the loads of a peer are used.
	maxContacts = 4
	loadTTL     = 2 * time.Second
	// maxDownTime bounds how long a peer's report keeps a server out of use.
	maxDownTime = 10 * time.Second
	// maxPaces bounds the engines whose pace one message of a large fleet holds.
	maxPaces = 12
	// maxNews bounds the crashes and the limits in one datagram, maxAnnouncedNews those
	// in a datagram to all peers of a large fleet, and maxCallNews those in a call.
	maxNews          = 16
	maxCallNews      = 48
	maxAnnouncedNews = 4
	// maxListedPeers bounds the peers listed in one message. One in
	// datagramsPerPeerList datagrams lists peers; exchange calls, by which routers
	// discover each other, always do.
	maxListedPeers       = 16
	datagramsPerPeerList = 8
	// maxDatagramBytes bounds a datagram; a larger one is sent without its loads, and with
	// fewer crashes.
	maxDatagramBytes = 8 << 10
)

// Caller calls other routers.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// RetryBudget is the budget of retries that all routers share.
type RetryBudget interface {
	OwnCounts(now time.Time) map[string]retrybudget.Counts
	MergePeerCounts(counts map[string]retrybudget.Counts, now time.Time)
	Lend(service string, n, routers int, now time.Time) int
	Left(c retrybudget.Counts) float64
	AddLoan(service string, n int, requestedAt, now time.Time)
}

// Quarantine is what the routers know of requests that crash servers.
type Quarantine interface {
	Report(n int, all bool, now time.Time) quarantine.Report
	Merge(r quarantine.Report, peer string, now time.Time) (urgent bool)
}

// Limits are the limits that backend servers named.
type Limits interface {
	Report(n int, all bool, now time.Time) []ratelimit.Limit
	Merge(limits []ratelimit.Limit, peer string, now time.Time)
}

// State is the local state that this router sends to peers and updates from them.
type State interface {
	ConfigVersion() int64
	ConfigValue() []byte
	SetConfig(value []byte, source string)
	ServerList(after storehistory.Position) discovery.ServerList
	ServerPosition() storehistory.Position
	ApplyServerList(after storehistory.Position, list discovery.ServerList, source string)
	Freshness() freshness.State       // what this router has of the store
	ObservePeer(peer freshness.State) // what a peer has of the store
	StoreEra() int64                  // the newest that the store named to this router
	ObserveStoreEra(era int64)        // as a peer knows it
	StoreReached() time.Time          // when the store last answered this router
	StoreRole() storereader.Role      // of this router in reading the store
	StoreFailing() bool               // the store did not answer this router's last call
	Stopping() bool
}
