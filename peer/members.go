// Package peer is how the hosts know and reach each other: membership, and
// links that carry envelopes both ways.
package peer

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Host is one live host.
type Host struct {
	ID      string
	Zone    string
	Address string
	// Leaving hosts take on no responsibility and hand over what they have.
	Leaving bool
	// Incarnation tells two lives of a host of the same id apart.
	Incarnation uint64
}

// View is what this host believes of the others. It is never changed once
// made, and two hosts' views may differ: nothing safe may rest on it.
type View struct {
	// Hosts is ordered by id.
	Hosts []Host
}

// Find returns a host by id.
func (view *View) Find(id string) (Host, bool) {
	i := sort.Search(len(view.Hosts), func(i int) bool { return view.Hosts[i].ID >= id })
	if i < len(view.Hosts) && view.Hosts[i].ID == id {
		return view.Hosts[i], true
	}
	return Host{}, false
}

// Zone returns the hosts of a zone.
func (view *View) Zone(zone string) []Host {
	var hosts []Host
	for _, host := range view.Hosts {
		if host.Zone == zone {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Zones returns the names of the zones in order.
func (view *View) Zones() []string {
	var zones []string
	for _, host := range view.Hosts {
		i := sort.SearchStrings(zones, host.Zone)
		if i == len(zones) || zones[i] != host.Zone {
			zones = append(zones, "")
			copy(zones[i+1:], zones[i:])
			zones[i] = host.Zone
		}
	}
	return zones
}

// Responsible returns the host of a zone that a key falls to, by rendezvous
// hashing over the hosts that are not leaving: when a host comes or goes only
// its own keys move.
func (view *View) Responsible(zone, key string) (Host, bool) {
	return view.responsible(key, func(host *Host) bool { return host.Zone == zone })
}

// ResponsibleAcrossZones is Responsible over the hosts of all zones.
func (view *View) ResponsibleAcrossZones(key string) (Host, bool) {
	return view.responsible(key, func(*Host) bool { return true })
}

func (view *View) responsible(key string, eligible func(*Host) bool) (Host, bool) {
	var best Host
	var highest uint64
	found := false
	for _, host := range view.Hosts {
		if host.Leaving || !eligible(&host) {
			continue
		}
		score := Score(host.ID, key)
		if !found || score > highest {
			best, highest, found = host, score, true
		}
	}
	return best, found
}

// Score ranks a host for a key; the highest of a zone is responsible.
func Score(host, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// A digest's WriteString never fails.
	_, _ = digest.WriteString(host)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// Members holds the present view. Readers load it without a lock.
type Members struct {
	// Self is this host.
	Self Host

	view      atomic.Pointer[View]
	mutex     sync.Mutex
	listeners []func(*View)

	version          atomic.Int64
	versionListeners []func(host string, version int64)
}

// View returns the present view.
func (members *Members) View() *View {
	if view := members.view.Load(); view != nil {
		return view
	}
	return &View{Hosts: []Host{members.Self}}
}

// OnChange calls back with each new view.
func (members *Members) OnChange(listener func(*View)) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.listeners = append(members.listeners, listener)
	listener(members.View())
}

// SetHosts puts a new view in force.
func (members *Members) SetHosts(hosts []Host) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	view := &View{Hosts: append([]Host(nil), hosts...)}
	sort.Slice(view.Hosts, func(i, j int) bool { return view.Hosts[i].ID < view.Hosts[j].ID })
	members.view.Store(view)
	for _, listener := range members.listeners {
		listener(view)
	}
}

// SetVersion tells the other hosts, with the probes, which version of the
// configuration is in force here.
func (members *Members) SetVersion(version int64) { members.version.Store(version) }

// Version is the version last set.
func (members *Members) Version() int64 { return members.version.Load() }

// OnVersion calls back with the version that another host has in force,
// each time a probe tells it. It is called before the members are probed.
func (members *Members) OnVersion(listener func(host string, version int64)) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.versionListeners = append(members.versionListeners, listener)
}

// notifyVersion passes on the version that another host told.
func (members *Members) notifyVersion(host string, version int64) {
	members.mutex.Lock()
	listeners := members.versionListeners
	members.mutex.Unlock()
	for _, listener := range listeners {
		listener(host, version)
	}
}
