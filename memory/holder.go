package memory

import (
	"sync/atomic"
	"time"
)

// Phase is what a connection is doing.
type Phase uint32

// The phases of a connection.
const (
	// Head: the head of a request is awaited on a new connection, or has begun to come.
	Head Phase = iota
	// Idle: a request was answered, and the next one has not begun.
	Idle
	// Queued: the request waits for memory for its body, of which nothing was read, or to be denied.
	Queued
	// Body: the body of a request is read.
	Body
	// Waiting: the request is complete and was not sent to any target.
	Waiting
	// Running: the request was sent to a target, or its answer is being written.
	Running
	// Closing: the connection ends; what still comes is discarded.
	Closing
	// Gone: the connection has given way, or is closed.
	Gone
)

// String returns the name of the phase in scripts and events.
func (phase Phase) String() string {
	return [...]string{"head", "idle", "queued", "body", "waiting", "running", "closing", "gone"}[phase]
}

// progressBytes is the number of bytes that count as progress. Single bytes don't: a caller
// that sends one now and then would never be seen to stall.
const progressBytes = 4 << 10

// Details describe the request of a connection.
type Details struct {
	// Request is the id of the request, empty for none.
	Request string
	// Workspace is that of the request's key, empty for none.
	Workspace string
	// Declared is the length of the body, -1 if it is not known.
	Declared int64
	// Deadline is when the caller gives up; Due is when the answer is late, zero for never.
	Deadline, Due time.Time
	// Cancel ends the wait of the request.
	Cancel func()
}

// Holder is a connection and what is held for it. The methods of a nil Holder do nothing and
// find room for all.
type Holder struct {
	budget *Budget
	// onEvict and hasInput are the arguments of NewHolder.
	onEvict  func(phase Phase)
	hasInput func() bool
	held     [kinds]atomic.Int64
	isClosed atomic.Bool

	phase atomic.Uint32
	// began is when the phase began, progressAt when the last bytes came that count as
	// progress and writingSince when a write to the caller began that has not ended, 0 for
	// none; in nanoseconds since 1970.
	began, progressAt, writingSince atomic.Int64
	// received counts the bytes of the phase, of which marked had come by progressAt.
	received atomic.Int64
	marked   int64
	// hasServed means that a request of the connection was served, and none denied since.
	hasServed atomic.Bool
	details   atomic.Pointer[Details]
	// idleTimeout is how long callers rely on the idle connection, in nanoseconds.
	idleTimeout atomic.Int64
}

// NewHolder returns the holder of a connection that is not open yet. OnEvict is called, at most
// once, when the connection must give way: it must end whatever the connection does in the
// given phase, without waiting. HasInput reports whether the caller has sent something that was
// not read yet, so that it has not stalled; it may be nil.
func (budget *Budget) NewHolder(onEvict func(phase Phase), hasInput func() bool) *Holder {
	return &Holder{budget: budget, onEvict: onEvict, hasInput: hasInput}
}

// Open counts the connection, which costs some bytes. It returns false if there is no room for
// another one. Close must be called at its end.
func (holder *Holder) Open(cost int64) bool {
	budget := holder.budget
	if !budget.take(Connections, cost, Small, false) {
		return false
	}
	holder.held[Connections].Store(cost)
	now := time.Now().UnixNano()
	holder.began.Store(now)
	holder.progressAt.Store(now)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.holders == nil {
		budget.holders = map[*Holder]struct{}{}
	}
	budget.holders[holder] = struct{}{}
	return true
}

// Close ends the connection. What a request holds must be given back by it.
func (holder *Holder) Close() {
	if holder == nil || !holder.isClosed.CompareAndSwap(false, true) {
		return
	}
	holder.phase.Store(uint32(Gone))
	holder.budget.mutex.Lock()
	delete(holder.budget.holders, holder)
	holder.budget.mutex.Unlock()
	holder.giveAll(Connections)
	holder.giveAll(Heads)
}

// Enter begins a phase. It returns false if the connection must give way, or has ended.
func (holder *Holder) Enter(phase Phase) bool {
	if holder == nil {
		return true
	}
	for {
		old := holder.phase.Load()
		if Phase(old) == Gone {
			return false
		}
		if Phase(old) == phase {
			return true
		}
		now := time.Now().UnixNano()
		holder.began.Store(now)
		holder.progressAt.Store(now)
		holder.received.Store(0)
		if holder.phase.CompareAndSwap(old, uint32(phase)) {
			return true
		}
	}
}

// Phase returns the present phase.
func (holder *Holder) Phase() Phase {
	if holder == nil {
		return Running
	}
	return Phase(holder.phase.Load())
}

// Describe sets the details of the connection's request, nil at its end.
func (holder *Holder) Describe(details *Details) {
	if holder != nil {
		holder.details.Store(details)
	}
}

// IsPatient reports whether a body of the connection may wait for room: not while others have
// to give way, unless a request of the connection was served.
func (holder *Holder) IsPatient() bool {
	return holder.hasServed.Load() || !holder.budget.isPressed(Bodies)
}

// Request returns the id of the connection's request, empty if it has none.
func (holder *Holder) Request() string {
	if details := holder.details.Load(); details != nil {
		return details.Request
	}
	return ""
}

// Serve records that a request of the connection was served.
func (holder *Holder) Serve() {
	if holder != nil {
		holder.hasServed.Store(true)
	}
}

// Deny records that a request of the connection was denied. It reports whether connections have
// to give way, so that this one should end with the answer.
func (holder *Holder) Deny() (isPressed bool) {
	if holder == nil {
		return false
	}
	holder.hasServed.Store(false)
	return holder.budget.isPressed(Connections)
}

// SetIdleTimeout sets how long callers rely on the connection while it is idle.
func (holder *Holder) SetIdleTimeout(timeout time.Duration) {
	if holder != nil {
		holder.idleTimeout.Store(int64(timeout))
	}
}

// Receive records bytes that the caller sent. Only one goroutine at a time may call it.
func (holder *Holder) Receive(bytes int) {
	if holder == nil {
		return
	}
	received := holder.received.Add(int64(bytes))
	if received < holder.marked {
		holder.marked = 0
	}
	if received-holder.marked >= progressBytes || received == int64(bytes) {
		holder.marked = received
		holder.progressAt.Store(time.Now().UnixNano())
	}
}

// Progress records that the caller is not the reason why nothing more was received.
func (holder *Holder) Progress() {
	if holder != nil {
		holder.progressAt.Store(time.Now().UnixNano())
	}
}

// BeginWrite and EndWrite enclose a write to the caller.
func (holder *Holder) BeginWrite() {
	if holder != nil {
		holder.writingSince.Store(time.Now().UnixNano())
	}
}

// EndWrite ends a write to the caller.
func (holder *Holder) EndWrite() {
	if holder != nil {
		holder.writingSince.Store(0)
	}
}

// Take counts bytes of a request. It returns false if there is no room for them. They must be
// given back by Give, also when the connection has ended.
func (holder *Holder) Take(kind Kind, bytes int64, size Size) bool {
	if holder == nil {
		return true
	}
	if !holder.budget.take(kind, bytes, size, holder.hasServed.Load()) {
		return false
	}
	holder.held[kind].Add(bytes)
	return true
}

// Give returns bytes taken by Take.
func (holder *Holder) Give(kind Kind, bytes int64) {
	if holder == nil {
		return
	}
	holder.held[kind].Add(-bytes)
	holder.budget.give(kind, bytes)
}

// TakeHead counts bytes of a head. It returns false if there is no room for them. They are
// given back by GiveHeads and by Close.
func (holder *Holder) TakeHead(bytes int64) bool {
	if holder == nil {
		return true
	}
	if !holder.budget.take(Heads, bytes, Small, false) {
		return false
	}
	holder.held[Heads].Add(bytes)
	if holder.isClosed.Load() {
		// Close may have returned the others before.
		holder.giveAll(Heads)
	}
	return true
}

// GiveHeads returns all that was taken by TakeHead.
func (holder *Holder) GiveHeads() {
	if holder != nil {
		holder.giveAll(Heads)
	}
}

func (holder *Holder) giveAll(kind Kind) {
	if bytes := holder.held[kind].Swap(0); bytes != 0 {
		holder.budget.give(kind, bytes)
	}
}

// evict lets the holder give way if it is still in the phase in which it was chosen.
func (holder *Holder) evict(phase Phase) bool {
	if (phase == Head || phase == Body || phase == Idle) && holder.hasInput != nil && holder.hasInput() {
		// The host is behind, not the caller.
		holder.Progress()
		return false
	}
	if !holder.phase.CompareAndSwap(uint32(phase), uint32(Gone)) {
		return false
	}
	if details := holder.details.Load(); (phase == Waiting || phase == Queued) && details != nil && details.Cancel != nil {
		details.Cancel()
	}
	holder.onEvict(phase)
	return true
}

// candidate describes the holder for the choice of those that give way to a kind.
func (holder *Holder) candidate(kind Kind, now time.Time) Candidate {
	nanoseconds := now.UnixNano()
	candidate := Candidate{
		Phase:    Phase(holder.phase.Load()),
		Held:     holder.held[kind].Load(),
		Age:      time.Duration(nanoseconds - holder.began.Load()),
		Quiet:    time.Duration(nanoseconds - holder.progressAt.Load()),
		IsProven: holder.hasServed.Load(),
		Received: holder.received.Load(),
	}
	if since := holder.writingSince.Load(); since != 0 {
		candidate.Writing = time.Duration(nanoseconds - since)
	}
	timeout := time.Duration(holder.idleTimeout.Load())
	candidate.IsOverdue = candidate.Phase == Idle && timeout > 0 && candidate.Age > timeout
	if details := holder.details.Load(); details != nil {
		candidate.Workspace = details.Workspace
		candidate.Declared = details.Declared
		candidate.Remaining = details.Deadline.Sub(now)
		candidate.IsLate = !details.Due.IsZero() && now.After(details.Due)
	}
	return candidate
}

// Received returns the bytes of the present phase that the caller has sent.
func (holder *Holder) Received() int64 { return holder.received.Load() }
