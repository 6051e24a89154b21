// Package configuration keeps a host at the newest version of the operators'
// configuration. Some hosts of each zone watch the platform; the others receive
// new versions from their peers.
package configuration

import (
	"context"
	"expvar"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"nutmegfield.example/objects"
	"nutmegfield.example/pause"
	"nutmegfield.example/peer"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/profile"
	"nutmegfield.example/timeline"
)

const (
	// watchWait is how long one watch request waits for a change. A watch
	// without a change is followed by a plain read, in case the watch missed one.
	watchWait = 3 * time.Second
	// watchBackoff is the pause, before jitter, after a failed watch.
	watchBackoff = 500 * time.Millisecond
	// pollInterval is the average time between two plain reads in a zone, over
	// all of its hosts.
	pollInterval = 30 * time.Second
	// roleCheckInterval is how often a host checks whether it has to watch.
	roleCheckInterval = 500 * time.Millisecond
	// bootstrapTimeout is how long a new host waits for a peer's version before
	// it uses the platform's, which may be outdated.
	bootstrapTimeout = 1500 * time.Millisecond
	// bootstrapInterval is how often a host without a configuration requests
	// one from its peers.
	bootstrapInterval = 500 * time.Millisecond
	// bootstrapPeers is the number of peers that each such request goes to.
	bootstrapPeers = 3
	// announceRepeats is how often a new version is announced again, every
	// announceInterval, in case the announcement, the request for the text or
	// the text was lost.
	announceRepeats  = 3
	announceInterval = 400 * time.Millisecond
	// requestRepeats is how often the request for a text is repeated, every
	// requestInterval. It goes to the host that announced a newer version last.
	requestRepeats  = 4
	requestInterval = 300 * time.Millisecond
)

var eventUnreadable = timeline.Define(timeline.Kind{
	Number: 8003, Name: "configuration unreadable", Level: timeline.Error,
	Meaning: "The platform holds a configuration that this program can't read; the one in force stays.",
	Action:  "apply a configuration that passes nutmegfield check",
})

// Counters of the configurations received that can't be read or are older than
// the one in force.
var (
	unreadableCount = expvar.NewInt("configurationsUnreadable")
	olderCount      = expvar.NewInt("configurationsOlder")
)

// Relay keeps a host's store at the newest version. It reads from the platform,
// by a watch on the first hosts of a zone and by rare reads on all, and exchanges
// versions with peers. Fields are set before use.
type Relay struct {
	Self  peer.Host
	Store *profile.Store
	// RegisteredNames holds the names that a configuration may use.
	RegisteredNames profile.RegisteredNames
	API             objects.API
	// View returns the current view of the membership.
	View func() *peer.View
	// Send sends an envelope to a host. It must not block; messages may be lost.
	Send   func(host string, envelope *peerpb.Envelope)
	Events *timeline.Recorder

	mutex sync.Mutex
	// bootstrapped is set once a configuration of the platform may come in
	// force: after bootstrapTimeout, or after a peer's configuration.
	bootstrapped bool
	// candidate is the newest configuration that the platform returned before
	// bootstrapped was set.
	candidate *profile.Snapshot
	// unreadableVersion is the highest version that could not be read, 0 for none.
	unreadableVersion int64
	// requestedVersion is the version last requested, requestTarget the host that
	// last announced a version newer than this host's, and requestsLeft the number
	// of repeats left.
	requestedVersion int64
	requestTarget    string
	requestsLeft     int
	// announcementsLeft is how often the version in force is still to be
	// announced again.
	announcementsLeft int
}

// Run follows the platform and the peers until the context ends. It returns nil.
func (relay *Relay) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { relay.bootstrap(ctx) })
	group.Go(func() { relay.watch(ctx) })
	group.Go(func() { relay.poll(ctx) })
	group.Go(func() { relay.repeatAnnouncements(ctx) })
	group.Go(func() { relay.repeatRequests(ctx) })
	group.Wait()
	return nil
}

// bootstrap requests a configuration from peers until one is in force. After
// bootstrapTimeout it accepts the platform's as well.
func (relay *Relay) bootstrap(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil && relay.version() == 0 {
		relay.requestFromPeers()
		pause.For(ctx, bootstrapInterval)
		if time.Since(started) >= bootstrapTimeout {
			relay.finishBootstrap()
		}
	}
}

// finishBootstrap lets configurations of the platform come in force, the
// candidate first.
func (relay *Relay) finishBootstrap() {
	relay.mutex.Lock()
	relay.bootstrapped = true
	candidate := relay.candidate
	relay.candidate = nil
	relay.mutex.Unlock()
	if candidate != nil {
		relay.apply(candidate, true)
	}
}

// requestFromPeers requests the configuration in force from up to bootstrapPeers
// random peers, those of this host's zone first.
func (relay *Relay) requestFromPeers() {
	view := relay.View()
	others := shuffledOthers(view.Zone(relay.Self.Zone), relay.Self.ID)
	others = append(others, shuffledOthers(view.Hosts, relay.Self.ID)...)
	for _, host := range others[:min(bootstrapPeers, len(others))] {
		relay.send(host.ID, &peerpb.Configuration{Wanted: true})
	}
}

// shuffledOthers returns the hosts without this one, in random order.
func shuffledOthers(hosts []peer.Host, self string) []peer.Host {
	var others []peer.Host
	for _, host := range hosts {
		if host.ID != self {
			others = append(others, host)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// watch watches the platform while this host is one of its zone's watchers.
func (relay *Relay) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !relay.tree().isWatcher(relay.Self.ID) {
			pause.For(ctx, pause.Jitter(roleCheckInterval))
			continue
		}
		if !relay.watchOnce(ctx) {
			pause.For(ctx, pause.Jitter(watchBackoff))
		}
	}
}

// watchOnce waits for a change and reports whether the platform answered with
// a readable configuration no older than the one known.
func (relay *Relay) watchOnce(ctx context.Context) bool {
	object, changed, err := relay.API.Watch(ctx, profile.ObjectKind, profile.ObjectName, relay.highestSeen(), watchWait)
	if err != nil {
		return false
	}
	if !changed {
		return relay.read(ctx)
	}
	return relay.applyText(object.Version, object.Value, true)
}

// poll reads the object at an interval that grows with the number of hosts in the
// zone, so that the zone's total rate does not.
func (relay *Relay) poll(ctx context.Context) {
	relay.read(ctx)
	for ctx.Err() == nil {
		hosts := max(1, len(relay.View().Zone(relay.Self.Zone)))
		pause.For(ctx, pause.Jitter(pollInterval*time.Duration(hosts)))
		if ctx.Err() == nil {
			relay.read(ctx)
		}
	}
}

// read reads the object from the platform and reports whether that succeeded. An
// object that does not exist counts as success.
func (relay *Relay) read(ctx context.Context) bool {
	object, err := relay.API.Get(ctx, profile.ObjectKind, profile.ObjectName)
	if objects.Is(err, objects.NotFound) {
		return true
	}
	if err != nil {
		return false
	}
	return relay.applyText(object.Version, object.Value, true)
}

// ObserveVersion records the version that another host has in force and requests
// its text if it is newer than any known here.
func (relay *Relay) ObserveVersion(host string, version int64) {
	if version <= relay.highestSeen() {
		return
	}
	relay.mutex.Lock()
	requested := version <= relay.requestedVersion && relay.requestsLeft > 0
	relay.requestTarget = host
	if !requested {
		relay.requestedVersion = version
		relay.requestsLeft = requestRepeats
	}
	relay.mutex.Unlock()
	if !requested {
		relay.send(host, &peerpb.Configuration{Version: version, Wanted: true})
	}
}

// repeatRequests repeats the request for a text that has not arrived, every
// requestInterval.
func (relay *Relay) repeatRequests(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, pause.Jitter(requestInterval))
		seen := relay.highestSeen()
		relay.mutex.Lock()
		if relay.requestedVersion <= seen {
			relay.requestsLeft = 0
		}
		repeat := relay.requestsLeft > 0
		if repeat {
			relay.requestsLeft--
		}
		host, version := relay.requestTarget, relay.requestedVersion
		relay.mutex.Unlock()
		if repeat && ctx.Err() == nil {
			relay.send(host, &peerpb.Configuration{Version: version, Wanted: true})
		}
	}
}

// Receive handles the peers' messages on configurations: requests, announcements
// of a version, and texts.
func (relay *Relay) Receive(from string, envelope *peerpb.Envelope) {
	for _, message := range envelope.GetConfigurations() {
		switch {
		case message.GetWanted():
			relay.sendText(from, message.GetVersion())
		case len(message.GetText()) == 0:
			relay.ObserveVersion(from, message.GetVersion())
		default:
			relay.applyText(message.GetVersion(), message.GetText(), false)
		}
	}
}

// sendText sends the configuration in force to a host that requested a version,
// unless it is older than that.
func (relay *Relay) sendText(host string, version int64) {
	snapshot := relay.Store.Current()
	if snapshot == nil || snapshot.Version < version {
		return
	}
	relay.send(host, &peerpb.Configuration{Version: snapshot.Version, Text: snapshot.Text})
}

// applyText decodes a configuration and applies it if its version is newer than
// any known. It returns false for an older version and one that fails to decode.
func (relay *Relay) applyText(version int64, text []byte, fromPlatform bool) bool {
	if seen := relay.highestSeen(); version <= seen {
		if version < seen {
			olderCount.Add(1)
		}
		return version == seen
	}
	configuration, err := relay.RegisteredNames.Decode(profile.ObjectKind+"/"+profile.ObjectName, text)
	if err != nil {
		relay.recordUnreadable(version, err)
		return false
	}
	snapshot := profile.NewSnapshot(version, *configuration)
	snapshot.Text = text
	relay.apply(snapshot, fromPlatform)
	return true
}

// apply puts a snapshot in force. Before the end of the bootstrap one of the
// platform is only kept as the candidate; one of a peer comes in force at once,
// or the candidate instead if that is newer.
func (relay *Relay) apply(snapshot *profile.Snapshot, fromPlatform bool) {
	relay.mutex.Lock()
	if fromPlatform && !relay.bootstrapped {
		if relay.candidate == nil || relay.candidate.Version < snapshot.Version {
			relay.candidate = snapshot
		}
		relay.mutex.Unlock()
		return
	}
	if candidate := relay.candidate; candidate != nil && candidate.Version > snapshot.Version {
		snapshot = candidate
	}
	relay.bootstrapped = true
	relay.candidate = nil
	relay.announcementsLeft = announceRepeats
	relay.mutex.Unlock()
	if relay.Store.ApplyIfNewer(snapshot) {
		relay.announce(snapshot.Version)
	}
}

// repeatAnnouncements announces the version in force again, every
// announceInterval.
func (relay *Relay) repeatAnnouncements(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, pause.Jitter(announceInterval))
		relay.mutex.Lock()
		repeat := relay.announcementsLeft > 0
		if repeat {
			relay.announcementsLeft--
		}
		relay.mutex.Unlock()
		if repeat && ctx.Err() == nil {
			relay.announce(relay.version())
		}
	}
}

// announce sends a version to the hosts below this one in the zone's tree and
// to the watchers at its top, in case this host received it from elsewhere.
func (relay *Relay) announce(version int64) {
	for _, host := range relay.tree().receivers(relay.Self.ID) {
		relay.send(host, &peerpb.Configuration{Version: version})
	}
}

// recordUnreadable counts a version that can't be read and records an event for
// each new highest one.
func (relay *Relay) recordUnreadable(version int64, err error) {
	unreadableCount.Add(1)
	relay.mutex.Lock()
	first := version > relay.unreadableVersion
	relay.unreadableVersion = max(relay.unreadableVersion, version)
	relay.mutex.Unlock()
	if first {
		relay.Events.Record(eventUnreadable, timeline.Event{Detail: "version " + strconv.FormatInt(version, 10) + ": " + err.Error()})
	}
}

// version returns the version in force, 0 if there is none.
func (relay *Relay) version() int64 {
	if snapshot := relay.Store.Current(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// highestSeen returns the highest version that is in force, the candidate or
// unreadable. Versions up to it are not requested.
func (relay *Relay) highestSeen() int64 {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	seen := max(relay.version(), relay.unreadableVersion)
	if relay.candidate != nil {
		seen = max(seen, relay.candidate.Version)
	}
	return seen
}

// tree returns the tree of this host's zone by the current view.
func (relay *Relay) tree() tree {
	return newTree(relay.View().Zone(relay.Self.Zone))
}

func (relay *Relay) send(host string, configuration *peerpb.Configuration) {
	relay.Send(host, &peerpb.Envelope{Configurations: []*peerpb.Configuration{configuration}})
}
