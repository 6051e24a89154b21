package memory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// stallTime is the time without progress after which a caller is stalled. It bears a
	// lost packet that is sent again after the first timeout of TCP (up to 1 s after a path
	// was idle) on a link of 64 kbit/s, the slowest one that is served, on which 4 KiB take
	// half a second.
	stallTime = 2 * time.Second
	// quietTime is the shortest time without progress after which a caller of whom no request
	// was served gives way to others. A crowd that fills the budget within stallTime would
	// keep out all others until then.
	quietTime = 100 * time.Millisecond
	// rateTime is the age of a body at which its rate says when it will be complete.
	rateTime = time.Second
	// unreadTime is the time after which a write that a caller does not read makes its
	// connection give way.
	unreadTime = time.Second
	// idleTime is the shortest time for which a connection whose last request was served stays
	// idle before it gives way. Others do at once: a crowd whose requests come to nothing, but
	// often, would hold all connections.
	idleTime = time.Second
)

// Candidate is a connection that may have to give way.
type Candidate struct {
	Phase Phase
	// Held is what it holds of the kind that is short, in bytes.
	Held int64
	// Age is the time since the phase began, Quiet the time without progress, and Writing
	// how long a write has waited for the caller to read.
	Age, Quiet, Writing time.Duration
	// IsProven means that a request of the connection was served, and none denied since.
	IsProven bool
	// IsOverdue: the connection has been idle for longer than callers rely on.
	IsOverdue bool
	// Workspace is that of the request's key, empty for none.
	Workspace string
	// Declared is the length of the body, -1 for an unknown one; Received has come.
	Declared, Received int64
	// Remaining is the time until the caller gives up.
	Remaining time.Duration
	// IsLate: the answer can't be in time any more.
	IsLate bool
}

// isStalled reports whether a caller makes no progress with what it sends, or so little that
// its body would not be complete before the caller gives up.
func (candidate *Candidate) isStalled() bool {
	switch candidate.Phase {
	case Head:
		return candidate.Quiet >= stallTime
	case Body:
		return candidate.Quiet >= stallTime || candidate.isTooSlow()
	default:
		return candidate.Writing >= unreadTime
	}
}

// isTooSlow reports whether the rest of a body takes longer than its caller waits, at the rate
// so far.
func (candidate *Candidate) isTooSlow() bool {
	if candidate.Age < rateTime || candidate.Declared <= candidate.Received {
		return false
	}
	if candidate.Received == 0 {
		return true
	}
	rest := float64(candidate.Declared-candidate.Received) / float64(candidate.Received) * float64(candidate.Age)
	return rest > float64(candidate.Remaining)
}

// isUnread reports whether the caller does not read its answer.
func (candidate *Candidate) isUnread() bool {
	return candidate.Phase == Running && candidate.Writing >= unreadTime
}

// mayGiveWay reports whether the connection may give way to a kind at all. Requests and
// streams in progress do not.
func (candidate *Candidate) mayGiveWay(kind Kind) bool {
	if candidate.Held <= 0 {
		return false
	}
	switch candidate.Phase {
	case Head:
		return (kind == Connections || kind == Heads) && candidate.Quiet >= quietTime
	case Idle:
		return kind == Connections && (!candidate.IsProven || candidate.IsOverdue || candidate.Age >= idleTime)
	case Queued:
		return kind == Connections || kind == Requests
	case Body:
		return kind != Heads && kind != Answers &&
			(candidate.isStalled() || !candidate.IsProven && candidate.Quiet >= quietTime)
	case Waiting:
		return kind != Heads && kind != Answers && candidate.IsLate
	case Running:
		return candidate.isUnread()
	case Closing:
		return kind == Connections || kind == Requests
	default:
		return false
	}
}

// isKept reports whether the connection is one that callers keep, and whose requests are served.
func (candidate *Candidate) isKept() bool {
	return candidate.Phase == Idle && candidate.IsProven && !candidate.IsOverdue
}

// stage orders phases and their progress: who has stopped gives way before who is idle, and
// both before those whose answers are late.
func (candidate *Candidate) stage() int {
	switch {
	case candidate.Phase == Closing:
		return 0
	case candidate.Phase == Idle && candidate.IsOverdue:
		return 1
	case candidate.isStalled():
		return 2
	case candidate.Phase == Idle && !candidate.IsProven:
		return 3
	case candidate.Phase == Head || candidate.Phase == Body || candidate.Phase == Queued:
		return 4
	case candidate.Phase == Idle:
		return 5
	default:
		return 6
	}
}

// Order returns the indices of the candidates that may give way to a kind, in the order in
// which they do: those without progress before others, those without a known key before
// others, connections that served no request before others, workspaces that hold more than
// their fair part before others, late requests before others, and the longest without progress
// first.
func Order(kind Kind, part int64, candidates []Candidate) []int {
	heldBy := map[string]int64{}
	for i := range candidates {
		if name := candidates[i].Workspace; name != "" {
			heldBy[name] += candidates[i].Held
		}
	}
	fairPart := part / int64(max(1, len(heldBy)))
	var order []int
	classes := make([]int, len(candidates))
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.mayGiveWay(kind) {
			order = append(order, i)
			classes[i] = candidate.class(heldBy[candidate.Workspace] > fairPart)
		}
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Or(
			cmp.Compare(classes[i], classes[j]),
			cmp.Compare(candidates[j].Quiet, candidates[i].Quiet),
			cmp.Compare(candidates[j].Held, candidates[i].Held),
			cmp.Compare(i, j),
		)
	})
	return order
}

// class orders candidates but for the time without progress.
func (candidate *Candidate) class(isGreedy bool) int {
	class := candidate.stage()
	for _, staysLonger := range []bool{candidate.Workspace != "", candidate.IsProven, !isGreedy, !candidate.IsLate} {
		class *= 2
		if staysLonger {
			class++
		}
	}
	return class
}
