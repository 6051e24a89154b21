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

// server is a target that keeps the orders it got.
type server struct {
	mutex  sync.Mutex
	state  protocol.State
	fenced bool
	got    []protocol.Order
	at     []time.Time
	// lose is how many of the next orders take no effect and fail.
	lose int
}

var errLost = errors.New("no answer")

func (server *server) order(_ context.Context, order protocol.Order) error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.fenced && order.Fence < server.state.Fence {
		return errors.New("old fencing number")
	}
	server.state.Fence = max(server.state.Fence, order.Fence)
	server.got = append(server.got, order)
	server.at = append(server.at, time.Now())
	if server.lose > 0 {
		server.lose--
		return errLost
	}
	server.act(order)
	return nil
}

func (server *server) act(order protocol.Order) {
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

// client speaks to the servers by address.
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

// script is one file of testdata.
type script struct {
	Loads   profile.WeightLoads
	Waiting map[string]int
	// Seconds is how long the keeper works.
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
	configuration.Limits.WeightLoads = script.Loads
	for _, described := range script.Targets {
		servers[described.Name] = &server{
			fenced: described.Fenced, lose: described.Lose,
			state: protocol.State{Role: described.Found.Role, Models: described.Found.Models, Adapters: described.Found.Adapters},
		}
		configuration.Pools = append(configuration.Pools, profile.Pool{Name: described.Pool, Targets: []profile.Target{{
			Name: described.Name, Zone: "a", Address: described.Name, Fenced: described.Fenced, Wanted: described.Wanted,
		}}})
	}
	store := &profile.Store{}
	store.ApplyIfNewer(profile.NewSnapshot(1, configuration))
	return store
}

// TestKeeper runs testdata/*.txtar: targets with what they have and should
// have, and the orders they get, each with its second.
func TestKeeper(t *testing.T) {
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

func runScript(script *script) string {
	servers := map[string]*server{}
	begun := time.Now()
	keeper := &order.Keeper{
		Zone: "a", Store: script.store(servers), Settled: 20 * time.Second,
		Check:   func() (int64, error) { return 7, nil },
		Client:  func(string) *protocol.Client { return client(servers) },
		Waiting: func(pool string) int { return script.Waiting[pool] },
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(script.Seconds)*time.Second)
	defer cancel()
	_ = keeper.Run(ctx)
	var text strings.Builder
	for _, described := range script.Targets {
		server := servers[described.Name]
		for i, got := range server.got {
			fmt.Fprintf(&text, "%s %.0fs %s %s%s%s%s fence %d\n", described.Name, server.at[i].Sub(begun).Seconds(),
				got.Action, got.Model, got.Adapter, got.Version, got.Role, got.Fence)
		}
	}
	return text.String()
}

// TestFrozenHolderGivesNoOrderPastItsLease freezes the holder between its look
// at the targets and its next order, while another host takes the lease.
func TestFrozenHolderGivesNoOrderPastItsLease(t *testing.T) {
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
				for _, got := range servers["t1"].got {
					c.Check(got.Fence >= last, qt.IsTrue, qt.Commentf("%+v", servers["t1"].got))
					last = got.Fence
				}
				c.Check(servers["t1"].state.Models, qt.DeepEquals, []string{"boots"})
			})
		})
	}
}

// holder is a host that may hold the lease of its zone.
type holder struct {
	lease  *objects.Lease
	keeper *order.Keeper
	mutex  sync.Mutex
	until  time.Time
}

// freeze stops everything that the host does until the time has passed.
func (holder *holder) freeze(span time.Duration) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.until = time.Now().Add(span)
}

func (holder *holder) pause() {
	holder.mutex.Lock()
	until := holder.until
	holder.mutex.Unlock()
	time.Sleep(time.Until(until))
}

func newHolder(shared *standin.Platform, servers map[string]*server, id string, fenced bool) *holder {
	holder := &holder{}
	api := shared.API()
	get, put := api.Get, api.Put
	api.Get = func(ctx context.Context, kind, name string) (objects.Object, error) {
		holder.pause()
		return get(ctx, kind, name)
	}
	api.Put = func(ctx context.Context, object objects.Object) (int64, error) {
		holder.pause()
		return put(ctx, object)
	}
	holder.lease = &objects.Lease{
		API: api, Name: "orders-a", Zone: "a", Holder: id,
		Term: objects.LeaseTerm, Margin: objects.LeaseMargin, Wanted: func() bool { return true },
	}
	speak := client(servers)
	look := speak.State
	speak.State = func(ctx context.Context, address string) (protocol.State, error) {
		state, err := look(ctx, address)
		holder.pause()
		return state, err
	}
	described := profile.Target{Name: "t1", Zone: "a", Address: "t1", Fenced: fenced, Wanted: profile.Wanted{Models: []string{"boots"}}}
	store := &profile.Store{}
	var configuration profile.Configuration
	configuration.Limits.WeightLoads = profile.WeightLoads{Interval: time.Second, Burst: 1}
	configuration.Pools = []profile.Pool{{Name: "design", Targets: []profile.Target{described}}}
	store.ApplyIfNewer(profile.NewSnapshot(1, configuration))
	holder.keeper = &order.Keeper{
		Zone: "a", Store: store, Check: holder.lease.Check, Settled: objects.LeaseTerm + 10*time.Second,
		Client: func(string) *protocol.Client { return speak }, Waiting: func(string) int { return 0 },
	}
	return holder
}

func (holder *holder) run(ctx context.Context, group *sync.WaitGroup) {
	group.Go(func() { _ = holder.lease.Run(ctx) })
	group.Go(func() { _ = holder.keeper.Run(ctx) })
}
