package cli

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/config/manifest"
	"wisteriafield/internal/platform/publish"
	"wisteriafield/internal/router/configure"
	"wisteriafield/platform/kv"
)

// restoredStore is restored before the read of the production manifest.
type restoredStore struct{ era int64 }

func (s *restoredStore) Get(_ context.Context, key string) (kv.Value, error) {
	if key == configure.ManifestKey(productionEnvironment) {
		s.era++
	}
	return kv.Value{Key: key, Body: []byte(`{"Revision":3}`), Revision: 7}, nil
}

func (s *restoredStore) Put(context.Context, string, []byte, int64, string) (int64, error) {
	return 8, nil
}

func (s *restoredStore) Era() int64 { return s.era }

func TestPartsThatARestoreMayHaveLostAreNotPromoted(t *testing.T) {
	_, _, _, err := readManifests(context.Background(), &restoredStore{era: 1}, func(*manifest.Manifest) error { return nil })
	NewWithT(t).Expect(err).To(MatchError(publish.ErrRestored))
}
