// Package origin knows the version of the targets' software that began a stream, so that it
// goes on only at targets of that version: what two versions write doesn't fit together. A
// caller takes a stream up at any host, also when the one that began it has ended.
package origin

import (
	"cmp"
	"context"
	"encoding/binary"
	"hash/fnv"
	"io"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
)

const (
	// streamLifetime is how long after its beginning a stream may be taken up.
	streamLifetime = time.Minute
	// maxStreams limits the streams that are remembered.
	maxStreams = 1 << 14
	// retellLifetime is how long after its beginning a stream is told to other hosts when
	// a second version appears in its pool. Most streams have ended then.
	retellLifetime = 15 * time.Second
	// keepers is the number of other hosts that are told of a stream, and askedKeepers the
	// number of those that are asked: not all hosts know the same hosts.
	keepers      = 3
	askedKeepers = 4
	// askTimeout limits the wait for answers of other hosts. The question is asked again
	// after askInterval, as datagrams may be lost.
	askTimeout  = 120 * time.Millisecond
	askInterval = 40 * time.Millisecond
	// membersTimeout limits the wait of a host that has just started for other hosts.
	membersTimeout  = time.Second
	membersInterval = 20 * time.Millisecond
	// enoughWitnesses is the number of other hosts in touch whose word a host takes that has not
	// seen the targets for as long as streams last.
	enoughWitnesses = 3
	// forgetInterval is how often old streams are forgotten.
	forgetInterval = time.Second
)

var (
	eventFound = timeline.Define(timeline.Kind{
		Number: 1126, Name: "stream's version found", Level: timeline.Info,
		Meaning: "A caller takes a stream up, and the version of the targets' software that began it is known; the detail says from where: this host began it or was told of it, another host knows it, the platform's records hold it, or the pool has had one version only, as this host or others that are in touch know, or as the platform says, which was asked after the stream was taken up. The facts are the number of hosts asked, of those that answered, of those heard and of those known.",
	})
	eventUnknown = timeline.Define(timeline.Kind{
		Number: 1127, Name: "stream's version unknown", Level: timeline.Info,
		Meaning: "A caller takes a stream up, and no host that answered knows the version of the targets' software that began it. The detail says why it may be another one than that of the pool's targets. The stream does not go on. The facts are the attempt that began it, and the number of hosts asked, of those that answered, of those heard and of those known.",
	})
	eventVersions = timeline.Define(timeline.Kind{
		Number: 1128, Name: "versions of a pool", Level: timeline.Info,
		Meaning: "The targets of the pool have several versions of their software, or one again; the detail holds them.",
	})
)

// UnknownVersion is the version of a stream that began at a target of an unknown version. It is no
// target's.
const UnknownVersion = balance.VersionID(math.MaxUint32)

// Stream identifies a stream by the caller's attempt that began it. It is the same on all
// hosts.
type Stream uint64

// NewStream returns the stream that a caller's attempt began.
func NewStream(attempt string) Stream {
	hash := fnv.New64a()
	// Writes to a hash don't fail.
	_, _ = io.WriteString(hash, attempt)
	return Stream(hash.Sum64())
}

// Beginning is a stream with the version that began it.
type Beginning struct {
	Stream  Stream
	Version balance.VersionID
}

// Question asks other hosts for the version that began a stream of a pool.
type Question struct {
	Stream Stream
	Pool   string
}

// Answer answers a question.
type Answer struct {
	Stream Stream
	// Version is 0 if the host does not know the stream.
	Version balance.VersionID
	Pool    PoolState
	// HasRead is set if the host has just read the platform's records.
	HasRead bool
}

// Message is what hosts tell each other.
type Message struct {
	Beginnings []Beginning
	Questions  []Question
	Answers    []Answer
	// Records are streams that the receiver has to record.
	Records []Beginning
	// Saved is what the sender has written to the platform for all hosts, nil for nothing.
	Saved *Saved
}

// record is what is known of a stream.
type record struct {
	version balance.VersionID
	pool    string
	begunAt time.Time
	// isOwn is set if this host passed the stream on, isTold if others were told.
	isOwn, isTold bool
}

// Origins knows the versions that began streams. Its fields are set before use.
type Origins struct {
	// Members returns the addresses of the other hosts that are heard.
	Members func() []string
	// Send sends a message to a host; it may be lost.
	Send func(address string, message *Message)
	// Known returns the number of other hosts that are heard, or were within a minute.
	Known func() int
	// ReadTargets reads the targets from the platform and sets them, unless that was begun
	// after a time.
	ReadTargets func(ctx context.Context, since time.Time) error
	Marks       Marks
	// KeepsMarks reports whether this host is one of the first that write marks for all.
	KeepsMarks func() bool
	// Turn returns the number of hosts before this one in the order in which they write to the
	// platform for all. Nil stands for none.
	Turn func() int
	// Era returns the platform's present era. Nil stands for one era.
	Era func() int64
	// Lives returns what identifies the lives of this host and those that it hears, each from a start to
	// an end.
	Lives func() []uint32
	// FirstStart is set if the host belongs to the first ones of all.
	FirstStart bool
	// Records are the platform's records of streams. Recorder returns the address of the
	// host that writes them for this host's zone, empty for this host; nil means that there
	// are none. ReadsRecords reports whether this host reads them itself anyway.
	Records      Records
	Recorder     func() string
	ReadsRecords func() bool
	// Zone is this host's zone.
	Zone string
	// Longest returns how long streams last at most; nil means streamLifetime.
	Longest func() time.Duration
	Events  *timeline.Recorder

	pools   pools
	history historyState
	// most is the most other hosts that were known lately.
	most mostKnown

	mutex   sync.Mutex
	streams map[Stream]*record
	// waiting are the questions of this host that wait for answers.
	waiting map[Stream][]chan<- reply
	// marksMutex guards what the platform's marks said when they were last read, and markDuties.
	// recordsMutex guards unsaved, the streams that this host has to record, and mixed. readMutex is
	// held while the records are read, last at recordsReadAt.
	recordsMutex sync.Mutex
	unsaved      []Beginning
	// mixed is the result of mixedPools.
	mixed         chan struct{}
	readMutex     sync.Mutex
	recordsReadAt atomic.Pointer[time.Time]
	// isReading is set while the records are read for other hosts.
	isReading  atomic.Bool
	marksMutex sync.Mutex
	marks      map[string]time.Time
	markDuties map[string]*markDuty
	platform   platformReads
	// unreadableMarks are those of marks that can't be read, by pool.
	unreadableMarks map[string]unreadableMark
}

// reply is an answer with the address of the host that gave it.
type reply struct {
	Answer
	address string
}

// SetTargets sets the current targets.
func (origins *Origins) SetTargets(targets []balance.Target) {
	now := time.Now()
	mixed := origins.pools.set(targets, now)
	for _, pool := range mixed {
		origins.Events.Record(eventVersions, timeline.Event{Pool: pool.name, Detail: pool.describe()})
	}
	if len(mixed) > 0 {
		select {
		case origins.mixedPools() <- struct{}{}:
		default:
			// The last one was not seen to yet.
		}
		origins.retell(now)
	}
}

// retell tells other hosts of the streams that began while their pool had one version only.
func (origins *Origins) retell(now time.Time) {
	origins.mutex.Lock()
	var untold []Beginning
	for stream, record := range origins.streams {
		if record.isOwn && !record.isTold && now.Sub(record.begunAt) < retellLifetime && origins.pools.isMixed(record.pool, now) {
			record.isTold = true
			untold = append(untold, Beginning{Stream: stream, Version: record.version})
		}
	}
	origins.mutex.Unlock()
	origins.tell(untold)
	origins.keep(untold)
}

// keepAgain has streams recorded again that began at this host, as the platform came back from an older
// copy.
func (origins *Origins) keepAgain(now time.Time) {
	origins.mutex.Lock()
	var beginnings []Beginning
	for stream, record := range origins.streams {
		if record.isOwn && record.isTold && now.Sub(record.begunAt) < retellLifetime {
			beginnings = append(beginnings, Beginning{Stream: stream, Version: record.version})
		}
	}
	origins.mutex.Unlock()
	origins.keep(beginnings)
}

// tell tells the keepers of streams of them.
func (origins *Origins) tell(beginnings []Beginning) {
	messages := map[string]*Message{}
	members := origins.Members()
	for _, beginning := range beginnings {
		for _, address := range keepersOf(members, beginning.Stream, keepers) {
			if messages[address] == nil {
				messages[address] = &Message{}
			}
			messages[address].Beginnings = append(messages[address].Beginnings, beginning)
		}
	}
	for address, message := range messages {
		origins.Send(address, message)
	}
}

// RecordBegin records that this host passes the first event of a stream on, or the first one
// after it was taken up, from a target of a version. While the pool has several versions, or
// the version is unknown, other hosts are told.
func (origins *Origins) RecordBegin(stream Stream, pool string, version balance.VersionID) {
	now := time.Now()
	isTold := version == UnknownVersion || origins.pools.isMixed(pool, now)
	origins.mutex.Lock()
	origins.remember(stream, &record{version: version, pool: pool, begunAt: now, isOwn: true, isTold: isTold})
	origins.mutex.Unlock()
	if isTold {
		beginnings := []Beginning{{Stream: stream, Version: version}}
		origins.tell(beginnings)
		origins.keep(beginnings)
	}
}

// remember adds what is known of a stream. The caller holds the mutex.
func (origins *Origins) remember(stream Stream, known *record) {
	if origins.streams == nil {
		origins.streams = map[Stream]*record{}
	}
	if len(origins.streams) < maxStreams || origins.streams[stream] != nil {
		origins.streams[stream] = known
	}
}

// Receive applies a message of another host.
func (origins *Origins) Receive(address string, message *Message) {
	now := time.Now()
	answer := &Message{}
	isInTouch := len(message.Questions) > 0 && origins.touch().isEnough()
	origins.mutex.Lock()
	for _, beginning := range message.Beginnings {
		origins.remember(beginning.Stream, &record{version: beginning.Version, begunAt: now})
	}
	for _, beginning := range message.Records {
		origins.remember(beginning.Stream, &record{version: beginning.Version, begunAt: now})
	}
	for _, question := range message.Questions {
		state := origins.pools.state(question.Pool, now)
		state.IsEstablished = state.IsEstablished && isInTouch
		answer.Answers = append(answer.Answers, Answer{
			Stream: question.Stream, Version: origins.known(question.Stream), Pool: state, HasRead: origins.hasRead(),
		})
	}
	for _, answer := range message.Answers {
		for _, waiting := range origins.waiting[answer.Stream] {
			select {
			case waiting <- reply{Answer: answer, address: address}:
			default:
				// It has more answers than hosts were asked.
			}
		}
	}
	origins.mutex.Unlock()
	if len(message.Records) > 0 {
		origins.addUnsaved(message.Records)
	}
	if message.Saved != nil {
		origins.learnSaved(message.Saved, now)
	}
	if len(answer.Answers) > 0 {
		origins.Send(address, answer)
	}
	if origins.mustRead(answer.Answers) && origins.isReading.CompareAndSwap(false, true) {
		go func() {
			defer origins.isReading.Store(false)
			// A failed read is recorded, and the question comes again.
			_ = origins.readRecords(context.Background())
		}()
	}
}

// mustRead reports whether this host has to read the records for answers without a version:
// it does so for others, and has not just done it.
func (origins *Origins) mustRead(answers []Answer) bool {
	if origins.Recorder == nil || origins.Recorder() != "" || origins.hasRead() {
		return false
	}
	return slices.ContainsFunc(answers, func(answer Answer) bool { return answer.Version == 0 && answer.Pool.Only == 0 })
}

// known returns the version that began a stream, 0 if it is not known. The caller holds the
// mutex.
func (origins *Origins) known(stream Stream) balance.VersionID {
	if record := origins.streams[stream]; record != nil {
		return record.version
	}
	return 0
}

// Find returns the version that began a stream of a pool, 0 if it can't be told. The attempt
// is empty if the caller does not name it. Request is for events.
func (origins *Origins) Find(ctx context.Context, request, attempt, pool string) balance.VersionID {
	stream, takenUpAt := NewStream(attempt), time.Now()
	origins.mutex.Lock()
	version := origins.known(stream)
	origins.mutex.Unlock()
	event := timeline.Event{Request: request, Pool: pool}
	if version != 0 {
		return origins.recordFound(&event, version, "known to this host")
	}
	question := Question{Stream: stream, Pool: pool}
	asked, answers := origins.ask(ctx, question)
	touch := origins.touch()
	event.Facts = []timeline.Fact{
		timeline.Count("asked", asked), timeline.Count("answers", len(answers)), timeline.Count("heard", touch.heard), timeline.Count("known", touch.known),
	}
	for _, answer := range answers {
		if answer.Version != 0 {
			return origins.recordFound(&event, answer.Version, "known to another host")
		}
	}
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	version, why := origins.onlyVersion(ctx, pool, takenUpAt, witnesses{asked: asked, answers: answers, touch: touch})
	if version != 0 {
		return origins.recordFound(&event, version, why)
	}
	if version := origins.findRecorded(ctx, question); version != 0 {
		return origins.recordFound(&event, version, "known to the platform")
	}
	countFound("unknown")
	event.Detail = why
	event.Facts = append(event.Facts, timeline.Fact{Key: "resumes", Value: attempt})
	origins.Events.Record(eventUnknown, event)
	return 0
}

// witnesses are the other hosts that were asked, with the answers of those that don't know the
// stream, and how well this host hears others.
type witnesses struct {
	asked   int
	answers []Answer
	touch   touch
}

// know reports whether this host or others know that a pool has had one version only for as long
// as streams last, and which of them.
func (witnesses *witnesses) know(own PoolState) (isKnown bool, from string) {
	established := 0
	for _, answer := range witnesses.answers {
		if answer.Pool.IsEstablished {
			established++
		}
	}
	// Most of those that are asked were told, if the stream began while its host knew several.
	isInTouch := own.IsEstablished && witnesses.touch.isEnough() && 2*len(witnesses.answers) > witnesses.asked
	if established >= enoughWitnesses || isInTouch && established > 0 {
		return true, "one version, as other hosts know"
	}
	return isInTouch, "one version, as this host knows"
}

// onlyVersion returns the version of a pool that has had no other for as long as streams
// last, and who knows so; 0 if it had others or nobody knows, and which of these. What this host
// knows may be old if it is out of step, so that the platform is asked then.
func (origins *Origins) onlyVersion(ctx context.Context, pool string, takenUpAt time.Time, witnesses witnesses) (balance.VersionID, string) {
	const mixed = "the pool has or recently had several versions"
	own := origins.pools.state(pool, time.Now())
	for _, answer := range witnesses.answers {
		if answer.Pool.IsMixed || answer.Pool.Only != 0 && answer.Pool.Only != own.Only {
			return 0, mixed
		}
	}
	if own.IsMixed || own.Only == 0 {
		return 0, mixed
	}
	if isKnown, from := witnesses.know(own); isKnown {
		return own.Only, from
	}
	if err := origins.readPlatform(ctx, takenUpAt); err != nil {
		return 0, "this host may be out of step, and can't read the platform: " + err.Error()
	}
	if now := origins.pools.state(pool, time.Now()); now.IsMixed || now.Only != own.Only || !origins.isUnmarked(pool) {
		return 0, mixed
	}
	if doubt := origins.doubtHistory(pool, own.Only, time.Now()); doubt != "" {
		return 0, doubt
	}
	return own.Only, "one version, as the platform knows"
}

func (origins *Origins) recordFound(event *timeline.Event, version balance.VersionID, from string) balance.VersionID {
	countFound(from)
	event.Detail = from
	origins.Events.Record(eventFound, *event)
	return version
}

// ask asks other hosts for the version that began a stream. It returns how many were asked,
// and their answers until the first one that knows it.
func (origins *Origins) ask(ctx context.Context, question Question) (asked int, answers []Answer) {
	addresses := keepersOf(origins.awaitMembers(ctx), question.Stream, askedKeepers)
	if len(addresses) == 0 {
		return 0, nil
	}
	replies := make(chan reply, 2*askedKeepers)
	origins.await(question.Stream, replies)
	defer origins.endAwait(question.Stream, replies)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resend := time.NewTicker(askInterval)
	defer resend.Stop()
	asked = len(addresses)
	send := func() {
		for _, address := range addresses {
			origins.Send(address, &Message{Questions: []Question{question}})
		}
	}
	send()
	for len(addresses) > 0 {
		select {
		case <-ctx.Done():
			return asked, answers
		case <-resend.C:
			send()
		case reply := <-replies:
			index := slices.Index(addresses, reply.address)
			if index < 0 {
				continue
			}
			addresses = slices.Delete(addresses, index, index+1)
			if answers = append(answers, reply.Answer); reply.Version != 0 {
				return asked, answers
			}
		}
	}
	return asked, answers
}

// awaitMembers returns the other hosts that are heard. A host that has just started waits
// for the first ones.
func (origins *Origins) awaitMembers(ctx context.Context) []string {
	members := origins.Members()
	for end := time.Now().Add(membersTimeout); len(members) == 0 && origins.pools.isNew(time.Now()) && time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(membersInterval):
		}
		members = origins.Members()
	}
	return members
}

func (origins *Origins) await(stream Stream, answers chan<- reply) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	if origins.waiting == nil {
		origins.waiting = map[Stream][]chan<- reply{}
	}
	origins.waiting[stream] = append(origins.waiting[stream], answers)
}

func (origins *Origins) endAwait(stream Stream, answers chan<- reply) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	left := slices.DeleteFunc(origins.waiting[stream], func(other chan<- reply) bool { return other == answers })
	if len(left) == 0 {
		delete(origins.waiting, stream)
		return
	}
	origins.waiting[stream] = left
}

// keepersOf returns the first count of the hosts that keep a stream's version.
func keepersOf(members []string, stream Stream, count int) []string {
	type weighted struct {
		address string
		weight  uint64
	}
	hosts := make([]weighted, len(members))
	for i, address := range members {
		hash := fnv.New64a()
		// Writes to a hash don't fail.
		_, _ = hash.Write(binary.LittleEndian.AppendUint64([]byte(address), uint64(stream)))
		hosts[i] = weighted{address: address, weight: mix(hash.Sum64())}
	}
	slices.SortFunc(hosts, func(one, other weighted) int {
		return cmp.Or(cmp.Compare(other.weight, one.weight), cmp.Compare(one.address, other.address))
	})
	addresses := make([]string, 0, count)
	for _, host := range hosts[:min(count, len(hosts))] {
		addresses = append(addresses, host.address)
	}
	return addresses
}

// mix spreads a hash over all its bits.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	return hash ^ hash>>33
}

// Run forgets old streams, and writes marks if that is this host's turn, until the context ends. It
// returns nil.
func (origins *Origins) Run(ctx context.Context) error {
	ticker := time.NewTicker(handoverDelay)
	defer ticker.Stop()
	era := origins.era()
	for forgotAt := time.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-origins.mixedPools():
			// All hosts may end before the next tick.
		case <-ticker.C:
		}
		if now := time.Now(); now.Sub(forgotAt) >= forgetInterval {
			forgotAt = now
			origins.forget(now)
			origins.touch()
		}
		if present := origins.era(); present != era {
			era = present
			origins.keepAgain(time.Now())
		}
		origins.keepMarks(ctx)
	}
}

// mixedPools receives a value when a pool has got several versions.
func (origins *Origins) mixedPools() chan struct{} {
	origins.recordsMutex.Lock()
	defer origins.recordsMutex.Unlock()
	if origins.mixed == nil {
		origins.mixed = make(chan struct{}, 1)
	}
	return origins.mixed
}

func (origins *Origins) forget(now time.Time) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	maps.DeleteFunc(origins.streams, func(_ Stream, record *record) bool { return now.Sub(record.begunAt) > streamLifetime })
	countStreams(len(origins.streams))
}
