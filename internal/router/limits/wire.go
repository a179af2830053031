package limits

// leaseRequest asks for tokens and reports the requests in flight at the entry,
// including those that wait for the reply.
type leaseRequest struct {
	Organisation string
	Entry        string
	Tokens       float64 // for the request itself: all or nothing
	Reserve      float64 `json:"Stock"` // beyond Tokens, granted as far as available
	InFlight     int
}

type leaseReply struct {
	Tokens      float64 // granted, including the reserve
	Admitted    bool    // the requests in flight are within the limit
	RetryMillis int64   // until the requested tokens are available
}
