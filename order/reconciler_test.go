package order_test

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"
	"go.yaml.in/yaml/v3"

	"nutmegfield.example/objects"
	"nutmegfield.example/order"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/standin"
)

// server is a target that records its orders.
type server struct {
	mutex      sync.Mutex
	state      protocol.State
	fenced     bool
	orders     []protocol.Order
	receivedAt []time.Time
	// loseNext is how many of the next orders fail without effect.
	loseNext int
}

var errLost = errors.New("no answer")

func (server *server) order(_ context.Context, order protocol.Order) error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.fenced && order.FencingNumber < server.state.FencingNumber {
		return errors.New("old fencing number")
	}
	server.state.FencingNumber = max(server.state.FencingNumber, order.FencingNumber)
	server.orders = append(server.orders, order)
	server.receivedAt = append(server.receivedAt, time.Now())
	if server.loseNext > 0 {
		server.loseNext--
		return errLost
	}
	server.apply(order)
	return nil
}

func (server *server) apply(order protocol.Order) {
	model := order.Model
	if order.Version != "" {
		model += "@" + order.Version
	}
	switch {
	case order.Action == "role":
		server.state.Role = order.Role
	case order.Action == "load" && order.Adapter != "":
		server.state.Adapters = append(server.state.Adapters, order.Adapter)
	case order.Action == "load":
		server.state.Models = append(server.state.Models, model)
	case order.Adapter != "":
		server.state.Adapters = slices.DeleteFunc(server.state.Adapters, func(name string) bool { return name == order.Adapter })
	default:
		server.state.Models = slices.DeleteFunc(server.state.Models, func(name string) bool { return name == model })
	}
}

// client returns a client that finds the servers by address.
func client(servers map[string]*server) *protocol.Client {
	return &protocol.Client{
		Order: func(ctx context.Context, address string, order protocol.Order) error {
			return servers[address].order(ctx, order)
		},
		State: func(_ context.Context, address string) (protocol.State, error) {
			server := servers[address]
			server.mutex.Lock()
			defer server.mutex.Unlock()
			return server.state, nil
		},
	}
}

// script is the input in a testdata file.
type script struct {
	Loads   profile.WeightLoadLimit
	Waiting map[string]int
	// Seconds is how long the reconciler runs.
	Seconds int
	Targets []struct {
		Name   string
		Pool   string
		Fenced bool
		Wanted profile.Wanted
		Found  profile.Wanted
		Lose   int
	}
}

func (script *script) store(servers map[string]*server) *profile.Store {
	var configuration profile.Configuration
	configuration.Limits.WeightLoadLimit = script.Loads
	for _, target := range script.Targets {
		servers[target.Name] = &server{
			fenced: target.Fenced, loseNext: target.Lose,
			state: protocol.State{Role: target.Found.Role, Models: target.Found.Models, Adapters: target.Found.Adapters},
		}
		configuration.Pools = append(configuration.Pools, profile.Pool{Name: target.Pool, Targets: []profile.Target{{
			Name: target.Name, Zone: "a", Address: target.Name, Fenced: target.Fenced, Wanted: target.Wanted,
		}}})
	}
	store := &profile.Store{}
	store.ApplyIfNewer(profile.NewSnapshot(1, configuration))
	return store
}

// TestReconciler runs testdata/*.txtar: targets with their present and wanted
// states, and the orders that they get, each with its time in seconds.
func TestReconciler(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				archive, err := txtar.ParseFile(file)
				c.Assert(err, qt.IsNil)
				var script script
				c.Assert(yaml.Unmarshal(archive.Files[0].Data, &script), qt.IsNil)
				c.Assert(runScript(&script), qt.Equals, string(archive.Files[1].Data))
			})
		})
	}
}

// runScript runs a reconciler and returns the orders that each target received,
// with their times in seconds since the start.
func runScript(script *script) string {
	servers := map[string]*server{}
	startedAt := time.Now()
	reconciler := &order.Reconciler{
		Zone: "a", Store: script.store(servers), SettlePeriod: 20 * time.Second,
		CheckLease:      func() (int64, error) { return 7, nil },
		Client:          func(string) *protocol.Client { return client(servers) },
		WaitingRequests: func(pool string) int { return script.Waiting[pool] },
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(script.Seconds)*time.Second)
	defer cancel()
	_ = reconciler.Run(ctx)
	var text strings.Builder
	for _, target := range script.Targets {
		server := servers[target.Name]
		for i, got := range server.orders {
			fmt.Fprintf(&text, "%s %.0fs %s %s%s%s%s fence %d\n", target.Name, server.receivedAt[i].Sub(startedAt).Seconds(),
				got.Action, got.Model, got.Adapter, got.Version, got.Role, got.FencingNumber)
		}
	}
	return text.String()
}

// A lease holder that freezes between reading a target's state and its next
// order, while another host takes the lease, must not send that order.
func TestFrozenHolderSendsNoOrderPastItsLease(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced=", fenced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				shared := &standin.Platform{}
				servers := map[string]*server{"t1": {fenced: fenced}}
				frozen := newHolder(shared, servers, "a1", fenced)
				other := newHolder(shared, servers, "a2", fenced)
				ctx, cancel := context.WithCancel(context.Background())
				var group sync.WaitGroup
				frozen.run(ctx, &group)
				time.Sleep(8 * time.Second)
				frozen.freeze(2 * time.Minute)
				other.run(ctx, &group)
				time.Sleep(5 * time.Minute)
				cancel()
				group.Wait()
				var last int64
				for _, got := range servers["t1"].orders {
					c.Check(got.FencingNumber >= last, qt.IsTrue, qt.Commentf("%+v", servers["t1"].orders))
					last = got.FencingNumber
				}
				c.Check(servers["t1"].state.Models, qt.DeepEquals, []string{"boots"})
			})
		})
	}
}

// holder is a host that may hold the lease of its zone.
type holder struct {
	lease       *objects.Lease
	reconciler  *order.Reconciler
	mutex       sync.Mutex
	frozenUntil time.Time
}

// freeze blocks the host's calls for the given time.
func (holder *holder) freeze(span time.Duration) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.frozenUntil = time.Now().Add(span)
}

func (holder *holder) waitWhileFrozen() {
	holder.mutex.Lock()
	until := holder.frozenUntil
	holder.mutex.Unlock()
	time.Sleep(time.Until(until))
}

func newHolder(shared *standin.Platform, servers map[string]*server, id string, fenced bool) *holder {
	holder := &holder{}
	api := shared.API()
	get, put := api.Get, api.Put
	api.Get = func(ctx context.Context, kind, name string) (objects.Object, error) {
		holder.waitWhileFrozen()
		return get(ctx, kind, name)
	}
	api.Put = func(ctx context.Context, object objects.Object) (int64, error) {
		holder.waitWhileFrozen()
		return put(ctx, object)
	}
	holder.lease = &objects.Lease{
		API: api, Name: "orders-a", Zone: "a", Holder: id,
		Term: objects.LeaseTerm, Margin: objects.LeaseMargin, Wanted: func() bool { return true },
	}
	client := client(servers)
	getState := client.State
	client.State = func(ctx context.Context, address string) (protocol.State, error) {
		state, err := getState(ctx, address)
		holder.waitWhileFrozen()
		return state, err
	}
	target := profile.Target{Name: "t1", Zone: "a", Address: "t1", Fenced: fenced, Wanted: profile.Wanted{Models: []string{"boots"}}}
	store := &profile.Store{}
	var configuration profile.Configuration
	configuration.Limits.WeightLoadLimit = profile.WeightLoadLimit{Interval: time.Second, Burst: 1}
	configuration.Pools = []profile.Pool{{Name: "design", Targets: []profile.Target{target}}}
	store.ApplyIfNewer(profile.NewSnapshot(1, configuration))
	holder.reconciler = &order.Reconciler{
		Zone: "a", Store: store, CheckLease: holder.lease.Check, SettlePeriod: objects.LeaseTerm + 10*time.Second,
		Client: func(string) *protocol.Client { return client }, WaitingRequests: func(string) int { return 0 },
	}
	return holder
}

func (holder *holder) run(ctx context.Context, group *sync.WaitGroup) {
	group.Go(func() { _ = holder.lease.Run(ctx) })
	group.Go(func() { _ = holder.reconciler.Run(ctx) })
}
