package gossip

import "time"

// The types of the messages between routers, for the test of their encoded names.
type (
	Message        = message
	ConfigReply    = configReply
	ServersRequest = serversRequest
	ServersReply   = serversReply
	SessionRequest = sessionRequest
	SessionReply   = sessionReply
	LendRequest    = lendRequest
	LendReply      = lendReply
)

// MethodConfig is the method by which peers fetch the configuration.
const MethodConfig = methodConfig

// Alive records that the router ran at a moment.
func (g *Gossip) Alive(at time.Time) { g.arrivals.Alive(at) }

// RetriesBorrowed returns the counter of retries that peers have lent.
func RetriesBorrowed() uint64 { return retriesBorrowedTotal.Get() }
