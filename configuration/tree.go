package configuration

import (
	"sort"

	"nutmegfield.example/peer"
)

const (
	// watchKey ranks a zone's hosts for the watch and the tree below it.
	watchKey = "configuration-watch"
	// watchers is how many hosts of a zone hold the watch.
	watchers = 2
	// branches is how many hosts each one passes a version on to.
	branches = 4
)

// tree is a zone's hosts in the order of their rank: the first ones hold the
// watch, and host number i passes versions on to the hosts from number
// watchers+branches*i. It may differ between hosts for a while; versions told
// with the membership's probes reach whom it misses.
type tree struct {
	ids []string
}

func newTree(hosts []peer.Host) tree {
	var ids []string
	scores := map[string]uint64{}
	for _, host := range hosts {
		if host.Leaving {
			continue
		}
		ids = append(ids, host.ID)
		scores[host.ID] = peer.Score(host.ID, watchKey)
	}
	sort.Slice(ids, func(i, j int) bool { return scores[ids[i]] > scores[ids[j]] })
	return tree{ids: ids}
}

// watches reports whether a host holds the watch.
func (tree tree) watches(id string) bool {
	place := tree.place(id)
	return place >= 0 && place < watchers
}

// receivers are the hosts that a host passes versions on to: those at the
// top of the tree and those below it.
func (tree tree) receivers(id string) []string {
	place := tree.place(id)
	var receivers []string
	for _, other := range tree.ids[:min(watchers, len(tree.ids))] {
		if other != id {
			receivers = append(receivers, other)
		}
	}
	if place < 0 {
		return receivers
	}
	first := min(watchers+branches*place, len(tree.ids))
	last := min(first+branches, len(tree.ids))
	return append(receivers, tree.ids[first:last]...)
}

func (tree tree) place(id string) int {
	for i, other := range tree.ids {
		if other == id {
			return i
		}
	}
	return -1
}
