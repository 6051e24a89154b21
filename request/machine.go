package request

import "sync/atomic"

// State is a step in the life of a request on its entry host.
type State uint32

// The states, in order. Only Granted may go back, to Waiting.
const (
	Waiting State = iota
	Granted
	Dispatched
	Answered
)

// StateMachine moves one request through its states by compare-and-swap. The step
// to Dispatched succeeds at most once in a request's life.
type StateMachine struct {
	state      atomic.Uint32
	dispatched atomic.Bool
}

// State returns the present state.
func (machine *StateMachine) State() State { return State(machine.state.Load()) }

// Grant moves a waiting request to Granted.
func (machine *StateMachine) Grant() bool { return machine.swap(Waiting, Granted) }

// Requeue moves a granted request back to Waiting; its grant was not used.
func (machine *StateMachine) Requeue() bool { return machine.swap(Granted, Waiting) }

// Dispatch takes the right to dispatch. It must be called before the first
// byte leaves for a target.
func (machine *StateMachine) Dispatch() bool {
	if !machine.swap(Granted, Dispatched) {
		return false
	}
	return machine.dispatched.CompareAndSwap(false, true)
}

// UndoDispatch gives the right to dispatch back after a connection that could not be
// opened: no byte of the request has left.
func (machine *StateMachine) UndoDispatch() bool {
	if machine.State() != Dispatched {
		return false
	}
	machine.dispatched.Store(false)
	return machine.swap(Dispatched, Waiting)
}

// Answer closes the request. It returns the state the request was in, and
// false when it was answered before.
func (machine *StateMachine) Answer() (State, bool) {
	for {
		state := machine.State()
		if state == Answered {
			return state, false
		}
		if machine.swap(state, Answered) {
			return state, true
		}
	}
}

// WasDispatched reports whether a byte of the request may have left for a target.
func (machine *StateMachine) WasDispatched() bool { return machine.dispatched.Load() }

func (machine *StateMachine) swap(from, to State) bool {
	return machine.state.CompareAndSwap(uint32(from), uint32(to))
}
