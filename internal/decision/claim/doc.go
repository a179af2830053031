// Package claim decides whether a non-idempotent call may be sent.
//
// A claim is a record in the platform's store, created with compare-and-swap
// before the first byte of the call is sent. A claim is never taken over after a
// timeout: only the router that holds it can abandon it, and only if the call
// was never dispatched.
package claim
