// Package enginetable holds what the owner of a group of engines knows of the attempts there,
// decides which engines it offers, and which routers own which engines. It is pure: it gets
// events and times, and has neither a clock nor a network.
package enginetable

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"wisteriafield/internal/decision/placement"
)

const (
	// enginesPerGroup is about how many engines a group has: enough for a choice, and few
	// enough for many owners to share the work.
	enginesPerGroup = 8
	// The number of groups stays while groups have from minEnginesPerGroup to maxEnginesPerGroup
	// engines, so that a few engines that come and go do not change all owners.
	minEnginesPerGroup = 4
	maxEnginesPerGroup = 16
)

// GroupCount returns the number of groups for a number of engines, a power of two. current is
// the number so far, 0 if there is none.
func GroupCount(engines, current int) int {
	if current > 0 && (engines >= current*minEnginesPerGroup || current == 1) && engines <= current*maxEnginesPerGroup {
		return current
	}
	groups := 1
	for engines*2 > groups*enginesPerGroup*3 {
		groups *= 2
	}
	return groups
}

// View is one router's view of which router owns which engines of a service. Views of routers may
// differ for a while.
type View struct {
	owners []string       // by group
	names  []string       // of the owners, sorted
	groups map[string]int // how many groups each owner has
}

// NewView returns the view of a router that knows the given live routers.
func NewView(service string, groups int, routers []string) *View {
	v := &View{groups: make(map[string]int)}
	for group := range groups {
		owner := placement.Owner(service+"/"+strconv.Itoa(groups)+"/"+strconv.Itoa(group), routers)
		v.owners = append(v.owners, owner)
		if v.groups[owner]++; v.groups[owner] == 1 {
			v.names = append(v.names, owner)
		}
	}
	slices.Sort(v.names)
	return v
}

// Group returns the group of an engine.
func (v *View) Group(engineID string) int {
	return int(xxhash.Sum64String(engineID) & uint64(len(v.owners)-1))
}

// Groups returns the number of groups.
func (v *View) Groups() int { return len(v.owners) }

// Owner returns the owner of an engine.
func (v *View) Owner(engineID string) string { return v.owners[v.Group(engineID)] }

// GroupOwner returns the owner of a group.
func (v *View) GroupOwner(group int) string { return v.owners[group] }

// Names returns the names of all owners. The caller must not modify the result.
func (v *View) Names() []string { return v.names }

// Pick draws up to n owners, weighted by the groups that they own, from those that are not
// excluded. random returns numbers from 0 to 1.
func (v *View) Pick(n int, excluded func(name string) bool, random func() float64) []string {
	names := slices.DeleteFunc(slices.Clone(v.names), excluded)
	var picked []string
	for len(picked) < n && len(names) > 0 {
		total := 0
		for _, name := range names {
			total += v.groups[name]
		}
		rest := int(random() * float64(total))
		i := 0
		for i < len(names)-1 && rest >= v.groups[names[i]] {
			rest -= v.groups[names[i]]
			i++
		}
		picked = append(picked, names[i])
		names = slices.Delete(names, i, i+1)
	}
	return picked
}
