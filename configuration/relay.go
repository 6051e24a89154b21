// Package configuration puts the newest version of the operators' configuration in
// force on a host. Some hosts of each zone watch the platform; the others receive
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
	// pollInterval is the average time between two reads of a zone, over all of
	// its hosts, in addition to those that follow a watch.
	pollInterval = 30 * time.Second
	// roleCheckInterval is the time between two checks of a host that does not
	// watch whether it has to.
	roleCheckInterval = 500 * time.Millisecond
	// bootstrapTimeout is how long a new host waits for a peer's version before
	// it uses the platform's, which may be outdated.
	bootstrapTimeout = 1500 * time.Millisecond
	// bootstrapInterval is the time between two requests of a host without a
	// configuration to its peers.
	bootstrapInterval = 500 * time.Millisecond
	// bootstrapPeers is the number of peers that a host without a configuration
	// sends a request to every bootstrapInterval.
	bootstrapPeers = 3
	// announceRepeats is the number of times that a new version is announced
	// again, in case the announcement, the request for the text or the text was
	// lost.
	announceRepeats = 3
	// announceInterval is the time between two announcements of a version.
	announceInterval = 400 * time.Millisecond
	// requestRepeats is the number of times that a request for a text is
	// repeated. Repeats go to the host that announced a newer version last.
	requestRepeats = 4
	// requestInterval is the time between two requests for a text.
	requestInterval = 300 * time.Millisecond
)

var eventUnreadable = timeline.Define(timeline.Kind{
	Number: 8003, Name: "configuration unreadable", Level: timeline.Error,
	Meaning: "The platform holds a configuration that this program can't read; the one in force stays.",
	Action:  "apply a configuration that passes nutmegfield check",
})

// Counters of the configurations received that can't be read, and of those that are
// older than the highest version seen.
var (
	unreadableCount = expvar.NewInt("configurationsUnreadable")
	olderCount      = expvar.NewInt("configurationsOlder")
)

// Relay keeps the newest configuration in a host's store. The first hosts of a
// zone's tree watch the platform, and all hosts read it at long intervals. Hosts
// announce new versions to peers, which then request the text. Fields must be set
// before Run.
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
	// bootstrapped is set once the platform's configurations may be put in
	// force: after bootstrapTimeout, or after a peer's configuration.
	bootstrapped bool
	// candidate is the newest configuration that the platform returned before
	// bootstrapped was set.
	candidate *profile.Snapshot
	// unreadableVersion is the highest version whose text could not be decoded,
	// 0 for none.
	unreadableVersion int64
	// requestedVersion is the version whose text was last requested.
	requestedVersion int64
	// requestTarget is the host that last announced a version not seen here yet;
	// repeats of the request go to it.
	requestTarget string
	// requestsLeft is the number of times that the request is still to be
	// repeated.
	requestsLeft int
	// announcementsLeft is the number of times that the version in force is
	// still to be announced again.
	announcementsLeft int
}

// Run reads from the platform and exchanges versions with peers until the context
// ends. It returns nil.
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
// bootstrapTimeout it allows the platform's configurations, too.
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

// finishBootstrap allows the platform's configurations to be put in force, and
// applies the candidate if there is one.
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
// random peers, those of this host's zone first. A peer of the zone may be chosen
// twice.
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

// watch sends one watch request after the other while this host is one of its
// zone's watchers.
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

// watchOnce sends one watch request, followed by a read if nothing changed, and
// applies the configuration. It returns false if a request failed or the
// configuration is older than the highest version seen or can't be decoded.
func (relay *Relay) watchOnce(ctx context.Context) bool {
	object, changed, err := relay.API.Watch(ctx, profile.ObjectKind, profile.ObjectName, relay.highestSeen(), watchWait)
	if err != nil {
		return false
	}
	if !changed {
		return relay.readPlatform(ctx)
	}
	return relay.applyText(object.Version, object.Value, true)
}

// poll reads the configuration at an interval proportional to the number of hosts
// in the zone, which keeps the zone's total rate constant.
func (relay *Relay) poll(ctx context.Context) {
	relay.readPlatform(ctx)
	for ctx.Err() == nil {
		hosts := max(1, len(relay.View().Zone(relay.Self.Zone)))
		pause.For(ctx, pause.Jitter(pollInterval*time.Duration(hosts)))
		if ctx.Err() == nil {
			relay.readPlatform(ctx)
		}
	}
}

// readPlatform reads the configuration from the platform and applies it. It returns
// false if the request failed or the configuration is older than the highest version
// seen or can't be decoded, and true if the platform has none.
func (relay *Relay) readPlatform(ctx context.Context) bool {
	object, err := relay.API.Get(ctx, profile.ObjectKind, profile.ObjectName)
	if objects.Is(err, objects.NotFound) {
		return true
	}
	if err != nil {
		return false
	}
	return relay.applyText(object.Version, object.Value, true)
}

// ObserveVersion tells the relay the version that another host has in force. It
// requests the text if the version is newer than any seen here, unless a request for
// that version or a newer one is still being repeated.
func (relay *Relay) ObserveVersion(host string, version int64) {
	if version <= relay.highestSeen() || version > objects.MaxVersion {
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

// repeatRequests repeats the request for a text that has not arrived, up to
// requestRepeats times.
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

// Receive handles the messages about configurations in a peer's envelope: requests
// for a text, announcements of a version, and texts.
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

// applyText decodes and applies a configuration whose version is higher than any
// seen. It returns false if the version is lower than the highest one seen or the
// text can't be decoded.
func (relay *Relay) applyText(version int64, text []byte, fromPlatform bool) bool {
	if version > objects.MaxVersion {
		// It would be taken as newer than all that follow.
		unreadableCount.Add(1)
		return false
	}
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

// apply puts a snapshot in force and announces its version. Until bootstrapped is
// set it keeps a snapshot of the platform as the candidate instead. For a peer's
// snapshot with a lower version than the candidate's it puts the candidate in force.
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

// repeatAnnouncements repeats the announcement of each version put in force, up to
// announceRepeats times.
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

// announce announces a version to the hosts directly below this one in the zone's
// tree, and to the watchers at its top in case the version did not reach this host
// through them.
func (relay *Relay) announce(version int64) {
	for _, host := range relay.tree().receivers(relay.Self.ID) {
		relay.send(host, &peerpb.Configuration{Version: version})
	}
}

// recordUnreadable counts a configuration that can't be decoded, and records an event
// if its version is higher than unreadableVersion.
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

// highestSeen returns the highest of the version in force, the candidate's and
// unreadableVersion. Texts of versions up to it are not requested.
func (relay *Relay) highestSeen() int64 {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	seen := max(relay.version(), relay.unreadableVersion)
	if relay.candidate != nil {
		seen = max(seen, relay.candidate.Version)
	}
	return seen
}

// tree returns the tree of this host's zone, built from the current view of the
// membership.
func (relay *Relay) tree() tree {
	return newTree(relay.View().Zone(relay.Self.Zone))
}

func (relay *Relay) send(host string, configuration *peerpb.Configuration) {
	relay.Send(host, &peerpb.Envelope{Configurations: []*peerpb.Configuration{configuration}})
}
