package quarantine

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/timeline"
)

const (
	// quarantineCrashes is the number of targets that must have ended under a trait
	// before it is quarantined. Other requests that ran on the same target are rarely
	// on the next two as well.
	quarantineCrashes = 3
	// The first quarantine of a content lasts firstQuarantine. Each further one, after
	// another crash, lasts quarantineGrowth times as long, up to maxQuarantine, so that
	// a trait crashes at most three more targets in a day.
	firstQuarantine  = 10 * time.Minute
	quarantineGrowth = 8
	maxQuarantine    = 24 * time.Hour
	// trialStep is the time after which one more host tries a trait again after its
	// quarantine, so that the others learn of a crash before they do.
	trialStep = 2 * time.Second
	// suspicionLifetime is how long a trait is remembered after its last crash or its
	// last success. After a quarantine it is remembered as long as that lasted.
	suspicionLifetime = 10 * time.Minute
	// maxSuspects limits the traits that are remembered.
	maxSuspects = 1024
	// maxEndings limits the targets remembered for a trait.
	maxEndings = 12
	// expireInterval is how often traits are checked for expiry.
	expireInterval = time.Second
)

var (
	eventQuarantined = timeline.Define(timeline.Kind{
		Number: 1113, Name: "request quarantined", Level: timeline.Warn,
		Meaning: "Several targets ended while they ran requests of the content, or that share a path or a part of their prompts (the fact kind is shared), and no other requests explain it, so such requests are refused for the time in the facts. Lines 1112 with the fact content as their content or in shared, on all hosts, name the targets and requests.",
		Action:  "find the caller by the requests of lines 1112, and have it stop or the targets repaired",
	})
	eventLearned = timeline.Define(timeline.Kind{
		Number: 1114, Name: "suspicion learned", Level: timeline.Info,
		Meaning: "Another host reported targets that ended under the content; the fact crashes is the number now known.",
	})
	eventServed = timeline.Define(timeline.Kind{
		Number: 1120, Name: "suspected request served", Level: timeline.Info,
		Meaning: "A target served a request of the content, which stays suspected: it was cleared before, more targets have ended under it since, and fewer have served it on this host than ended.",
	})
	eventTrial = timeline.Define(timeline.Kind{
		Number: 1118, Name: "quarantined request tried", Level: timeline.Info,
		Meaning: "The quarantine of the content is over, and one request with it is let through to see whether it still crashes its target.",
	})
	eventSuspicionEnded = timeline.Define(timeline.Kind{
		Number: 1115, Name: "suspicion ended", Level: timeline.Info,
		Meaning: "The content, or what requests share, is no longer suspected, for the reason in the detail: a target served it, the targets that seemed to have ended answered, other requests explain why targets ended, it expired, or there were too many suspects.",
	})
)

// Ending is the end of a target while it ran a request with some trait.
type Ending struct {
	Target Incarnation
	At     time.Time
	// Certain is not set if the target may only have been cut off.
	Certain bool
}

// Suspect is what is known of a trait. A Suspect without endings was cleared. It is
// immutable.
type Suspect struct {
	Trait Trait
	// Endings are sorted by time.
	Endings []Ending
	// ClearedAt is when a target last served the trait; zero for never. Earlier
	// endings don't count.
	ClearedAt time.Time
	// Depth is higher the fewer requests have the trait.
	Depth uint8
	// ServedBefore is set for a shared trait that targets served before they ended.
	ServedBefore bool
	// Quarantines is the number of quarantines so far, From and Until the times of the
	// last one and quarantineLength its length.
	Quarantines      int
	From, Until      time.Time
	quarantineLength time.Duration
	// explained is set if other traits are the cause of the endings.
	explained bool
}

// isQuarantined reports whether requests with the trait must be refused.
func (suspect *Suspect) isQuarantined(now time.Time) bool {
	return suspect.mayCrash(now) && now.Before(suspect.Until)
}

// mayCrash reports whether the trait is or was quarantined.
func (suspect *Suspect) mayCrash(now time.Time) bool {
	return suspect.Quarantines > 0 && !suspect.explained && !now.Before(suspect.From)
}

// expiresAt returns when the suspect is forgotten.
func (suspect *Suspect) expiresAt() time.Time {
	if suspect.Quarantines > 0 {
		return suspect.Until.Add(max(suspect.quarantineLength, suspicionLifetime))
	}
	last := suspect.ClearedAt
	if count := len(suspect.Endings); count > 0 {
		last = suspect.Endings[count-1].At
	}
	return last.Add(suspicionLifetime)
}

// merge returns the suspect with what else is known of its trait. The result doesn't
// depend on the order of merges.
func (suspect *Suspect) merge(learned *Suspect) *Suspect {
	merged := &Suspect{
		Trait: suspect.Trait, ClearedAt: suspect.ClearedAt,
		Depth: max(suspect.Depth, learned.Depth), ServedBefore: suspect.ServedBefore || learned.ServedBefore,
	}
	if learned.ClearedAt.After(merged.ClearedAt) {
		merged.ClearedAt = learned.ClearedAt
	}
	byTarget := map[Incarnation]Ending{}
	for _, ending := range slices.Concat(suspect.Endings, learned.Endings) {
		known, ok := byTarget[ending.Target]
		if ok && known.At.Before(ending.At) {
			ending.At = known.At
		}
		ending.Certain = ending.Certain || known.Certain
		byTarget[ending.Target] = ending
	}
	for _, ending := range byTarget {
		if ending.At.After(merged.ClearedAt) {
			merged.Endings = append(merged.Endings, ending)
		}
	}
	slices.SortFunc(merged.Endings, func(one, other Ending) int {
		return cmp.Or(one.At.Compare(other.At), cmp.Compare(one.Target, other.Target))
	})
	merged.setQuarantine()
	return merged
}

// setQuarantine computes the quarantines from the endings: the first begins with the
// ending that makes them enough, a further one with an ending after the end of the last.
// It drops endings beyond maxEndings that began no quarantine.
func (suspect *Suspect) setQuarantine() {
	length, delay := firstQuarantine, time.Duration(0)
	if suspect.Trait.isShared() {
		length = sharedQuarantine
	}
	if suspect.ServedBefore {
		delay = usualDelay
	}
	for i := 0; i < len(suspect.Endings); i++ {
		ending := suspect.Endings[i]
		switch {
		case !suspect.suffice(suspect.Endings[:i+1]):
		case suspect.Quarantines == 0 || ending.At.After(suspect.Until):
			suspect.Quarantines++
			suspect.From = ending.At.Add(delay)
			suspect.Until = suspect.From.Add(length)
			suspect.quarantineLength = length
			length, delay = min(maxQuarantine, length*quarantineGrowth), 0
		case len(suspect.Endings) > maxEndings:
			suspect.Endings = slices.Delete(suspect.Endings, i, i+1)
			i--
		}
	}
	if excess := len(suspect.Endings) - maxEndings; excess > 0 {
		suspect.Endings = slices.Delete(suspect.Endings, quarantineCrashes, quarantineCrashes+excess)
	}
}

// Suspects holds the traits under which targets have ended, as this host and the
// others have observed. Its fields are set before use.
type Suspects struct {
	Events *timeline.Recorder
	// LastAnswer returns when a target last answered this host, zero for never.
	LastAnswer func(target Incarnation) time.Time
	// Turn returns the number of hosts that try a trait again before this one, after its
	// quarantine. It may be nil.
	Turn func() int

	servedTimes servedTimes
	// known holds the suspects by trait, uncertain the targets of their uncertain
	// endings. Both are replaced, never changed.
	known     atomic.Pointer[map[Trait]*Suspect]
	uncertain atomic.Pointer[map[Incarnation]struct{}]

	// mutex guards changes of known and the fields below.
	mutex sync.Mutex
	// transmissions are those of the traits to tell the other hosts, messages is the number of
	// messages that were filled with them.
	transmissions map[Trait]transmission
	messages      int
	// changed is closed at the next change to tell the other hosts, nil if nobody
	// waits for it.
	changed chan struct{}
	// contents are those under which this host observed crashes, by their shared traits.
	contents map[Trait]crashedContents
	// own are the traits of which this host observed a crash. ownChanged is closed
	// when one of them is quarantined, nil if nobody waits for it.
	own        map[Trait]struct{}
	ownChanged chan struct{}
	// trials are the traits of which a request runs after a quarantine.
	trials map[Trait]struct{}
	// served is the number of targets that have served a suspected content on this host
	// since it was last cleared.
	served map[Trait]int
	// nextRepeated is the position in the round robin of quarantined traits.
	nextRepeated int
}

// load returns the current suspects.
func (suspects *Suspects) load() map[Trait]*Suspect {
	if known := suspects.known.Load(); known != nil {
		return *known
	}
	return nil
}

// IsEmpty reports whether no trait is remembered, so that none needs to be computed.
func (suspects *Suspects) IsEmpty() bool { return len(suspects.load()) == 0 }

// Find returns the suspect with a trait, nil if there is none, and whether it is
// quarantined.
func (suspects *Suspects) Find(trait Trait) (*Suspect, bool) {
	suspect := suspects.load()[trait]
	return suspect, suspect != nil && suspect.isQuarantined(time.Now())
}

// FindQuarantined returns a suspect with one of the traits that is quarantined, nil if
// there is none.
func (suspects *Suspects) FindQuarantined(traits Traits) *Suspect {
	var found *Suspect
	traits.all(func(trait Trait, _ uint8) {
		if suspect, quarantined := suspects.Find(trait); quarantined {
			found = suspect
		}
	})
	return found
}

// Admit reports whether a request with traits may run. After the quarantine of one of them,
// one request at a time may, as a trial. Release must be called when the request has
// ended. If it may not run, the suspect is the one because of which.
func (suspects *Suspects) Admit(traits Traits) (suspect *Suspect, admitted bool, release func()) {
	now := time.Now()
	var tried []Trait
	traits.all(func(trait Trait, _ uint8) {
		known := suspects.load()[trait]
		if known == nil || !known.mayCrash(now) {
			return
		}
		if now.Before(known.Until.Add(suspects.trialDelay())) {
			suspect = known
		}
		tried = append(tried, trait)
	})
	if len(tried) == 0 {
		return nil, true, func() {}
	}
	if suspect != nil {
		return suspect, false, nil
	}
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	for _, trait := range tried {
		if _, ok := suspects.trials[trait]; ok {
			return suspects.load()[trait], false, nil
		}
	}
	if suspects.trials == nil {
		suspects.trials = map[Trait]struct{}{}
	}
	for _, trait := range tried {
		suspects.trials[trait] = struct{}{}
		if known := suspects.load()[trait]; known != nil {
			suspects.Events.Record(eventTrial, timeline.Event{Facts: known.Facts(now)})
		}
	}
	return nil, true, func() {
		suspects.mutex.Lock()
		defer suspects.mutex.Unlock()
		for _, trait := range tried {
			delete(suspects.trials, trait)
		}
	}
}

// trialDelay returns the time from the end of a quarantine until this host tries the trait
// again.
func (suspects *Suspects) trialDelay() time.Duration {
	if suspects.Turn == nil {
		return 0
	}
	return time.Duration(suspects.Turn()) * trialStep
}

// RecordCrash records the end of a target that this host has observed.
func (suspects *Suspects) RecordCrash(crash Crash) {
	countCrash(crash)
	ending := Ending{Target: crash.Target, At: crash.At, Certain: crash.Evidence != Silent}
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	if suspects.own == nil {
		suspects.own = map[Trait]struct{}{}
	}
	crash.Traits.all(func(trait Trait, depth uint8) {
		suspects.own[trait] = struct{}{}
		if trait.isShared() {
			suspects.recordContent(trait, crash.Traits.Content)
		}
		suspects.apply(&Suspect{Trait: trait, Endings: []Ending{ending}, Depth: depth})
	})
}

// ownTraits returns the traits of which this host observed a crash.
func (suspects *Suspects) ownTraits() map[Trait]struct{} {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	return maps.Clone(suspects.own)
}

// forgetOwn drops the traits from the result of ownTraits that are no longer
// suspected and have no record.
func (suspects *Suspects) forgetOwn(saved map[Trait]int) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	known := suspects.load()
	maps.DeleteFunc(suspects.own, func(trait Trait, _ struct{}) bool {
		suspect := known[trait]
		_, isSaved := saved[trait]
		return !isSaved && (suspect == nil || len(suspect.Endings) == 0)
	})
}

// waitForOwn waits until a trait of which this host observed a crash is quarantined,
// but not longer than a timeout or until the context ends.
func (suspects *Suspects) waitForOwn(ctx context.Context, timeout time.Duration) {
	suspects.mutex.Lock()
	if suspects.ownChanged == nil {
		suspects.ownChanged = make(chan struct{})
	}
	changed := suspects.ownChanged
	suspects.mutex.Unlock()
	waitFor(ctx, changed, timeout)
}

// RecordServed records that a target has served a request. That clears its shared traits,
// as no target would have survived a trait that crashes them. It clears the content the
// first time. A content under which targets ended again afterwards may crash some targets
// and not others; it is cleared once targets have served it on this host as often as others
// have ended. Content is called only if there are suspects.
func (suspects *Suspects) RecordServed(shared []Trait, content func() Trait) {
	for _, trait := range shared {
		suspects.servedTimes.record(trait)
	}
	if suspects.IsEmpty() {
		return
	}
	for _, trait := range shared {
		if suspects.isSuspected(trait) {
			suspects.clear(trait)
		}
	}
	if trait := content(); suspects.isSuspected(trait) {
		suspects.recordContentServed(trait)
	}
}

func (suspects *Suspects) isSuspected(trait Trait) bool {
	suspect := suspects.load()[trait]
	return suspect != nil && len(suspect.Endings) > 0
}

// clear records that a target has just served a trait.
func (suspects *Suspects) clear(trait Trait) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.clearLocked(trait)
}

// clearLocked is clear for a caller that holds the mutex.
func (suspects *Suspects) clearLocked(trait Trait) {
	suspect := suspects.load()[trait]
	if suspect == nil || len(suspect.Endings) == 0 {
		return
	}
	if suspects.apply(&Suspect{Trait: trait, ClearedAt: time.Now()}) {
		suspects.recordEnded(suspect, "a target served it")
	}
}

func (suspects *Suspects) recordContentServed(content Trait) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspect := suspects.load()[content]
	if suspect == nil || len(suspect.Endings) == 0 {
		return
	}
	if suspects.served == nil {
		suspects.served = map[Trait]int{}
	}
	suspects.served[content]++
	if !suspect.ClearedAt.IsZero() && suspects.served[content] < len(suspect.Endings) {
		suspects.Events.Record(eventServed, timeline.Event{
			Facts: append(suspect.Facts(time.Now()), timeline.Count("served", suspects.served[content])),
		})
		return
	}
	suspects.clearLocked(content)
}

// RecordAnswer withdraws the uncertain endings of a target that has answered.
func (suspects *Suspects) RecordAnswer(target Incarnation) {
	uncertain := suspects.uncertain.Load()
	if uncertain == nil {
		return
	}
	if _, ok := (*uncertain)[target]; !ok {
		return
	}
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	known := maps.Clone(suspects.load())
	for trait, suspect := range known {
		kept := slices.DeleteFunc(slices.Clone(suspect.Endings), func(ending Ending) bool {
			return ending.Target == target && !ending.Certain
		})
		switch {
		case len(kept) == len(suspect.Endings):
		case len(kept) == 0 && suspect.ClearedAt.IsZero():
			delete(known, trait)
			delete(suspects.transmissions, trait)
			suspects.recordEnded(suspect, "the targets that seemed to have ended answered")
		default:
			remaining := &Suspect{
				Trait: trait, Endings: kept, ClearedAt: suspect.ClearedAt, Depth: suspect.Depth, ServedBefore: suspect.ServedBefore,
			}
			known[trait] = remaining.merge(&Suspect{})
			if known[trait].Quarantines < suspect.Quarantines {
				suspects.recordEnded(suspect, "quarantine withdrawn: a target that seemed to have ended answered")
			}
		}
	}
	suspects.store(known)
}

// Learn applies a suspect of another host.
func (suspects *Suspects) Learn(peer string, learned *Suspect) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	endings := slices.DeleteFunc(slices.Clone(learned.Endings), func(ending Ending) bool {
		return !ending.Certain && suspects.LastAnswer(ending.Target).After(ending.At)
	})
	told := *learned
	told.Endings = endings
	if !suspects.apply(&told) {
		return
	}
	countLearned()
	suspect := suspects.load()[learned.Trait]
	suspects.Events.Record(eventLearned, timeline.Event{Peer: peer, Facts: suspect.Facts(time.Now())})
}

// apply merges what was learned of a trait into what is known. It reports whether that
// changed anything to tell the other hosts.
func (suspects *Suspects) apply(learned *Suspect) bool {
	trait := learned.Trait
	before := suspects.load()[trait]
	if before == nil {
		before = &Suspect{Trait: trait}
	}
	after := before.merge(learned)
	if trait.isShared() && len(after.Endings) > 0 {
		if servedAt := suspects.servedTimes.last(trait); !servedAt.IsZero() {
			after = after.merge(&Suspect{ServedBefore: true, ClearedAt: servedAt})
		}
	}
	if !after.tellsMoreThan(before) || time.Now().After(after.expiresAt()) {
		return false
	}
	known := maps.Clone(suspects.load())
	if known == nil {
		known = map[Trait]*Suspect{}
	}
	known[trait] = after
	suspects.limit(known)
	if known[trait] == nil {
		// There are only more important ones.
		return false
	}
	suspects.store(known)
	if suspects.transmissions == nil {
		suspects.transmissions = map[Trait]transmission{}
	}
	if waiting, ok := suspects.transmissions[trait]; !ok || waiting.count > 0 {
		suspects.transmissions[trait] = transmission{since: suspects.messages}
	}
	suspects.notifyChanged()
	return true
}

// clearedTolerance is the difference of times of clearing below which they are treated
// as the same: times that other hosts report vary with the delay of their messages.
const clearedTolerance = time.Second

// tellsMoreThan reports whether a suspect has another state than before, apart from
// small differences of times.
func (suspect *Suspect) tellsMoreThan(before *Suspect) bool {
	return suspect.ClearedAt.Sub(before.ClearedAt) > clearedTolerance || suspect.Quarantines != before.Quarantines ||
		suspect.ServedBefore != before.ServedBefore || suspect.Depth != before.Depth ||
		!slices.EqualFunc(suspect.Endings, before.Endings, func(one, other Ending) bool {
			return one.Target == other.Target && one.Certain == other.Certain
		})
}

// limit drops suspects beyond maxSuspects: first cleared ones, then those that are not
// quarantined, each by the earliest expiry.
func (suspects *Suspects) limit(known map[Trait]*Suspect) {
	if len(known) <= maxSuspects {
		return
	}
	now := time.Now()
	rank := func(suspect *Suspect) int {
		switch {
		case suspect.isQuarantined(now):
			return 2
		case len(suspect.Endings) > 0:
			return 1
		default:
			return 0
		}
	}
	first := slices.MinFunc(slices.Collect(maps.Values(known)), func(one, other *Suspect) int {
		return cmp.Or(cmp.Compare(rank(one), rank(other)), one.expiresAt().Compare(other.expiresAt()), cmp.Compare(one.Trait, other.Trait))
	})
	delete(known, first.Trait)
	delete(suspects.transmissions, first.Trait)
	if len(first.Endings) > 0 {
		suspects.recordEnded(first, "there were too many suspects")
	}
}

// store replaces the suspects, after it has decided which of them are quarantined.
func (suspects *Suspects) store(known map[Trait]*Suspect) {
	explain(known, func(trait Trait) bool { return suspects.isAlias(trait, known) })
	uncertain := map[Incarnation]struct{}{}
	for _, suspect := range known {
		for _, ending := range suspect.Endings {
			if !ending.Certain {
				uncertain[ending.Target] = struct{}{}
			}
		}
	}
	maps.DeleteFunc(suspects.served, func(trait Trait, _ int) bool {
		return known[trait] == nil || len(known[trait].Endings) == 0
	})
	maps.DeleteFunc(suspects.contents, func(trait Trait, _ crashedContents) bool { return known[trait] == nil })
	before := suspects.load()
	suspects.known.Store(&known)
	suspects.uncertain.Store(&uncertain)
	countSuspects(known, time.Now())
	for trait, suspect := range known {
		suspects.recordQuarantine(before[trait], suspect)
	}
}

// recordQuarantine records that a suspect's quarantine began, or that it was withdrawn.
func (suspects *Suspects) recordQuarantine(before, after *Suspect) {
	wasCulprit := before != nil && before.Quarantines > 0 && !before.explained
	isCulprit := after.Quarantines > 0 && !after.explained
	switch {
	case isCulprit && (!wasCulprit || after.Quarantines > before.Quarantines):
		suspects.Events.Record(eventQuarantined, timeline.Event{Facts: after.Facts(time.Now())})
		if _, ok := suspects.own[after.Trait]; ok && suspects.ownChanged != nil {
			close(suspects.ownChanged)
			suspects.ownChanged = nil
		}
	case wasCulprit && after.explained:
		suspects.recordEnded(before, "quarantine withdrawn: other requests explain why the targets ended")
	}
}

func (suspects *Suspects) recordEnded(suspect *Suspect, reason string) {
	suspects.Events.Record(eventSuspicionEnded, timeline.Event{Detail: reason, Facts: suspect.Facts(time.Now())})
}

// Run forgets suspects that have expired, until the context ends. It returns nil.
func (suspects *Suspects) Run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			suspects.expire(time.Now())
		}
	}
}

func (suspects *Suspects) expire(now time.Time) {
	if suspects.IsEmpty() {
		return
	}
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	known := maps.Clone(suspects.load())
	for trait, suspect := range known {
		if now.Before(suspect.expiresAt()) {
			continue
		}
		delete(known, trait)
		delete(suspects.transmissions, trait)
		if len(suspect.Endings) > 0 {
			suspects.recordEnded(suspect, "it expired")
		}
	}
	suspects.store(known)
}

// Facts returns the facts of a suspect for events.
func (suspect *Suspect) Facts(now time.Time) []timeline.Fact {
	certain := 0
	for _, ending := range suspect.Endings {
		if ending.Certain {
			certain++
		}
	}
	facts := []timeline.Fact{
		{Key: "content", Value: suspect.Trait.String()},
		timeline.Count("crashes", len(suspect.Endings)),
		timeline.Count("certain", certain),
		{Key: "kind", Value: suspect.Trait.kind()},
	}
	if len(suspect.Endings) > 0 {
		facts = append(facts,
			timeline.Duration("firstCrash", now.Sub(suspect.Endings[0].At)),
			timeline.Duration("lastCrash", now.Sub(suspect.Endings[len(suspect.Endings)-1].At)))
	}
	if now.Before(suspect.Until) && !suspect.explained {
		facts = append(facts, timeline.Duration("remaining", suspect.Until.Sub(now)))
	}
	return facts
}
