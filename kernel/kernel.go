// Package kernel builds, runs and drains the parts of a host. Packages register
// their parts as plugins from init functions; a part looks up the values that
// other parts provide by type.
package kernel

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"sync"

	"github.com/joomcode/errorx"

	"nutmegfield.example/memory"
	"nutmegfield.example/settings"
	"nutmegfield.example/timeline"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("kernel")
	// NotProvided is returned when a part requires a value that no part built
	// before it provides.
	NotProvided = Errors.NewType("missing")
)

// Ranks of plugins: parts of a lower rank are built first and drained last.
const (
	RankPlatform = 10 * (iota + 1)
	RankConfiguration
	RankPeers
	RankTargets
	RankSchedulers
	RankRecords
	RankOrders
	RankEntry
	RankOperators
)

// Part is a component of a host. Run and Drain may be nil.
type Part struct {
	Name string
	// Run returns when the context ends. If it returns an error before that,
	// the host shuts down.
	Run func(ctx context.Context) error
	// Drain refuses new work and returns when running work has ended, or an
	// error when the context ends first.
	Drain func(ctx context.Context) error
}

// Plugin describes how to build a part and which hosts have it.
type Plugin struct {
	Name string
	Rank int
	// Role is the role of the hosts that have the part; empty means
	// settings.RoleEntry.
	Role string
	New  func(host *Host) (*Part, error)
}

var plugins []Plugin

// Register adds a plugin. It must be called from an init function.
func Register(plugin Plugin) { plugins = append(plugins, plugin) }

// Host is one process of the system. Exported fields are set before Build.
type Host struct {
	Settings *settings.Settings
	Events   *timeline.Recorder
	Network  Network

	mutex  sync.Mutex
	values map[reflect.Type]any
	parts  []*Part
	// plan is what Memory returns.
	plan *memory.Plan
}

// Memory returns the division of the machine's memory among the parts. The first call sets the
// limit of the runtime's heap.
func (host *Host) Memory() *memory.Plan {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.plan == nil {
		settings := &host.Settings.Host
		host.plan = memory.NewPlan(int64(settings.Memory*(1<<20)), settings.Descriptors)
		host.plan.SetHeapLimit()
	}
	return host.plan
}

// Provide stores a value, by its type, for the parts that are built later. It
// replaces an earlier value of the same type.
func Provide[T any](host *Host, value *T) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.values == nil {
		host.values = map[reflect.Type]any{}
	}
	host.values[reflect.TypeFor[T]()] = value
}

// Require returns the value of a type that an earlier part provided, or a
// NotProvided error.
func Require[T any](host *Host) (*T, error) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	value, ok := host.values[reflect.TypeFor[T]()].(*T)
	if !ok {
		return nil, NotProvided.New("no part provides %s", reflect.TypeFor[T]())
	}
	return value, nil
}

// Build builds the registered parts of the host's role in order of rank. It
// stops at the first error.
func (host *Host) Build() error {
	ordered := append([]Plugin(nil), plugins...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Rank < ordered[j].Rank })
	for _, plugin := range ordered {
		if cmp.Or(plugin.Role, settings.RoleEntry) != cmp.Or(host.Settings.Host.Role, settings.RoleEntry) {
			continue
		}
		part, err := plugin.New(host)
		if err != nil {
			return fmt.Errorf("build %s: %w", plugin.Name, err)
		}
		if part.Name == "" {
			part.Name = plugin.Name
		}
		host.parts = append(host.parts, part)
	}
	return nil
}

// Run runs the parts until ctx ends or a part fails. It then drains them in
// reverse order while all of them keep running, and stops them. The drain is cut
// short when force ends or the drain limit of the settings has passed. Run
// returns the errors of the failed part and of the drain.
func (host *Host) Run(ctx, force context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	failed := make(chan error, len(host.parts))
	for _, part := range host.parts {
		if part.Run == nil {
			continue
		}
		group.Go(func() {
			if err := part.Run(runCtx); err != nil && runCtx.Err() == nil {
				failed <- fmt.Errorf("run %s: %w", part.Name, err)
			}
		})
	}
	var runErr error
	select {
	case <-ctx.Done():
	case runErr = <-failed:
	}
	drainCtx, cancel := context.WithTimeout(force, host.Settings.Drain.Limit)
	defer cancel()
	drainErr := host.drain(drainCtx)
	stop()
	group.Wait()
	return errors.Join(runErr, drainErr)
}

func (host *Host) drain(ctx context.Context) error {
	var errs []error
	for i := len(host.parts) - 1; i >= 0; i-- {
		part := host.parts[i]
		if part.Drain == nil {
			continue
		}
		if err := part.Drain(ctx); err != nil {
			errs = append(errs, fmt.Errorf("drain %s: %w", part.Name, err))
		}
	}
	return errors.Join(errs...)
}
