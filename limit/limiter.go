package limit

import (
	"hash/fnv"
	"maps"
	"math"
	"strconv"
	"sync"
	"time"

	"nutmegfield.example/timeline"
)

const (
	// goneLifetime is how long the limit of a target is remembered whose entry has
	// vanished: entries may come back.
	goneLifetime = 10 * time.Second
	// minAskInterval is the shortest time between two asks for a target. An ask that
	// stays without a grant is repeated after minRefreshInterval, or hostRefreshInterval
	// for each host if that is longer, so that a grantor gets a bounded number a second.
	minAskInterval      = 20 * time.Millisecond
	minRefreshInterval  = 200 * time.Millisecond
	hostRefreshInterval = 3 * time.Millisecond
	// takeMargin is the time that a permit must still be valid to be counted.
	takeMargin = 5 * time.Millisecond
	// unansweredLifetime is how long a request without an answer is counted: it may
	// still reach the target if the way there is interrupted.
	unansweredLifetime = 4 * time.Second
	// newsRepeats is how often a change is sent, as messages may be lost.
	newsRepeats  = 3
	newsInterval = 50 * time.Millisecond
	// sweepInterval is how often limits of targets that are gone are looked for.
	sweepInterval = time.Second
)

// Members are the hosts that share the limits.
type Members struct {
	// Others are the addresses of the other hosts that are heard.
	Others []string
	// Zones are the zones of these and of this host, by address.
	Zones map[string]string
	// Known is the number of hosts with this one, and with those that are silent, which
	// may only be cut off from this one.
	Known int
}

// Limiter says whether this host may send a request to a target that names a limit. It
// asks the target's grantor for permits, and grants them for the targets whose grantor
// this host is. Its exported fields are set before use.
type Limiter struct {
	// Address is the address of this host.
	Address string
	// Members returns the hosts that share the limits. The result is never changed.
	Members func() *Members
	// OnUpdate is called when permits arrive or a limit changes. It may be nil; it must
	// not call the limiter.
	OnUpdate func()
	Events   *timeline.Recorder

	limits limits

	mutex sync.Mutex
	// names are the ids of the current targets, goneAt the times at which entries of
	// others with a limit vanished.
	names  map[Target]string
	goneAt map[Target]time.Time
	// uses are this host's uses of the targets with limits, buckets those that it grants.
	uses    map[Target]*use
	buckets map[Target]*bucket
	// grantors are the results of grantorOf for grantorsOf.
	grantors   map[Target]string
	grantorsOf *Members
	sweptAt    time.Time
	wakeUp     chan struct{}
}

// use is a host's use of a target with a limit.
type use struct {
	grantor string
	// permits are those that are held, the oldest first.
	permits []permit
	// wanted is the number of further permits that can be used, tier that of the most
	// important waiting request.
	wanted, tier int
	// unanswered are the times at which requests were sent that the target has not
	// answered, the oldest first. sent counts all requests, answered the answers.
	unanswered     []time.Time
	sent, answered uint32
	sequence       uint32
	received       uint32
	returned       int
	askedAt        time.Time
	// isChanged is set if the grantor has to be asked anew.
	isChanged bool
	// news is the number of times that the limit has still to be reported.
	news int
}

type permit struct {
	grantor string
	until   time.Time
}

// IsEmpty reports whether no limit is known.
func (limiter *Limiter) IsEmpty() bool { return len(limiter.limits.load()) == 0 }

// Rate returns the requests a second that a target takes from all hosts together, 0 if
// it named no limit.
func (limiter *Limiter) Rate(target Target) float64 { return limiter.limits.find(target).Rate }

// Observe records the limit in an answer of a target, 0 if it names none, to a request
// that was sent at a time.
func (limiter *Limiter) Observe(target Target, rate float64, sentAt time.Time) {
	named := Named{At: sentAt, IsOwn: true}
	if rate > 0 && rate <= MaxRate {
		named = Named{Rate: max(rate, minRate), At: time.Now(), IsOwn: true}
	} else if limiter.IsEmpty() {
		return
	}
	limiter.learn(target, named, "answer")
	limiter.RecordAnswer(target, sentAt)
}

// RecordAnswer records that a target has answered a request that was sent at a time;
// Observe does so too.
func (limiter *Limiter) RecordAnswer(target Target, sentAt time.Time) {
	if limiter.IsEmpty() {
		return
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	entry := limiter.uses[target]
	if entry == nil {
		return
	}
	entry.answered++
	// An earlier request was sent before the limit was known, or no longer counts.
	if len(entry.unanswered) > 0 && !sentAt.Before(entry.unanswered[0]) {
		entry.unanswered = entry.unanswered[1:]
	}
	entry.isChanged = true
	limiter.wake()
}

// learn records a limit.
func (limiter *Limiter) learn(target Target, named Named, source string) {
	if !limiter.limits.set(target, named) {
		return
	}
	countLimits(limiter.limits.load())
	limiter.mutex.Lock()
	if named.IsOwn {
		limiter.use(target).news = newsRepeats
	}
	if bucket := limiter.buckets[target]; bucket != nil {
		bucket.news = newsRepeats
	}
	event := timeline.Event{Target: limiter.names[target], Facts: []timeline.Fact{
		{Key: "incarnation", Value: target.String()}, {Key: "source", Value: source},
	}}
	limiter.wake()
	limiter.mutex.Unlock()
	kind := eventLifted
	if named.Rate > 0 {
		kind = eventNamed
		event.Facts = append(event.Facts, timeline.Fact{Key: "rate", Value: FormatRate(named.Rate)})
	}
	limiter.Events.Record(kind, event)
	limiter.update()
}

// FormatRate returns a rate as it appears in events.
func FormatRate(rate float64) string { return strconv.FormatFloat(rate, 'g', 4, 64) }

func (limiter *Limiter) update() {
	if limiter.OnUpdate != nil {
		limiter.OnUpdate()
	}
}

// use returns this host's use of a target. The caller holds the mutex.
func (limiter *Limiter) use(target Target) *use {
	entry := limiter.uses[target]
	if entry == nil {
		entry = &use{}
		if limiter.uses == nil {
			limiter.uses = map[Target]*use{}
		}
		limiter.uses[target] = entry
	}
	return entry
}

// Permits returns the number of requests that this host may send to a target with a
// limit now.
func (limiter *Limiter) Permits(target Target) int {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	entry := limiter.uses[target]
	if entry == nil {
		return 0
	}
	now := time.Now()
	entry.expire(now)
	count := 0
	for _, permit := range entry.permits {
		// Others may expire before the request that they are counted for takes them.
		if permit.until.Sub(now) > takeMargin {
			count++
		}
	}
	return count
}

// Take uses a permit for a request that is about to be sent, and reports whether there
// was one. A target without a limit needs none.
func (limiter *Limiter) Take(target Target) bool {
	if limiter.Rate(target) == 0 {
		return true
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	entry := limiter.use(target)
	entry.expire(time.Now())
	if len(entry.permits) == 0 {
		return false
	}
	// The last one is valid for the longest time.
	entry.permits = entry.permits[:len(entry.permits)-1]
	entry.unanswered = append(entry.unanswered, time.Now())
	entry.sent++
	entry.isChanged = true
	countPermits("used", 1)
	limiter.wake()
	return true
}

// Want sets the number of requests that this host could send to a target, and the tier
// of the most important one that waits, ExpectedTier if none does.
func (limiter *Limiter) Want(target Target, count, tier int) {
	rate := limiter.Rate(target)
	if rate == 0 {
		return
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	entry := limiter.use(target)
	// More could not be used before they expire.
	count = min(count, 1+int(math.Ceil(rate*PermitLifetime.Seconds())))
	count = max(0, count-len(entry.permits))
	if entry.wanted == count && entry.tier == tier {
		return
	}
	entry.wanted, entry.tier, entry.isChanged = count, tier, true
	limiter.wake()
}

// expire drops the permits that are no longer valid, to give them back, and the requests
// that are no longer counted as unanswered.
func (use *use) expire(now time.Time) {
	for len(use.unanswered) > 0 && now.Sub(use.unanswered[0]) > unansweredLifetime {
		use.unanswered = use.unanswered[1:]
		use.isChanged = true
	}
	for len(use.permits) > 0 && !now.Before(use.permits[0].until) {
		if use.permits[0].grantor == use.grantor {
			use.returned++
			use.isChanged = true
		}
		countPermits("returned", 1)
		use.permits = use.permits[1:]
	}
}

// isAskDue reports whether the grantor has to be asked.
func (use *use) isAskDue(now time.Time, refreshInterval time.Duration) bool {
	elapsed := now.Sub(use.askedAt)
	switch {
	case use.isChanged:
		return elapsed >= minAskInterval
	case use.news > 0:
		return elapsed >= newsInterval
	default:
		return use.wanted > 0 && elapsed >= refreshInterval
	}
}

// ask returns the next ask for a target.
func (use *use) ask(target Target, named Named, now time.Time) Ask {
	use.sequence++
	ask := Ask{
		News: News{Target: target, Rate: named.Rate, Age: now.Sub(named.At)}, IsOwn: named.IsOwn,
		Sequence: use.sequence, Wanted: use.wanted, Held: len(use.permits), Tier: use.tier, Unanswered: len(use.unanswered),
		Sent: use.sent, Answered: use.answered, Received: use.received, Returned: use.returned,
	}
	use.askedAt, use.isChanged, use.returned = now, false, 0
	use.news = max(0, use.news-1)
	return ask
}

// receive adds permits.
func (use *use) receive(count int, now time.Time) {
	use.received += uint32(count)
	use.wanted = max(0, use.wanted-count)
	for range count {
		use.permits = append(use.permits, permit{grantor: use.grantor, until: now.Add(PermitLifetime)})
	}
	use.isChanged = true
	countPermits("received", count)
}

// SetTargets sets the ids of the current targets.
func (limiter *Limiter) SetTargets(names map[Target]string) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.names = names
	limiter.sweep(time.Now())
}

// sweep forgets limits that ended, and those of targets that are gone.
func (limiter *Limiter) sweep(now time.Time) {
	limiter.sweptAt = now
	// A host that has not read the targets yet knows none of them as gone.
	if limiter.IsEmpty() || len(limiter.names) == 0 {
		return
	}
	goneAt := map[Target]time.Time{}
	for target := range limiter.limits.load() {
		if _, ok := limiter.names[target]; ok {
			continue
		}
		goneAt[target] = now
		if before, ok := limiter.goneAt[target]; ok {
			goneAt[target] = before
		}
	}
	limiter.goneAt = goneAt
	limiter.limits.remove(func(target Target, named Named) bool {
		vanishedAt, isGone := goneAt[target]
		return isGone && now.Sub(vanishedAt) > goneLifetime || named.Rate == 0 && now.Sub(named.At) > liftedLifetime
	})
	known := limiter.limits.load()
	maps.DeleteFunc(limiter.uses, func(target Target, _ *use) bool { _, ok := known[target]; return !ok })
	maps.DeleteFunc(limiter.buckets, func(target Target, _ *bucket) bool { _, ok := known[target]; return !ok })
	countLimits(known)
}

// wake ends a call of Wait. The caller holds the mutex.
func (limiter *Limiter) wake() {
	select {
	case limiter.wakeUpChannel() <- struct{}{}:
	default:
	}
}

func (limiter *Limiter) wakeUpChannel() chan struct{} {
	if limiter.wakeUp == nil {
		limiter.wakeUp = make(chan struct{}, 1)
	}
	return limiter.wakeUp
}

// Changed returns a channel that receives a value when Messages may have something new.
func (limiter *Limiter) Changed() <-chan struct{} {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.wakeUpChannel()
}

// grantorOf returns the address of the host that grants permits for a target: of all
// live hosts the first in an order that differs by target. Hosts agree on it as far as
// they hear the same others. The caller holds the mutex.
func (limiter *Limiter) grantorOf(target Target, members *Members) string {
	if limiter.grantorsOf != members {
		limiter.grantors, limiter.grantorsOf = map[Target]string{}, members
	}
	if grantor, ok := limiter.grantors[target]; ok {
		return grantor
	}
	first, best := limiter.Address, rankOf(target, limiter.Address)
	for _, address := range members.Others {
		if rank := rankOf(target, address); rank < best || rank == best && address < first {
			first, best = address, rank
		}
	}
	if len(limiter.grantors) < maxNamed {
		limiter.grantors[target] = first
	}
	return first
}

func rankOf(target Target, address string) uint64 {
	hash := fnv.New64a()
	// Writes to a hash don't fail.
	_, _ = hash.Write([]byte{byte(target), byte(target >> 8), byte(target >> 16), byte(target >> 24)})
	_, _ = hash.Write([]byte(address))
	// The hash of addresses that differ in the last byte only differs little.
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}

// Messages returns what has to be sent now, by address. It must be called again within
// 20 ms while a limit is known, and when Changed has received a value.
func (limiter *Limiter) Messages() map[string]*Message {
	now := time.Now()
	if limiter.IsEmpty() {
		return nil
	}
	members := limiter.Members()
	messages := map[string]*Message{}
	messageTo := func(address string) *Message {
		if messages[address] == nil {
			messages[address] = &Message{}
		}
		return messages[address]
	}
	limiter.mutex.Lock()
	if now.Sub(limiter.sweptAt) > sweepInterval {
		limiter.sweep(now)
	}
	hasPermits := false
	refreshInterval := max(minRefreshInterval, hostRefreshInterval*time.Duration(members.Known))
	for target, named := range limiter.limits.load() {
		grantor := limiter.grantorOf(target, members)
		entry := limiter.use(target)
		entry.expire(now)
		if named.Rate == 0 {
			entry.wanted, entry.permits, entry.unanswered = 0, nil, nil
		}
		if grantor != entry.grantor {
			entry.changeGrantor(grantor)
		}
		if grantor != limiter.Address {
			delete(limiter.buckets, target)
			if entry.isAskDue(now, refreshInterval) {
				message := messageTo(grantor)
				message.Asks = append(message.Asks, entry.ask(target, named, now))
			}
			continue
		}
		bucket := limiter.bucket(target, now)
		entry.news = 0
		bucket.apply(limiter.Address, members.Zones, entry.ask(target, named, now), now)
		for address, count := range bucket.grant(named.Rate, members, refreshInterval, now) {
			countPermits("granted", count)
			if address == limiter.Address {
				entry.receive(count, now)
				bucket.apply(address, members.Zones, entry.ask(target, named, now), now)
				hasPermits = true
				continue
			}
			message := messageTo(address)
			message.Grants = append(message.Grants, Grant{Target: target, Permits: count})
		}
		if bucket.isNewsDue(now) {
			for _, address := range members.Others {
				message := messageTo(address)
				message.News = append(message.News, News{Target: target, Rate: named.Rate, Age: now.Sub(named.At)})
			}
		}
	}
	limiter.mutex.Unlock()
	if hasPermits {
		limiter.update()
	}
	return messages
}

// changeGrantor lets another host grant the permits from now on. Permits of the previous
// one may still be used.
func (use *use) changeGrantor(grantor string) {
	use.grantor, use.received, use.returned = grantor, 0, 0
	use.isChanged = true
}

// Receive applies a message of another host.
func (limiter *Limiter) Receive(from string, message *Message) {
	now := time.Now()
	for _, news := range message.News {
		limiter.learn(news.Target, Named{Rate: news.Rate, At: now.Add(-news.Age)}, from)
	}
	members := limiter.Members()
	for _, ask := range message.Asks {
		if _, known := limiter.limits.load()[ask.Target]; ask.IsOwn || !known && ask.Rate > 0 {
			limiter.learn(ask.Target, Named{Rate: ask.Rate, At: now.Add(-ask.Age)}, from)
		}
		limiter.mutex.Lock()
		if limiter.grantorOf(ask.Target, members) == limiter.Address && limiter.Rate(ask.Target) > 0 {
			limiter.bucket(ask.Target, now).apply(from, members.Zones, ask, now)
			limiter.wake()
		}
		limiter.mutex.Unlock()
	}
	hasPermits := false
	limiter.mutex.Lock()
	for _, grant := range message.Grants {
		if entry := limiter.uses[grant.Target]; entry != nil && entry.grantor == from {
			entry.receive(grant.Permits, now)
			hasPermits = true
		}
	}
	limiter.mutex.Unlock()
	if hasPermits {
		limiter.update()
	}
}
