package publish_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"wisteriafield/internal/config/document"
	"wisteriafield/internal/config/manifest"
	"wisteriafield/internal/platform/publish"
	"wisteriafield/platform/kv"
)

// store is an in-memory store with compare-and-swap. It loses the answers of the next
// lostAnswers writes, after they took effect, and is restored during the next restoredBy
// writes, with the loss of their effect if loses is set.
type store struct {
	values      map[string]kv.Value
	revision    int64
	lostAnswers int
	restoredBy  int
	loses       bool
	restores    int64
}

func (s *store) Get(_ context.Context, key string) (kv.Value, error) {
	v, ok := s.values[key]
	if !ok {
		return v, kv.ErrNotFound
	}
	return v, nil
}

func (s *store) Put(_ context.Context, key string, body []byte, revision int64, _ string) (int64, error) {
	if s.values[key].Revision != revision {
		return 0, kv.ErrConflict
	}
	s.revision++
	s.values[key] = kv.Value{Key: key, Body: body, Revision: s.revision}
	if s.restoredBy > 0 {
		s.restoredBy--
		s.restores++
		if s.loses {
			delete(s.values, key)
		}
	}
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, kv.ErrAmbiguous
	}
	return s.revision, nil
}

func (s *store) Era() int64 { return 1 + s.restores }

func TestTheLoserOfARaceLearnsTheWinner(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s := &store{values: map[string]kv.Value{}}
	base, storeRevision, err := publish.ReadManifest(ctx, s, "trial")
	g.Expect(err).NotTo(HaveOccurred())
	winner, err := publish.CommitManifest(ctx, s, base, storeRevision, nil, "first")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = publish.CommitManifest(ctx, s, base, storeRevision, nil, "second")
	var race *publish.RaceError
	g.Expect(errors.As(err, &race)).To(BeTrue(), "%v", err)
	g.Expect(race.Winner.Origin).To(Equal("first"))
	current, _, err := publish.ReadManifest(ctx, s, "trial")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(current).To(Equal(winner))
}

func TestAWriteWhoseAnswerIsLostCountsAsCommitted(t *testing.T) {
	g := NewWithT(t)
	s := &store{values: map[string]kv.Value{}, lostAnswers: 1}
	next, err := publish.CommitManifest(context.Background(), s, manifest.Manifest{Environment: "trial"}, 0, nil, "operator")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next.Revision).To(BeEquivalentTo(1))
	g.Expect(s.revision).To(BeEquivalentTo(1), "the manifest is written once")
}

func TestACommitDuringARestoreIsNotConfirmed(t *testing.T) {
	for name, store := range map[string]*store{
		"written in the new era":                {values: map[string]kv.Value{}, restoredBy: 1},
		"its answer is lost, written as well":   {values: map[string]kv.Value{}, restoredBy: 1, lostAnswers: 1},
		"its answer and then the write is lost": {values: map[string]kv.Value{}, restoredBy: 1, lostAnswers: 1, loses: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := publish.CommitManifest(context.Background(), store, manifest.Manifest{Environment: "trial"}, 0, nil, "operator")
			g.Expect(err).To(MatchError(publish.ErrRestored))
		})
	}
}

func TestADocumentWhosePartsTheStoreLostIsNotConfirmed(t *testing.T) {
	g := NewWithT(t)
	s := &store{values: map[string]kv.Value{}, restoredBy: 1, loses: true}
	_, err := publish.CommitDocument(context.Background(), s, manifest.Manifest{Environment: "trial"}, 0, &document.Document{}, "operator")
	g.Expect(err).To(MatchError(publish.ErrRestored))
}
