// Package peer keeps the membership of hosts and the links between them, which
// carry envelopes both ways.
package peer

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Host describes a live host.
type Host struct {
	ID      string
	Zone    string
	Address string
	// Leaving hosts take on no responsibility and hand over what they have.
	Leaving bool
	// Incarnation distinguishes successive runs of a host under the same id; it
	// is the start time in microseconds.
	Incarnation uint64
}

// View is the set of live hosts as this host sees it. It is immutable. Two
// hosts' views may differ, so safety must not depend on them.
type View struct {
	// Hosts is sorted by id.
	Hosts []Host
}

// Find returns the host with the given id.
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

// Zones returns the names of the zones, sorted.
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

// Responsible returns the host of a zone that is responsible for a key, by
// rendezvous hashing over the hosts that are not leaving: when a host joins or
// leaves, only its own keys move. It returns false if all hosts of the zone are
// leaving or it has none.
func (view *View) Responsible(zone, key string) (Host, bool) {
	return view.responsible(key, func(host *Host) bool { return host.Zone == zone })
}

// ResponsibleAcrossZones is like Responsible over the hosts of all zones.
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

// Score returns the rendezvous hash of a host and a key; the host with the
// highest score is responsible.
func Score(host, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// A digest's WriteString never fails.
	_, _ = digest.WriteString(host)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// Members holds the current view, which is read without a lock.
type Members struct {
	// Self is this host.
	Self Host

	view          atomic.Pointer[View]
	mutex         sync.Mutex
	viewListeners []func(*View)

	version          atomic.Int64
	versionListeners []func(host string, version int64)
}

// View returns the current view. Before the first SetHosts it holds only this
// host.
func (members *Members) View() *View {
	if view := members.view.Load(); view != nil {
		return view
	}
	return &View{Hosts: []Host{members.Self}}
}

// OnChange registers a callback for new views and first calls it with the
// current one.
func (members *Members) OnChange(listener func(*View)) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.viewListeners = append(members.viewListeners, listener)
	listener(members.View())
}

// SetHosts makes the given hosts the current view and passes it to the
// callbacks.
func (members *Members) SetHosts(hosts []Host) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	view := &View{Hosts: append([]Host(nil), hosts...)}
	sort.Slice(view.Hosts, func(i, j int) bool { return view.Hosts[i].ID < view.Hosts[j].ID })
	members.view.Store(view)
	for _, listener := range members.viewListeners {
		listener(view)
	}
}

// SetVersion sets the configuration version in force on this host, which probes
// carry to the other hosts.
func (members *Members) SetVersion(version int64) { members.version.Store(version) }

// Version returns the configuration version set last, 0 if none.
func (members *Members) Version() int64 { return members.version.Load() }

// OnVersion registers a callback for the configuration versions that other hosts
// have in force. It is called for each valid datagram received, except from a
// host that has left, and must be registered before probing starts.
func (members *Members) OnVersion(listener func(host string, version int64)) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.versionListeners = append(members.versionListeners, listener)
}

// notifyVersion passes another host's configuration version to the callbacks.
func (members *Members) notifyVersion(host string, version int64) {
	members.mutex.Lock()
	listeners := members.versionListeners
	members.mutex.Unlock()
	for _, listener := range listeners {
		listener(host, version)
	}
}
