// Package claim decides whether a call that must not repeat may be sent.
//
// A claim is a record in the platform's store, created with compare-and-swap
// before the first byte of the call leaves. It is never taken over because time
// went by: only the router that holds it can give it up, and only while the
// call was never dispatched.
package claim
