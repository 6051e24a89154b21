// Package order brings the targets of a zone to the state that the operators
// want: models, adapters and versions loaded, roles set. One host of the zone
// gives the orders, under a lease with a fencing number.
package order

import (
	"slices"
	"sort"

	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
)

// The actions of an order.
const (
	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "role"
)

// step is one order that a target needs, with how useful it is.
type step struct {
	target *profile.Target
	pool   string
	order  protocol.Order
	// worth orders the steps: the waiting requests it helps.
	worth int
}

// missing returns the orders that bring a target from the state it says it
// has to the wanted one: the role first, then what is missing, then what is
// too much.
func missing(described *profile.Target, found protocol.State) []protocol.Order {
	wanted := described.Wanted
	var orders []protocol.Order
	if wanted.Role != "" && wanted.Role != found.Role {
		orders = append(orders, protocol.Order{Action: actionRole, Role: wanted.Role})
	}
	for _, model := range wanted.Models {
		if !slices.Contains(found.Models, model) {
			orders = append(orders, loadModel(model))
		}
	}
	for _, adapter := range wanted.Adapters {
		if !slices.Contains(found.Adapters, adapter) {
			orders = append(orders, protocol.Order{Action: actionLoad, Adapter: adapter})
		}
	}
	return append(orders, surplus(&wanted, found)...)
}

// surplus returns the orders that unload what is not wanted. A target of which
// nothing is wanted is left as it is.
func surplus(wanted *profile.Wanted, found protocol.State) []protocol.Order {
	var orders []protocol.Order
	for _, model := range found.Models {
		if len(wanted.Models) > 0 && !slices.Contains(wanted.Models, model) {
			name, version := profile.SplitVersion(model)
			orders = append(orders, protocol.Order{Action: actionUnload, Model: name, Version: version})
		}
	}
	for _, adapter := range found.Adapters {
		if len(wanted.Adapters) > 0 && !slices.Contains(wanted.Adapters, adapter) {
			orders = append(orders, protocol.Order{Action: actionUnload, Adapter: adapter})
		}
	}
	return orders
}

func loadModel(model string) protocol.Order {
	name, version := profile.SplitVersion(model)
	return protocol.Order{Action: actionLoad, Model: name, Version: version}
}

// sortSteps puts the most useful first and else keeps the order of targets.
func sortSteps(steps []step) {
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].worth > steps[j].worth })
}
