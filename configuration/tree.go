package configuration

import (
	"sort"

	"nutmegfield.example/peer"
)

const (
	// rankKey is the key passed to peer.Score to rank the hosts of a zone.
	rankKey = "configuration-watch"
	// watchersPerZone is the number of hosts of a zone that watch the platform.
	watchersPerZone = 2
	// fanOut is the maximum number of hosts directly below a host of the tree.
	fanOut = 4
)

// tree determines the hosts of a zone that watch the platform and the hosts that
// each one announces versions to. The first watchersPerZone hosts watch; the host of
// rank i announces to the fanOut hosts from rank watchersPerZone+fanOut*i on. Hosts
// have different trees while their views of the membership differ; a host that gets
// no announcement for that reason learns the version from the membership's probes.
type tree struct {
	// ids holds the ids of the hosts that are not leaving, by rank.
	ids []string
}

// newTree ranks the hosts of a zone by descending score.
func newTree(hosts []peer.Host) tree {
	var ids []string
	scores := map[string]uint64{}
	for _, host := range hosts {
		if host.Leaving {
			continue
		}
		ids = append(ids, host.ID)
		scores[host.ID] = peer.Score(host.ID, rankKey)
	}
	sort.Slice(ids, func(i, j int) bool { return scores[ids[i]] > scores[ids[j]] })
	return tree{ids: ids}
}

// isWatcher reports whether a host watches the platform.
func (tree tree) isWatcher(id string) bool {
	rank := tree.rank(id)
	return rank >= 0 && rank < watchersPerZone
}

// receivers returns the hosts that a host announces versions to: the watchers at
// the top of the tree and the hosts directly below it.
func (tree tree) receivers(id string) []string {
	rank := tree.rank(id)
	var receivers []string
	for _, other := range tree.ids[:min(watchersPerZone, len(tree.ids))] {
		if other != id {
			receivers = append(receivers, other)
		}
	}
	if rank < 0 {
		return receivers
	}
	first := min(watchersPerZone+fanOut*rank, len(tree.ids))
	last := min(first+fanOut, len(tree.ids))
	return append(receivers, tree.ids[first:last]...)
}

// rank returns a host's index in the tree, -1 if it is not part of it.
func (tree tree) rank(id string) int {
	for i, other := range tree.ids {
		if other == id {
			return i
		}
	}
	return -1
}
