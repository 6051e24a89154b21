package route

import (
	"net"
	"sort"
	"strings"
)

// Table looks up the route of a request and the workspace of a key. It is
// immutable.
type Table struct {
	Configuration *Configuration

	routesByHost     map[string][]*Route
	workspacesByKey  map[string]*Workspace
	workspacesByName map[string]*Workspace
	poolsByName      map[string]*Pool
}

// NewTable builds the lookup table of a configuration.
func NewTable(configuration *Configuration) *Table {
	table := &Table{
		Configuration:    configuration,
		routesByHost:     map[string][]*Route{},
		workspacesByKey:  map[string]*Workspace{},
		workspacesByName: map[string]*Workspace{},
		poolsByName:      map[string]*Pool{},
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		host := strings.ToLower(route.Host)
		table.routesByHost[host] = append(table.routesByHost[host], route)
	}
	for _, routes := range table.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range configuration.Workspaces {
		workspace := &configuration.Workspaces[i]
		table.workspacesByName[workspace.Name] = workspace
		for _, key := range workspace.Keys {
			table.workspacesByKey[key] = workspace
		}
	}
	for i := range configuration.Pools {
		table.poolsByName[configuration.Pools[i].Name] = &configuration.Pools[i]
	}
	return table
}

// Find returns the route with the longest prefix that matches the path, or nil
// if none does.
func (table *Table) Find(host, path string) *Route {
	for _, route := range table.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// hostName returns a Host header in lower case, without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// RequiresKey reports whether requests need a key: they do if the configuration
// has workspaces.
func (table *Table) RequiresKey() bool { return len(table.workspacesByName) > 0 }

// WorkspaceByKey returns the workspace of a key, or nil if there is none.
func (table *Table) WorkspaceByKey(key string) *Workspace { return table.workspacesByKey[key] }

// Workspace returns a workspace by name, or nil if there is none.
func (table *Table) Workspace(name string) *Workspace { return table.workspacesByName[name] }

// Pool returns a pool by name, or nil if there is none.
func (table *Table) Pool(name string) *Pool { return table.poolsByName[name] }

// ChoosePool returns the name of the pool for a random number in [0, 1), by
// weight. It returns the last pool if all weights are 0, and "" if there are none.
func (route *Route) ChoosePool(random float64) string {
	total := 0
	for _, weightedPool := range route.Pools {
		total += max(0, weightedPool.Weight)
	}
	remaining := random * float64(total)
	for _, weightedPool := range route.Pools {
		remaining -= float64(max(0, weightedPool.Weight))
		if remaining < 0 {
			return weightedPool.Pool
		}
	}
	if len(route.Pools) == 0 {
		return ""
	}
	return route.Pools[len(route.Pools)-1].Pool
}
