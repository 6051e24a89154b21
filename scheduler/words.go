package scheduler

import (
	"sync"
	"time"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/pool"
	"nutmegfield.example/timeline"
)

// backAfter is how long a target is held to be leaving at least: its reports
// lag, and one from before must not undo the word.
const backAfter = 5 * time.Second

var eventLeaving = timeline.Define(timeline.Kind{
	Number: 2005, Name: "target leaving", Level: timeline.Info,
	Meaning: "A target said that it is leaving, or, with the detail back, that it takes work again; the hosts of the zone are told.",
})

// place names a target of a pool.
type place struct {
	pool   string
	target string
}

// word is the newest word on a target's state.
type word struct {
	leaving bool
	// sequence orders the words on one target: the time of the first host
	// that had it, in microseconds, raised above the word before.
	sequence uint64
	at       time.Time
}

// words holds what is known of the targets' leaving.
type words struct {
	mutex   sync.Mutex
	byPlace map[place]word
}

// learn takes a word if it is newer than what is known.
func (words *words) learn(place place, leaving bool, sequence uint64) bool {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	if sequence <= words.byPlace[place].sequence {
		return false
	}
	words.put(place, leaving, sequence)
	return true
}

// report makes a word of a target's own report where that is news. It returns
// the word's sequence number, 0 for none.
func (words *words) report(place place, leaving bool) uint64 {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	known := words.byPlace[place]
	if known.leaving == leaving || (!leaving && time.Since(known.at) < backAfter) {
		return 0
	}
	sequence := max(known.sequence+1, uint64(time.Now().UnixMicro()))
	words.put(place, leaving, sequence)
	return sequence
}

func (words *words) put(at place, leaving bool, sequence uint64) {
	if words.byPlace == nil {
		words.byPlace = map[place]word{}
	}
	words.byPlace[at] = word{leaving: leaving, sequence: sequence, at: time.Now()}
}

// leaving reports the newest word on a target.
func (words *words) leaving(place place) bool {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	return words.byPlace[place].leaving
}

// messages returns every word, for a host that may have missed some.
func (words *words) messages() []*peerpb.TargetWord {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	var messages []*peerpb.TargetWord
	for place, word := range words.byPlace {
		messages = append(messages, message(place, word.leaving, word.sequence))
	}
	return messages
}

func message(place place, leaving bool, sequence uint64) *peerpb.TargetWord {
	return &peerpb.TargetWord{Pool: place.pool, Target: place.target, Leaving: leaving, Sequence: sequence}
}

// Leaving reports whether a target was last said to be leaving.
func (scheduler *Scheduler) Leaving(pool, target string) bool {
	return scheduler.words.leaving(place{pool, target})
}

// reported takes a target's own report and spreads what is news.
func (scheduler *Scheduler) reported(place place, leaving bool) {
	sequence := scheduler.words.report(place, leaving)
	if sequence == 0 {
		return
	}
	scheduler.apply(place, leaving)
	told := message(place, leaving, sequence)
	for _, host := range scheduler.ZoneHosts() {
		if host != scheduler.Host {
			scheduler.Send(host, &peerpb.Envelope{Targets: []*peerpb.TargetWord{told}})
		}
	}
}

// receiveWords takes the words of the other hosts.
func (scheduler *Scheduler) receiveWords(envelope *peerpb.Envelope) {
	for _, told := range envelope.GetTargets() {
		place := place{told.GetPool(), told.GetTarget()}
		if scheduler.words.learn(place, told.GetLeaving(), told.GetSequence()) {
			scheduler.apply(place, told.GetLeaving())
		}
	}
}

func (scheduler *Scheduler) apply(place place, leaving bool) {
	event := timeline.Event{Pool: place.pool, Target: place.target}
	if !leaving {
		event.Detail = "back"
	}
	scheduler.Events.Record(eventLeaving, event)
	found := scheduler.find(place.pool)
	switch {
	case found == nil:
	case leaving:
		found.SetLeaving(place.target, true)
	case scheduler.reconfigure(place, found):
		found.SetLeaving(place.target, false)
	}
}

// reconfigure puts a pool's configuration in force anew, without a word that
// no longer holds. It reports whether the operators let the target work.
func (scheduler *Scheduler) reconfigure(place place, running *pool.Pool) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	snapshot := scheduler.Store.Current()
	described := snapshot.Pool(place.pool)
	if described == nil {
		return false
	}
	running.Configure(scheduler.withWords(place.pool, configuration(snapshot, described, scheduler.Zone)))
	told := described.Target(place.target)
	return told != nil && !told.Leaving
}

// withWords marks the targets of a configuration that said they are leaving.
func (scheduler *Scheduler) withWords(name string, configuration pool.Configuration) pool.Configuration {
	for i := range configuration.Targets {
		target := &configuration.Targets[i]
		target.Leaving = target.Leaving || scheduler.Leaving(name, target.Name)
	}
	return configuration
}
