package request

import "sync/atomic"

// State is a stage in the life of a request on its entry host.
type State uint32

// The states in order. Requeue and UndoDispatch revert to Waiting.
const (
	Waiting State = iota
	Granted
	Dispatched
	Answered
)

// StateMachine tracks the state of one request by compare-and-swap. Dispatch
// succeeds at most once unless UndoDispatch reverts it.
type StateMachine struct {
	state atomic.Uint32
	// dispatched is true from a Dispatch on, also once the request is answered,
	// unless UndoDispatch reverts it.
	dispatched atomic.Bool
}

// State returns the current state.
func (stateMachine *StateMachine) State() State { return State(stateMachine.state.Load()) }

// Grant moves a waiting request to Granted and reports whether it was waiting.
func (stateMachine *StateMachine) Grant() bool { return stateMachine.transition(Waiting, Granted) }

// Requeue moves a granted request back to Waiting if its grant was not used,
// and reports whether it was granted.
func (stateMachine *StateMachine) Requeue() bool {
	return stateMachine.transition(Granted, Waiting)
}

// Dispatch moves a granted request to Dispatched and reports whether the caller
// may dispatch it. It must be called before the first byte is sent to a target.
func (stateMachine *StateMachine) Dispatch() bool {
	if !stateMachine.transition(Granted, Dispatched) {
		return false
	}
	return stateMachine.dispatched.CompareAndSwap(false, true)
}

// UndoDispatch moves a dispatched request back to Waiting. It must be called
// only if no byte of the request was sent, because the connection could not be
// opened. It reports whether the request was dispatched.
func (stateMachine *StateMachine) UndoDispatch() bool {
	if stateMachine.State() != Dispatched {
		return false
	}
	stateMachine.dispatched.Store(false)
	return stateMachine.transition(Dispatched, Waiting)
}

// Answer moves the request to Answered. It returns the previous state, and
// false if the request was answered already.
func (stateMachine *StateMachine) Answer() (State, bool) {
	for {
		state := stateMachine.State()
		if state == Answered {
			return state, false
		}
		if stateMachine.transition(state, Answered) {
			return state, true
		}
	}
}

// WasDispatched reports whether a byte of the request may have been sent to a
// target.
func (stateMachine *StateMachine) WasDispatched() bool { return stateMachine.dispatched.Load() }

func (stateMachine *StateMachine) transition(from, to State) bool {
	return stateMachine.state.CompareAndSwap(uint32(from), uint32(to))
}
