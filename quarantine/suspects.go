package quarantine

import (
	"cmp"
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/timeline"
)

const (
	// quarantineCrashes is the number of targets that must have ended under a content
	// before it is quarantined. Other requests that ran on the same target are rarely
	// on the next two as well.
	quarantineCrashes = 3
	// The first quarantine of a content lasts firstQuarantine. Each further one, after
	// another crash, lasts quarantineGrowth times as long, up to maxQuarantine, so that
	// a content crashes at most three more targets in a day.
	firstQuarantine  = 10 * time.Minute
	quarantineGrowth = 8
	maxQuarantine    = 24 * time.Hour
	// trialSpread is the time over which hosts try a content again after its
	// quarantine, so that the others learn of a crash before they do.
	trialSpread = time.Minute
	// suspicionLifetime is how long a content is remembered after its last crash or its
	// last success. After a quarantine it is remembered as long as that lasted.
	suspicionLifetime = 10 * time.Minute
	// maxSuspects limits the contents that are remembered.
	maxSuspects = 1024
	// maxEndings limits the targets remembered for a content.
	maxEndings = 6
	// expireInterval is how often contents are checked for expiry.
	expireInterval = time.Second
)

var (
	eventQuarantined = timeline.Define(timeline.Kind{
		Number: 1113, Name: "request quarantined", Level: timeline.Warn,
		Meaning: "Several targets ended while they ran requests with the content, so such requests are refused for the time in the facts. Lines 1112 with the content, on all hosts, name the targets and requests.",
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
		Meaning: "The content is no longer suspected, for the reason in the detail: a target served it, the targets that seemed to have ended answered, it expired, or there were too many suspects.",
	})
)

// Ending is the end of a target while it ran a request with some content.
type Ending struct {
	Target Incarnation
	At     time.Time
	// Certain is not set if the target may only have been cut off.
	Certain bool
}

// Suspect is what is known of a content. A Suspect without endings was cleared. It is
// immutable.
type Suspect struct {
	Content Content
	// Endings are sorted by time.
	Endings []Ending
	// ClearedAt is when a target last served the content; zero for never. Earlier
	// endings don't count.
	ClearedAt time.Time
	// Quarantines is the number of quarantines so far, Until the end of the last one
	// and quarantineLength its length.
	Quarantines      int
	Until            time.Time
	quarantineLength time.Duration
}

// isQuarantined reports whether requests with the content must be refused.
func (suspect *Suspect) isQuarantined(now time.Time) bool { return now.Before(suspect.Until) }

// expiresAt returns when the suspect is forgotten.
func (suspect *Suspect) expiresAt() time.Time {
	if suspect.Quarantines > 0 {
		return suspect.Until.Add(suspect.quarantineLength)
	}
	last := suspect.ClearedAt
	if count := len(suspect.Endings); count > 0 {
		last = suspect.Endings[count-1].At
	}
	return last.Add(suspicionLifetime)
}

// merge returns the suspect with more endings and a later time of clearing. The
// result doesn't depend on the order of merges.
func (suspect *Suspect) merge(endings []Ending, clearedAt time.Time) *Suspect {
	merged := &Suspect{Content: suspect.Content, ClearedAt: suspect.ClearedAt}
	if clearedAt.After(merged.ClearedAt) {
		merged.ClearedAt = clearedAt
	}
	byTarget := map[Incarnation]Ending{}
	for _, ending := range slices.Concat(suspect.Endings, endings) {
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
// ending that makes them quarantineCrashes, a further one with an ending after the
// end of the last. It drops endings beyond maxEndings that began no quarantine.
func (suspect *Suspect) setQuarantine() {
	length := firstQuarantine
	for i := 0; i < len(suspect.Endings); i++ {
		ending := suspect.Endings[i]
		switch {
		case i+1 < quarantineCrashes:
		case suspect.Quarantines == 0 || ending.At.After(suspect.Until):
			suspect.Quarantines++
			suspect.Until = ending.At.Add(length)
			suspect.quarantineLength = length
			length = min(maxQuarantine, length*quarantineGrowth)
		case len(suspect.Endings) > maxEndings:
			suspect.Endings = slices.Delete(suspect.Endings, i, i+1)
			i--
		}
	}
	if excess := len(suspect.Endings) - maxEndings; excess > 0 {
		suspect.Endings = slices.Delete(suspect.Endings, quarantineCrashes, quarantineCrashes+excess)
	}
}

// Suspects holds the contents under which targets have ended, as this host and the
// others have observed. Its fields are set before use.
type Suspects struct {
	// Host is the id of this host.
	Host   string
	Events *timeline.Recorder
	// LastAnswer returns when a target last answered this host, zero for never.
	LastAnswer func(target Incarnation) time.Time

	// known holds the suspects by content, uncertain the targets of their uncertain
	// endings. Both are replaced, never changed.
	known     atomic.Pointer[map[Content]*Suspect]
	uncertain atomic.Pointer[map[Incarnation]struct{}]

	// mutex guards changes of known and the fields below.
	mutex sync.Mutex
	// transmissions is the number of times that the latest change of a content was
	// taken for the other hosts.
	transmissions map[Content]int
	// changed is closed at the next change to tell the other hosts, nil if nobody
	// waits for it.
	changed chan struct{}
	// own are the contents of which this host observed a crash. ownChanged is closed
	// when one of them is quarantined, nil if nobody waits for it.
	own        map[Content]struct{}
	ownChanged chan struct{}
	// trials are the contents of which a request runs after a quarantine.
	trials map[Content]struct{}
	// served is the number of targets that have served a suspected content on this host
	// since it was last cleared.
	served map[Content]int
	// nextRepeated is the position in the round robin of quarantined contents.
	nextRepeated int
}

// load returns the current suspects.
func (suspects *Suspects) load() map[Content]*Suspect {
	if known := suspects.known.Load(); known != nil {
		return *known
	}
	return nil
}

// IsEmpty reports whether no content is remembered, so that none needs to be computed.
func (suspects *Suspects) IsEmpty() bool { return len(suspects.load()) == 0 }

// Find returns the suspect with a content, nil if there is none, and whether it is
// quarantined.
func (suspects *Suspects) Find(content Content) (*Suspect, bool) {
	suspect := suspects.load()[content]
	return suspect, suspect != nil && suspect.isQuarantined(time.Now())
}

// Admit reports whether a request with a content may run. After a quarantine, one
// request at a time may, as a trial. Release must be called when the request has
// ended.
func (suspects *Suspects) Admit(content Content) (suspect *Suspect, admitted bool, release func()) {
	suspect, quarantined := suspects.Find(content)
	if suspect == nil || suspect.Quarantines == 0 {
		return suspect, true, func() {}
	}
	if quarantined || time.Now().Before(suspect.Until.Add(suspects.trialDelay(content))) {
		return suspect, false, nil
	}
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	if _, ok := suspects.trials[content]; ok {
		return suspect, false, nil
	}
	if suspects.trials == nil {
		suspects.trials = map[Content]struct{}{}
	}
	suspects.trials[content] = struct{}{}
	suspects.Events.Record(eventTrial, timeline.Event{Facts: suspect.Facts(time.Now())})
	return suspect, true, func() {
		suspects.mutex.Lock()
		defer suspects.mutex.Unlock()
		delete(suspects.trials, content)
	}
}

// trialDelay returns the time from the end of a content's quarantine until this host
// tries it again.
func (suspects *Suspects) trialDelay(content Content) time.Duration {
	hash := fnv.New32a()
	// Writes to a hash don't fail.
	_, _ = hash.Write([]byte(suspects.Host + content.String()))
	const steps = 1 << 10
	return trialSpread * time.Duration(hash.Sum32()%steps) / steps
}

// RecordCrash records the end of a target that this host has observed.
func (suspects *Suspects) RecordCrash(crash Crash) {
	countCrash(crash)
	ending := Ending{Target: crash.Target, At: crash.At, Certain: crash.Evidence != Silent}
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	if suspects.own == nil {
		suspects.own = map[Content]struct{}{}
	}
	suspects.own[crash.Content] = struct{}{}
	suspects.apply(crash.Content, []Ending{ending}, time.Time{})
}

// ownContents returns the contents of which this host observed a crash.
func (suspects *Suspects) ownContents() map[Content]struct{} {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	return maps.Clone(suspects.own)
}

// forgetOwn drops the contents from the result of ownContents that are no longer
// suspected and have no record.
func (suspects *Suspects) forgetOwn(saved map[Content]int) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	known := suspects.load()
	maps.DeleteFunc(suspects.own, func(content Content, _ struct{}) bool {
		suspect := known[content]
		_, isSaved := saved[content]
		return !isSaved && (suspect == nil || len(suspect.Endings) == 0)
	})
}

// waitForOwn waits until a content of which this host observed a crash is quarantined,
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

// RecordServed records that a target has served a content. The first time that clears
// it. A content under which targets ended again afterwards may crash some targets and
// not others; it is cleared once targets have served it on this host as often as others
// have ended.
func (suspects *Suspects) RecordServed(content Content) {
	if suspect := suspects.load()[content]; suspect == nil || len(suspect.Endings) == 0 {
		return
	}
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspect := suspects.load()[content]
	if suspect == nil || len(suspect.Endings) == 0 {
		return
	}
	if suspects.served == nil {
		suspects.served = map[Content]int{}
	}
	suspects.served[content]++
	if !suspect.ClearedAt.IsZero() && suspects.served[content] < len(suspect.Endings) {
		suspects.Events.Record(eventServed, timeline.Event{
			Facts: append(suspect.Facts(time.Now()), timeline.Count("served", suspects.served[content])),
		})
		return
	}
	if suspects.apply(content, nil, time.Now()) {
		suspects.recordEnded(suspect, "a target served it")
	}
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
	for content, suspect := range known {
		kept := slices.DeleteFunc(slices.Clone(suspect.Endings), func(ending Ending) bool {
			return ending.Target == target && !ending.Certain
		})
		switch {
		case len(kept) == len(suspect.Endings):
		case len(kept) == 0 && suspect.ClearedAt.IsZero():
			delete(known, content)
			delete(suspects.transmissions, content)
			suspects.recordEnded(suspect, "the targets that seemed to have ended answered")
		default:
			known[content] = (&Suspect{Content: content, ClearedAt: suspect.ClearedAt}).merge(kept, time.Time{})
			if known[content].Quarantines < suspect.Quarantines {
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
	if !suspects.apply(learned.Content, endings, learned.ClearedAt) {
		return
	}
	countLearned()
	suspect := suspects.load()[learned.Content]
	suspects.Events.Record(eventLearned, timeline.Event{Peer: peer, Facts: suspect.Facts(time.Now())})
}

// apply merges endings and a time of clearing into what is known of a content. It
// reports whether that changed anything to tell the other hosts.
func (suspects *Suspects) apply(content Content, endings []Ending, clearedAt time.Time) bool {
	before := suspects.load()[content]
	if before == nil {
		before = &Suspect{Content: content}
	}
	after := before.merge(endings, clearedAt)
	if !after.tellsMoreThan(before) || time.Now().After(after.expiresAt()) {
		return false
	}
	known := maps.Clone(suspects.load())
	if known == nil {
		known = map[Content]*Suspect{}
	}
	known[content] = after
	suspects.limit(known)
	if known[content] == nil {
		// There are only more important ones.
		return false
	}
	suspects.store(known)
	if suspects.transmissions == nil {
		suspects.transmissions = map[Content]int{}
	}
	suspects.transmissions[content] = 0
	suspects.notifyChanged()
	if after.Quarantines > before.Quarantines {
		suspects.Events.Record(eventQuarantined, timeline.Event{Facts: after.Facts(time.Now())})
		if _, ok := suspects.own[content]; ok && suspects.ownChanged != nil {
			close(suspects.ownChanged)
			suspects.ownChanged = nil
		}
	}
	return true
}

// clearedTolerance is the difference of times of clearing below which they are treated
// as the same: times that other hosts report vary with the delay of their messages.
const clearedTolerance = time.Second

// tellsMoreThan reports whether a suspect has another state than before, apart from
// small differences of times.
func (suspect *Suspect) tellsMoreThan(before *Suspect) bool {
	return suspect.ClearedAt.Sub(before.ClearedAt) > clearedTolerance || suspect.Quarantines != before.Quarantines ||
		!slices.EqualFunc(suspect.Endings, before.Endings, func(one, other Ending) bool {
			return one.Target == other.Target && one.Certain == other.Certain
		})
}

// limit drops suspects beyond maxSuspects: first cleared ones, then those that are not
// quarantined, each by the earliest expiry.
func (suspects *Suspects) limit(known map[Content]*Suspect) {
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
		return cmp.Or(cmp.Compare(rank(one), rank(other)), one.expiresAt().Compare(other.expiresAt()), cmp.Compare(one.Content, other.Content))
	})
	delete(known, first.Content)
	delete(suspects.transmissions, first.Content)
	if len(first.Endings) > 0 {
		suspects.recordEnded(first, "there were too many suspects")
	}
}

// store replaces the suspects.
func (suspects *Suspects) store(known map[Content]*Suspect) {
	uncertain := map[Incarnation]struct{}{}
	for _, suspect := range known {
		for _, ending := range suspect.Endings {
			if !ending.Certain {
				uncertain[ending.Target] = struct{}{}
			}
		}
	}
	maps.DeleteFunc(suspects.served, func(content Content, _ int) bool {
		return known[content] == nil || len(known[content].Endings) == 0
	})
	suspects.known.Store(&known)
	suspects.uncertain.Store(&uncertain)
	countSuspects(known, time.Now())
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
	for content, suspect := range known {
		if now.Before(suspect.expiresAt()) {
			continue
		}
		delete(known, content)
		delete(suspects.transmissions, content)
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
		{Key: "content", Value: suspect.Content.String()},
		timeline.Count("crashes", len(suspect.Endings)),
		timeline.Count("certain", certain),
	}
	if len(suspect.Endings) > 0 {
		facts = append(facts,
			timeline.Duration("firstCrash", now.Sub(suspect.Endings[0].At)),
			timeline.Duration("lastCrash", now.Sub(suspect.Endings[len(suspect.Endings)-1].At)))
	}
	if suspect.isQuarantined(now) {
		facts = append(facts, timeline.Duration("remaining", suspect.Until.Sub(now)))
	}
	return facts
}
