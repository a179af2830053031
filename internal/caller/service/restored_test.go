package service

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	backend "wisteriafield/internal/backend/service"
	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/decision/claim"
	"wisteriafield/internal/decision/invariant"
	"wisteriafield/internal/router/control"
	"wisteriafield/platform/kv"
	standin "wisteriafield/platform/standin/platform"
)

// fleet is a store that can be restored and routers that run bookings.
type fleet struct {
	store    *standin.Server
	address  string
	routers  map[string]*NonIdempotentRunner
	runs     atomic.Int64
	onRun    func() // called while a booking runs; may be nil
	afterPut func() // called after the first write of a claim; may be nil
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{store: standin.New(standin.Config{}), routers: make(map[string]*NonIdempotentRunner)}
	server := httptest.NewServer(f.store.Handler())
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	_, err := f.client().Put(context.Background(), "claim-era", []byte(`{"Era":1}`), 0, "")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	f.store.Copy()
	return f
}

func (f *fleet) client() *kv.Client {
	return kv.New(kv.Config{Address: f.address, Timeout: time.Second})
}

// fleetStore calls afterPut after the first write of a claim.
type fleetStore struct {
	*kv.Client
	fleet *fleet
}

func (s fleetStore) Put(ctx context.Context, key string, body []byte, revision int64, lease string) (int64, error) {
	written, err := s.Client.Put(ctx, key, body, revision, lease)
	if after := s.fleet.afterPut; after != nil && strings.HasPrefix(key, "claim/") {
		s.fleet.afterPut = nil
		after()
	}
	return written, err
}

// start adds a router without memory.
func (f *fleet) start(name string) *NonIdempotentRunner {
	runner := NewNonIdempotentRunner(NonIdempotentDeps{
		Store: fleetStore{f.client(), f}, Attempts: claim.NewAttemptTable(), ConsentClient: f,
		Router: name, Incarnation: name, Log: logrus.NewEntry(logrus.New()),
	})
	runner.send = func(context.Context, nonIdempotentRequest) (*backend.Answer, error) {
		f.runs.Add(1)
		if f.onRun != nil {
			f.onRun()
		}
		return &backend.Answer{Status: http.StatusOK, Header: make(http.Header), Body: []byte("booked")}, nil
	}
	f.routers[name] = runner
	return runner
}

// RequestConsent asks the router's attempt table.
func (f *fleet) RequestConsent(_ context.Context, r claim.Record, _ time.Duration) (claim.Consent, claim.Record, error) {
	holder := f.routers[r.Router]
	if holder == nil {
		return claim.ConsentRefused, r, control.ErrUnreachable
	}
	consent, record := holder.deps.Attempts.Abandon(r.Attempt)
	return consent, record, nil
}

// booking returns a request whose key has the given time.
func booking(keyTime time.Time) nonIdempotentRequest {
	expires := keyTime.Add(claim.Retention + time.Hour)
	return nonIdempotentRequest{Key: claim.StoreKey("org", uuid.NewString(), expires), Digest: "d", ExpiresAt: expires}
}

func TestABookingWhoseClaimTheStoreLostDoesNotRunAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(f *fleet, req nonIdempotentRequest) result
	}{
		{"restored after the answer", func(f *fleet, req nonIdempotentRequest) result {
			f.start("a").Do(t.Context(), req)
			f.store.Restore()
			return f.start("b").Do(t.Context(), req)
		}},
		{"restored between claim and run", func(f *fleet, req nonIdempotentRequest) result {
			var repeated result
			b := f.start("b")
			f.afterPut = func() {
				f.store.Restore()
				repeated = b.Do(t.Context(), req)
			}
			f.start("a").Do(t.Context(), req)
			return repeated
		}},
		{"restored between run and record", func(f *fleet, req nonIdempotentRequest) result {
			var repeated result
			b := f.start("b")
			f.onRun = func() {
				f.onRun = nil
				f.store.Restore()
				repeated = b.Do(t.Context(), req)
			}
			f.start("a").Do(t.Context(), req)
			return repeated
		}},
		{"restored twice", func(f *fleet, req nonIdempotentRequest) result {
			a, b := f.start("a"), f.start("b")
			a.Do(t.Context(), req)
			f.store.Restore()
			b.Do(t.Context(), booking(time.Now()))
			f.store.Restore()
			return b.Do(t.Context(), req)
		}},
		{"at the router that ran it", func(f *fleet, req nonIdempotentRequest) result {
			a := f.start("a")
			a.Do(t.Context(), req)
			f.store.Restore()
			return a.Do(t.Context(), req)
		}},
		{"copied while held by a router that gave it up", func(f *fleet, req nonIdempotentRequest) result {
			gone, b := f.start("gone"), f.start("b")
			gone.send = func(context.Context, nonIdempotentRequest) (*backend.Answer, error) {
				f.store.Copy()
				return nil, backend.ErrNotSent
			}
			gone.Do(t.Context(), req)
			b.Do(t.Context(), req)
			f.store.Restore()
			return f.start("c").Do(t.Context(), req)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t)
			repeated := test.play(f, booking(time.Now()))
			g.Expect(f.runs.Load()).To(BeEquivalentTo(1))
			if repeated.refusal != nil {
				g.Expect(repeated.refusal.Code).To(Equal(apierror.UnknownOutcome))
			}
		})
	}
}

func TestBookingsRunAgainAfterARestore(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.store.Restore()
	f.start("a").Do(t.Context(), booking(time.Now()))
	g.Expect(f.start("b").Do(t.Context(), booking(time.Now().Add(10*time.Second))).refusal).To(BeNil())
}

func TestAnOutcomeThatTheStoreKeptIsReplayedAfterARestore(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	req := booking(time.Now())
	f.start("a").Do(t.Context(), req)
	f.store.Copy()
	f.store.Restore()
	g.Expect(f.start("b").Do(t.Context(), req).outcome).NotTo(BeNil())
	g.Expect(f.runs.Load()).To(BeEquivalentTo(1))
}

func TestAnOutcomeThatTheStoreLostIsWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	a, b := f.start("a"), f.start("b")
	go func() { _ = a.Run(t.Context()) }()
	kept, lost := booking(time.Now()), booking(time.Now())
	a.Do(t.Context(), kept)
	f.store.Copy()
	a.Do(t.Context(), lost)
	for range 2 {
		f.store.Restore()
		_, _, _ = a.get(t.Context(), kept.Key) // names the new era
		g.Eventually(func() *claim.Outcome { return b.Do(t.Context(), lost).outcome }, 5*time.Second).ShouldNot(BeNil())
		g.Expect(b.Do(t.Context(), kept).outcome).NotTo(BeNil())
	}
	g.Expect(f.runs.Load()).To(BeEquivalentTo(2))
}

func TestAnOutcomeReplacesAClaimThatWasGivenUpInTheLostHistory(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	gone, b := f.start("gone"), f.start("b")
	gone.send = func(context.Context, nonIdempotentRequest) (*backend.Answer, error) {
		f.store.Copy()
		return nil, backend.ErrNotSent
	}
	req := booking(time.Now())
	gone.Do(t.Context(), req)
	f.onRun = f.store.Restore
	violations := invariant.Violations()
	g.Expect(b.Do(t.Context(), req).outcome).NotTo(BeNil())
	g.Expect(f.start("c").Do(t.Context(), req).outcome).NotTo(BeNil())
	g.Expect(f.runs.Load()).To(BeEquivalentTo(1))
	g.Expect(invariant.Violations()).To(Equal(violations))
}
