// Package memory counts what a host holds for its callers against a budget, and decides who
// gives way when the budget is short.
package memory

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is a kind of memory with a part of the budget of its own, so that no kind can take
// the room of another.
type Kind uint8

// The kinds of memory.
const (
	// Connections are the buffers and goroutines of open connections.
	Connections Kind = iota
	// Heads are long request heads: what is beyond the buffers of the connection.
	Heads
	// Bodies are request bodies and messages of other hosts.
	Bodies
	// Requests are the states of requests from their head to the end of their answer.
	Requests
	// Answers are answers, and events of streams, that are buffered before they are passed on.
	Answers

	kinds = 5
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connections, Heads, Bodies, Requests, Answers} }

// String returns the label value for metrics and events.
func (kind Kind) String() string {
	return [...]string{"connections", "heads", "bodies", "requests", "answers"}[kind]
}

const (
	// eighths is the number by which parts are divided. Small bodies and answers may take all
	// of a part, large ones largeEighths. While others have to give way, large ones on
	// connections that served no request may take only unprovenEighths: a crowd of new
	// connections can't keep out callers that were served before.
	eighths, largeEighths, unprovenEighths = 8, 7, 5
	// Beyond shortEighths of what may be taken, holders give way until reliefEighths are.
	// The room between is for those that arrive meanwhile.
	shortEighths, reliefEighths = 7, 6
	// Connections that callers keep are last, and give way to further ones only: to as many, and
	// this part more.
	keptDivisor = 64
	// pressedTime is how long after holders had to give way a part counts as short.
	pressedTime = 5 * time.Second
	// reliefInterval is the shortest time between two looks for holders that give way to
	// the same kind. A look costs about 50 ns for each connection.
	reliefInterval = 5 * time.Millisecond
)

// Budget counts what is held of each kind. Its fields are set before use.
type Budget struct {
	// Parts are the most bytes that may be held of each kind.
	Parts [kinds]int64
	// OnGaveWay is called after holders were told to give way. It may be nil.
	OnGaveWay func(relief Relief)

	held    [kinds]atomic.Int64
	refused [kinds]atomic.Int64
	gaveWay [kinds]atomic.Int64
	// relieved is when holders were last chosen for a kind, pressed when some gave way; in
	// nanoseconds since 1970.
	relieved [kinds]atomic.Int64
	pressed  [kinds]atomic.Int64

	mutex   sync.Mutex
	holders map[*Holder]struct{}
	// relieving is held while holders are chosen; candidates and chosen are its memory.
	relieving  sync.Mutex
	candidates []Candidate
	chosen     []*Holder
}

// Relief says who gave way to a kind of memory.
type Relief struct {
	Kind Kind
	// Held and Part are the bytes held of the kind before, and the most that may be.
	Held, Part int64
	// Chosen is the number of holders that gave way, Freed the bytes that they held, and
	// Stalled the number of those that made no progress.
	Chosen, Stalled int
	Freed           int64
}

// Held returns the bytes that are held of a kind.
func (budget *Budget) Held(kind Kind) int64 { return budget.held[kind].Load() }

// Refused returns how often there was no room for a kind.
func (budget *Budget) Refused(kind Kind) int64 { return budget.refused[kind].Load() }

// GaveWay returns how many holders gave way to a kind.
func (budget *Budget) GaveWay(kind Kind) int64 { return budget.gaveWay[kind].Load() }

// Holders returns the number of open holders.
func (budget *Budget) Holders() int {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return len(budget.holders)
}

// Serving returns the number of open holders with a request, from its head to the end of its
// answer. That of a nil budget is 0.
func (budget *Budget) Serving() int {
	if budget == nil {
		return 0
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	serving := 0
	for holder := range budget.holders {
		if phase := holder.Phase(); phase >= Queued && phase <= Running {
			serving++
		}
	}
	return serving
}

// Size says how much of a part may be taken for something.
type Size uint8

// The sizes.
const (
	Small Size = iota
	Large
)

// limit returns the bytes of a kind up to which something may be taken.
func (budget *Budget) limit(kind Kind, size Size, isProven bool) int64 {
	part := budget.Parts[kind]
	switch {
	case size == Small:
		return part
	case isProven || !budget.isPressed(kind):
		return part / eighths * largeEighths
	default:
		return part / eighths * unprovenEighths
	}
}

// isPressed reports whether holders had to give way to a kind not long ago.
func (budget *Budget) isPressed(kind Kind) bool {
	return time.Now().UnixNano()-budget.pressed[kind].Load() < int64(pressedTime)
}

// take counts bytes of a kind. It returns false if there is no room for them.
func (budget *Budget) take(kind Kind, bytes int64, size Size, isProven bool) bool {
	limit := budget.limit(kind, size, isProven)
	held := budget.held[kind].Add(bytes)
	if held > limit {
		budget.held[kind].Add(-bytes)
		budget.refused[kind].Add(1)
		budget.Relieve(kind, bytes)
		return false
	}
	if held > budget.Parts[kind]/eighths*shortEighths {
		budget.Relieve(kind, 0)
	}
	return true
}

func (budget *Budget) give(kind Kind, bytes int64) { budget.held[kind].Add(-bytes) }

// Take counts bytes of a kind that no holder needs to be chosen for. It returns false if there
// is no room for them. A nil budget has room for all.
func (budget *Budget) Take(kind Kind, bytes int64, size Size) bool {
	return budget == nil || budget.take(kind, bytes, size, true)
}

// Give returns bytes taken by Take.
func (budget *Budget) Give(kind Kind, bytes int64) {
	if budget != nil {
		budget.give(kind, bytes)
	}
}

// Relieve lets holders give way to a kind, and to further bytes of it, unless that has just been
// done.
func (budget *Budget) Relieve(kind Kind, further int64) {
	now := time.Now()
	if now.UnixNano()-budget.relieved[kind].Load() < int64(reliefInterval) || !budget.relieving.TryLock() {
		return
	}
	defer budget.relieving.Unlock()
	budget.relieved[kind].Store(now.UnixNano())
	part := budget.Parts[kind]
	relief := Relief{Kind: kind, Held: budget.held[kind].Load(), Part: part}
	budget.gather(kind, now)
	needed := max(relief.Held-part/eighths*reliefEighths, further)
	for _, i := range Order(kind, part, budget.candidates) {
		candidate := &budget.candidates[i]
		if relief.Freed >= needed || candidate.isKept() && (further == 0 || relief.Freed >= further+part/keptDivisor) {
			break
		}
		if !budget.chosen[i].evict(candidate.Phase) {
			continue
		}
		relief.Chosen++
		relief.Freed += candidate.Held
		if candidate.isStalled() {
			relief.Stalled++
		}
	}
	clear(budget.chosen)
	clear(budget.candidates)
	if relief.Chosen == 0 {
		return
	}
	budget.pressed[kind].Store(now.UnixNano())
	budget.gaveWay[kind].Add(int64(relief.Chosen))
	if budget.OnGaveWay != nil {
		budget.OnGaveWay(relief)
	}
}

// HasRoom reports whether there is room for bytes of a kind.
func (budget *Budget) HasRoom(kind Kind, bytes int64) bool {
	return budget.Held(kind)+bytes <= budget.Parts[kind]
}

// Evict ends what the holders do that isChosen chooses, as if they gave way. It returns the
// number of those that are still open.
func (budget *Budget) Evict(isChosen func(candidate *Candidate) bool) (left int) {
	now := time.Now()
	budget.mutex.Lock()
	holders := slices.Collect(maps.Keys(budget.holders))
	budget.mutex.Unlock()
	for _, holder := range holders {
		candidate := holder.candidate(Connections, now)
		if !isChosen(&candidate) || !holder.evict(candidate.Phase) {
			left++
		}
	}
	return left
}

// Cancel ends the waits of all requests, also of those that were sent to a target.
func (budget *Budget) Cancel() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	for holder := range budget.holders {
		if details := holder.details.Load(); details != nil && details.Cancel != nil {
			details.Cancel()
		}
	}
}

// gather sets candidates to the holders that hold memory of a kind. The caller holds
// relieving.
func (budget *Budget) gather(kind Kind, now time.Time) {
	budget.candidates, budget.chosen = budget.candidates[:0], budget.chosen[:0]
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	for holder := range budget.holders {
		if candidate := holder.candidate(kind, now); candidate.mayGiveWay(kind) {
			budget.candidates = append(budget.candidates, candidate)
			budget.chosen = append(budget.chosen, holder)
		}
	}
}
