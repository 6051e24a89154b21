// Package order brings the targets of a zone to the state that is configured
// for them: loaded models, adapters and versions, and roles. One host of the
// zone sends the orders, under a lease with a fencing number.
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

// step is an order for a target, with its priority.
type step struct {
	target *profile.Target
	pool   string
	order  protocol.Order
	// priority is the number of requests that wait for the pool, or -1 for an
	// order to unload. Steps with a higher priority are sent first.
	priority int
}

// ordersFor returns the orders that bring a target from its present state to
// the wanted one: first the role, then loads, then unloads.
func ordersFor(target *profile.Target, state protocol.State) []protocol.Order {
	wanted := target.Wanted
	var orders []protocol.Order
	if wanted.Role != "" && wanted.Role != state.Role {
		orders = append(orders, protocol.Order{Action: actionRole, Role: wanted.Role})
	}
	for _, model := range wanted.Models {
		if !slices.Contains(state.Models, model) {
			orders = append(orders, loadModel(model))
		}
	}
	for _, adapter := range wanted.Adapters {
		if !slices.Contains(state.Adapters, adapter) {
			orders = append(orders, protocol.Order{Action: actionLoad, Adapter: adapter})
		}
	}
	return append(orders, unloadOrders(&wanted, state)...)
}

// unloadOrders returns the orders that unload models and adapters that are not
// wanted. If no model is wanted at all, none is unloaded; the same holds for
// adapters.
func unloadOrders(wanted *profile.Wanted, state protocol.State) []protocol.Order {
	var orders []protocol.Order
	for _, model := range state.Models {
		if len(wanted.Models) > 0 && !slices.Contains(wanted.Models, model) {
			name, version := profile.SplitVersion(model)
			orders = append(orders, protocol.Order{Action: actionUnload, Model: name, Version: version})
		}
	}
	for _, adapter := range state.Adapters {
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

// sortByPriority sorts steps by descending priority. Steps of the same priority
// keep their order.
func sortByPriority(steps []step) {
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].priority > steps[j].priority })
}
