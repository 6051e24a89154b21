// Package configuration keeps a host at the newest version of the operators'
// configuration: by a watch of the platform, and from host to host.
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
	// watchWait is how long one watch waits for a change. A plain read
	// follows it, for changes that the watch did not tell.
	watchWait = 3 * time.Second
	// watchRetry is the pause, with jitter, after a watch that failed.
	watchRetry = 500 * time.Millisecond
	// pollInterval is the time between two plain reads by the hosts of a zone
	// that hold no watch, taken together.
	pollInterval = 30 * time.Second
	// roleInterval is how often a host looks whether it holds the watch.
	roleInterval = 500 * time.Millisecond
	// startWait is how long a fresh host waits for its peers' version before
	// it works by the platform's, which may be an old one.
	startWait = 1500 * time.Millisecond
	// askInterval is how often a host without a configuration asks peers.
	askInterval = 500 * time.Millisecond
	// askPeers is how many it asks at a time.
	askPeers = 3
	// offers is how often a new version is offered on again, each offerInterval,
	// in case an offer, the question or the text was lost.
	offers        = 3
	offerInterval = 400 * time.Millisecond
	// wants is how often a text is asked for, each wantInterval, of the host
	// that told its version last.
	wants        = 4
	wantInterval = 300 * time.Millisecond
)

var eventUnreadable = timeline.Define(timeline.Kind{
	Number: 8003, Name: "configuration unreadable", Level: timeline.Error,
	Meaning: "The platform holds a configuration that this program can't read; the one in force stays.",
	Action:  "apply a configuration that passes nutmegfield check",
})

// Counters of the relay.
var (
	unreadable = expvar.NewInt("configurationsUnreadable")
	older      = expvar.NewInt("configurationsOlder")
)

// Relay keeps a host's store at the newest version: from the platform, on the
// hosts of a zone that hold the watch, and from peers on all. Fields are set
// before use.
type Relay struct {
	Self   peer.Host
	Store  *profile.Store
	Known  profile.RegisteredNames
	API    objects.API
	View   func() *peer.View
	Send   func(host string, envelope *peerpb.Envelope)
	Events *timeline.Recorder

	mutex sync.Mutex
	// started is set when the first configuration may be put in force.
	started bool
	// candidate is the highest configuration read before that.
	candidate *profile.Snapshot
	// refused is the highest version that can't be read.
	refused int64
	// wanted is the highest version that peers told, wantedFrom the one that
	// told it last, and wantsLeft how often it is still to be asked for.
	wanted     int64
	wantedFrom string
	wantsLeft  int
	// offersLeft is how often the version in force is still to be offered on.
	offersLeft int
}

// Run follows the platform and the peers until the context ends.
func (relay *Relay) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { relay.start(ctx) })
	group.Go(func() { relay.watch(ctx) })
	group.Go(func() { relay.poll(ctx) })
	group.Go(func() { relay.offerAgain(ctx) })
	group.Go(func() { relay.wantAgain(ctx) })
	group.Wait()
	return nil
}

// start asks peers until there is a configuration, and lets the platform's
// come in force after a short wait for theirs.
func (relay *Relay) start(ctx context.Context) {
	begin := time.Now()
	for ctx.Err() == nil && relay.version() == 0 {
		relay.ask()
		pause.For(ctx, askInterval)
		if time.Since(begin) >= startWait {
			relay.begin()
		}
	}
}

// begin puts the candidate in force.
func (relay *Relay) begin() {
	relay.mutex.Lock()
	relay.started = true
	candidate := relay.candidate
	relay.candidate = nil
	relay.mutex.Unlock()
	if candidate != nil {
		relay.accept(candidate, true)
	}
}

// ask asks some peers, of the own zone first, for what they have in force.
func (relay *Relay) ask() {
	view := relay.View()
	others := shuffledOthers(view.Zone(relay.Self.Zone), relay.Self.ID)
	others = append(others, shuffledOthers(view.Hosts, relay.Self.ID)...)
	for _, host := range others[:min(askPeers, len(others))] {
		relay.send(host.ID, &peerpb.Configuration{Wanted: true})
	}
}

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

// watch holds the watch while it is this host's turn.
func (relay *Relay) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !relay.tree().watches(relay.Self.ID) {
			pause.For(ctx, pause.Jitter(roleInterval))
			continue
		}
		if !relay.watchOnce(ctx) {
			pause.For(ctx, pause.Jitter(watchRetry))
		}
	}
}

// watchOnce waits for a change and reports whether the platform answered as
// it should.
func (relay *Relay) watchOnce(ctx context.Context) bool {
	object, changed, err := relay.API.Watch(ctx, profile.ObjectKind, profile.ObjectName, relay.seen(), watchWait)
	if err != nil {
		return false
	}
	if !changed {
		return relay.get(ctx)
	}
	return relay.take(object.Version, object.Value, true)
}

// poll reads the object now and then on every host, at a rate for the zone
// that does not grow with its hosts.
func (relay *Relay) poll(ctx context.Context) {
	relay.get(ctx)
	for ctx.Err() == nil {
		hosts := max(1, len(relay.View().Zone(relay.Self.Zone)))
		pause.For(ctx, pause.Jitter(pollInterval*time.Duration(hosts)))
		if ctx.Err() == nil {
			relay.get(ctx)
		}
	}
}

// get reads the object and reports whether it could.
func (relay *Relay) get(ctx context.Context) bool {
	object, err := relay.API.Get(ctx, profile.ObjectKind, profile.ObjectName)
	if objects.Is(err, objects.NotFound) {
		return true
	}
	if err != nil {
		return false
	}
	return relay.take(object.Version, object.Value, true)
}

// Heard tells the version that another host has in force.
func (relay *Relay) Heard(host string, version int64) {
	if version <= relay.seen() {
		return
	}
	relay.mutex.Lock()
	asked := version <= relay.wanted && relay.wantsLeft > 0
	relay.wantedFrom = host
	if !asked {
		relay.wanted = version
		relay.wantsLeft = wants
	}
	relay.mutex.Unlock()
	if !asked {
		relay.send(host, &peerpb.Configuration{Version: version, Wanted: true})
	}
}

// wantAgain repeats the question for a text that does not come.
func (relay *Relay) wantAgain(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, pause.Jitter(wantInterval))
		seen := relay.seen()
		relay.mutex.Lock()
		if relay.wanted <= seen {
			relay.wantsLeft = 0
		}
		again := relay.wantsLeft > 0
		if again {
			relay.wantsLeft--
		}
		host, wanted := relay.wantedFrom, relay.wanted
		relay.mutex.Unlock()
		if again && ctx.Err() == nil {
			relay.send(host, &peerpb.Configuration{Version: wanted, Wanted: true})
		}
	}
}

// Receive handles what peers say of configurations.
func (relay *Relay) Receive(from string, envelope *peerpb.Envelope) {
	for _, message := range envelope.GetConfigurations() {
		switch {
		case message.GetWanted():
			relay.answer(from, message.GetVersion())
		case len(message.GetText()) == 0:
			relay.Heard(from, message.GetVersion())
		default:
			relay.take(message.GetVersion(), message.GetText(), false)
		}
	}
}

// answer sends the text in force to a host that wants a version.
func (relay *Relay) answer(host string, version int64) {
	snapshot := relay.Store.Current()
	if snapshot == nil || snapshot.Version < version {
		return
	}
	relay.send(host, &peerpb.Configuration{Version: snapshot.Version, Text: snapshot.Text})
}

// take reads a configuration and puts it in force if it is newer. It reports
// whether the version was neither old nor unreadable.
func (relay *Relay) take(version int64, text []byte, fromPlatform bool) bool {
	if seen := relay.seen(); version <= seen {
		if version < seen {
			older.Add(1)
		}
		return version == seen
	}
	configuration, err := relay.Known.Decode(profile.ObjectKind+"/"+profile.ObjectName, text)
	if err != nil {
		relay.refuse(version, err)
		return false
	}
	snapshot := profile.NewSnapshot(version, *configuration)
	snapshot.Text = text
	relay.accept(snapshot, fromPlatform)
	return true
}

// accept puts a snapshot in force, or keeps it until the start is over. What
// a peer works by may come in force at once.
func (relay *Relay) accept(snapshot *profile.Snapshot, fromPlatform bool) {
	relay.mutex.Lock()
	if fromPlatform && !relay.started {
		if relay.candidate == nil || relay.candidate.Version < snapshot.Version {
			relay.candidate = snapshot
		}
		relay.mutex.Unlock()
		return
	}
	if candidate := relay.candidate; candidate != nil && candidate.Version > snapshot.Version {
		snapshot = candidate
	}
	relay.started = true
	relay.candidate = nil
	relay.offersLeft = offers
	relay.mutex.Unlock()
	if relay.Store.ApplyIfNewer(snapshot) {
		relay.passOn(snapshot.Version)
	}
}

func (relay *Relay) offerAgain(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, pause.Jitter(offerInterval))
		relay.mutex.Lock()
		again := relay.offersLeft > 0
		if again {
			relay.offersLeft--
		}
		relay.mutex.Unlock()
		if again && ctx.Err() == nil {
			relay.passOn(relay.version())
		}
	}
}

// passOn offers a version to the hosts below this one in the zone's tree and
// to the ones at its top, in case it came past them.
func (relay *Relay) passOn(version int64) {
	for _, host := range relay.tree().receivers(relay.Self.ID) {
		relay.send(host, &peerpb.Configuration{Version: version})
	}
}

// refuse counts a version that can't be read, and logs it once.
func (relay *Relay) refuse(version int64, err error) {
	unreadable.Add(1)
	relay.mutex.Lock()
	first := version > relay.refused
	relay.refused = max(relay.refused, version)
	relay.mutex.Unlock()
	if first {
		relay.Events.Record(eventUnreadable, timeline.Event{Detail: "version " + strconv.FormatInt(version, 10) + ": " + err.Error()})
	}
}

// version is that in force, 0 for none.
func (relay *Relay) version() int64 {
	if snapshot := relay.Store.Current(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// seen is the highest version in force, waiting for the start, or refused;
// nothing at or below it is asked for.
func (relay *Relay) seen() int64 {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	seen := max(relay.version(), relay.refused)
	if relay.candidate != nil {
		seen = max(seen, relay.candidate.Version)
	}
	return seen
}

func (relay *Relay) tree() tree {
	return newTree(relay.View().Zone(relay.Self.Zone))
}

func (relay *Relay) send(host string, configuration *peerpb.Configuration) {
	relay.Send(host, &peerpb.Envelope{Configurations: []*peerpb.Configuration{configuration}})
}
