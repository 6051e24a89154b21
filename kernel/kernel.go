// Package kernel starts and drains the parts of a host. Parts register
// themselves from init functions; a part gets the others' values by type.
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

	"nutmegfield.example/settings"
	"nutmegfield.example/timeline"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("kernel")
	// NotProvided is returned when a part needs a value that no earlier part
	// provided.
	NotProvided = Errors.NewType("missing")
)

// Ranks order the parts: lower ones start first and drain last.
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

// Part is one running piece of a host. Nil functions are skipped.
type Part struct {
	Name string
	// Run works until the context ends. An error before that stops the host.
	Run func(ctx context.Context) error
	// Drain stops taking new work and returns when running work has ended,
	// or with an error at the end of the context.
	Drain func(ctx context.Context) error
}

// Plugin is a registered constructor of a part.
type Plugin struct {
	Name string
	Rank int
	// Role is the role of the hosts that have the part, entry if empty.
	Role string
	New  func(host *Host) (*Part, error)
}

var plugins []Plugin

// Register adds a plugin; packages call it from init.
func Register(plugin Plugin) { plugins = append(plugins, plugin) }

// Host is one process of the system.
type Host struct {
	Settings *settings.Settings
	Events   *timeline.Recorder
	Network  Network

	mutex  sync.Mutex
	values map[reflect.Type]any
	parts  []*Part
}

// Provide makes a value known to the parts that are built later.
func Provide[T any](host *Host, value *T) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.values == nil {
		host.values = map[reflect.Type]any{}
	}
	host.values[reflect.TypeFor[T]()] = value
}

// Require returns a value that an earlier part provided.
func Require[T any](host *Host) (*T, error) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	value, ok := host.values[reflect.TypeFor[T]()].(*T)
	if !ok {
		return nil, NotProvided.New("no part provides %s", reflect.TypeFor[T]())
	}
	return value, nil
}

// Build constructs every registered part of the host's role in order of rank.
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

// Run starts every part and waits. When ctx ends, or a part fails, it drains
// the parts, the last first, within what force and the drain limit allow,
// while all of them go on running. Then it stops them.
func (host *Host) Run(ctx, force context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	failed := make(chan error, len(host.parts))
	for _, part := range host.parts {
		if part.Run == nil {
			continue
		}
		group.Go(func() {
			if err := part.Run(running); err != nil && running.Err() == nil {
				failed <- fmt.Errorf("run %s: %w", part.Name, err)
			}
		})
	}
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failed:
	}
	limited, cancel := context.WithTimeout(force, host.Settings.Drain.Limit)
	defer cancel()
	drained := host.drain(limited)
	stop()
	group.Wait()
	return errors.Join(failure, drained)
}

func (host *Host) drain(force context.Context) error {
	var faults []error
	for i := len(host.parts) - 1; i >= 0; i-- {
		part := host.parts[i]
		if part.Drain == nil {
			continue
		}
		if err := part.Drain(force); err != nil {
			faults = append(faults, fmt.Errorf("drain %s: %w", part.Name, err))
		}
	}
	return errors.Join(faults...)
}
