// Package placement decides which router keeps which backend server and which
// keeper a request tries.
package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous orders names by highest random weight for key. When a name leaves,
// only the keys that it came first for move.
func Rendezvous(key string, names []string) []string {
	type weighted struct {
		name string
		sum  uint64
	}
	all := make([]weighted, len(names))
	for i, name := range names {
		all[i] = weighted{name, weigh(key, name)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].sum != all[j].sum {
			return all[i].sum > all[j].sum
		}
		return all[i].name < all[j].name
	})
	ordered := make([]string, len(all))
	for i := range all {
		ordered[i] = all[i].name
	}
	return ordered
}

// Owner returns the name that Rendezvous puts first, or "" without names.
func Owner(key string, names []string) string {
	var best string
	var sum uint64
	for _, name := range names {
		w := weigh(key, name)
		if best == "" || w > sum || w == sum && name < best {
			best, sum = name, w
		}
	}
	return best
}

func weigh(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
