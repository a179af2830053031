// Package placement decides which router manages which backend server, and which
// keeper an entry sends a request to.
package placement

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous orders names for a key by rendezvous (highest random weight) hashing.
// When a name is removed, only the keys that it owned get a new owner.
func Rendezvous(key string, names []string) []string {
	type ranked struct {
		name string
		hash uint64
	}
	all := make([]ranked, len(names))
	for i, name := range names {
		all[i] = ranked{name, hashOf(key, name)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].hash != all[j].hash {
			return all[i].hash > all[j].hash
		}
		return all[i].name < all[j].name
	})
	ordered := make([]string, len(all))
	for i := range all {
		ordered[i] = all[i].name
	}
	return ordered
}

// Rank returns how many of the other names come before a name in the order of Rendezvous.
func Rank(key, name string, others []string) int {
	rank := 0
	hash := hashOf(key, name)
	for _, other := range others {
		if h := hashOf(key, other); h > hash || h == hash && other < name {
			rank++
		}
	}
	return rank
}

// Fraction returns a number from 0 to 1 that differs from name to name and key to key.
func Fraction(key, name string) float64 { return float64(hashOf(key, name)) / math.MaxUint64 }

// Owner returns the name that Rendezvous puts first for a key, or "" if there are
// no names.
func Owner(key string, names []string) string {
	var best string
	var bestHash uint64
	for _, name := range names {
		hash := hashOf(key, name)
		if best == "" || hash > bestHash || hash == bestHash && name < best {
			best, bestHash = name, hash
		}
	}
	return best
}

func hashOf(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
