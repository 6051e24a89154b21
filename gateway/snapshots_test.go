package gateway

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/balance"
	"nutmegfield.example/discovery"
	"nutmegfield.example/exchange"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/quarantine"
	"nutmegfield.example/quota"
	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
)

// TestOlderRoutesDenyNothing guards against requests that a host denies by the routes of a
// platform that came back from an older copy, while another host has newer ones.
func TestOlderRoutesDenyNothing(t *testing.T) {
	c := qt.New(t)
	events := &timeline.Recorder{}
	host := &host{}
	host.routes = &discovery.Routes{
		Name: "main", Events: events, OnChange: func(*route.Table) {},
		Decode: func(value []byte) (*route.Configuration, error) {
			return &route.Configuration{Version: int64(value[0] - '0')}, nil
		},
	}
	host.routeFollower = &discovery.Follower{
		Events: events, Outage: &discovery.Outage{}, OnChange: host.routes.Apply,
		Source: discovery.Source{List: func(context.Context) (discovery.Listing, error) {
			return discovery.Listing{Revision: 1, Objects: []discovery.Object{{Name: "main", Revision: 1, Value: []byte("3")}}}, nil
		}},
	}
	host.targetFollower = &discovery.Follower{OnChange: func(discovery.State) {}}
	host.exchange = &exchange.Exchange{
		Host: "a", Address: "a", Events: events, Balancer: &balance.Balancer{}, Ledger: &quota.Ledger{},
		Suspects: &quarantine.Suspects{}, Versions: host.objectVersions, OnVerified: host.confirmVersion, OnNewerVersion: func(string) {},
	}
	host.exchange.Ledger.Interval = host.exchange.Interval
	c.Assert(host.refreshRoutes(t.Context()), qt.IsNil)
	c.Assert(host.routes.Version(), qt.Equals, int64(3))

	report, err := proto.Marshal(&exchangepb.Report{Host: "b", Address: "b", Life: 1, Sequence: 1, Configuration: 5})
	c.Assert(err, qt.IsNil)
	host.exchange.Receive(report)
	c.Assert(host.refreshRoutes(t.Context()), qt.ErrorMatches, ".*another host has version 5")
	host.applySnapshot(0, &exchangepb.Snapshot{Version: 1, Configuration: []byte("5")})
	c.Assert(host.refreshRoutes(t.Context()), qt.IsNil)
	c.Assert(host.routes.Version(), qt.Equals, int64(5))

	// It gives others what is in force, not what the platform has.
	snapshot := host.buildSnapshot(&exchangepb.SnapshotRequest{RoutesVersion: 3})
	c.Assert(string(snapshot.GetConfiguration()), qt.Equals, "5")
	c.Assert(host.buildSnapshot(&exchangepb.SnapshotRequest{RoutesVersion: 5}).GetConfiguration(), qt.HasLen, 0)
	c.Assert(time.Since(host.routeFollower.VerifiedAt()) < time.Minute, qt.IsTrue)
}

// TestUnreadableEntriesInSnapshots guards against an entry in another host's snapshot that
// keeps the others from being applied, whose target is used further, or that no snapshot can
// be made of.
func TestUnreadableEntriesInSnapshots(t *testing.T) {
	c := qt.New(t)
	var known []string
	newTestHost := func() *host {
		host := &host{routes: &discovery.Routes{Name: "main"}, routeFollower: &discovery.Follower{}}
		host.targets = &discovery.Targets{
			Events: &timeline.Recorder{},
			Decode: func(name string, value []byte) (balance.Target, error) {
				if string(value) != "good" {
					return balance.Target{}, errors.New("odd")
				}
				return balance.Target{ID: name, Address: name}, nil
			},
			OnChange: func(targets []balance.Target) {
				known = nil
				for _, target := range targets {
					known = append(known, target.ID)
				}
				slices.Sort(known)
			},
		}
		host.targetFollower = &discovery.Follower{OnChange: host.targets.Apply}
		return host
	}
	first := newTestHost()
	entry := func(name, value string, revision int64) *exchangepb.TargetEntry {
		return &exchangepb.TargetEntry{Name: name, Value: []byte(value), Revision: revision}
	}
	first.applySnapshot(0, &exchangepb.Snapshot{
		Revision: 4, Names: []string{"a", "b", "c", "d", "e"},
		Targets: []*exchangepb.TargetEntry{entry("a", "good", 1), entry("b", "good", 2), entry("c", "good", 3), entry("d", "good", 3), entry("e", "good", 4)},
	})
	c.Assert(known, qt.DeepEquals, []string{"a", "b", "c", "d", "e"})
	long := strings.Repeat("n", 1<<20)
	first.applySnapshot(4, &exchangepb.Snapshot{
		Revision: 9, Names: []string{"a", "b", "c", "d", "e", "f", long},
		Targets: []*exchangepb.TargetEntry{
			entry("b", "", 5), entry("c", strings.Repeat("[", 1<<20), 6), entry("d", "good", -1), entry("e", "good", 1<<62),
			entry(long, "good", 7), entry("\n", "good", 7), entry("f", "good", 8),
		},
	})
	c.Assert(known, qt.DeepEquals, []string{"a", "f"})

	// What the host passes on says the same, and has nothing of the odd values.
	passed := first.buildSnapshot(&exchangepb.SnapshotRequest{Targets: 4})
	encoded, err := proto.Marshal(passed)
	c.Assert(err, qt.IsNil)
	c.Assert(len(encoded) < 1000, qt.IsTrue)
	second := newTestHost()
	second.applySnapshot(0, &exchangepb.Snapshot{
		Revision: 4, Names: []string{"a", "b", "c"}, Targets: []*exchangepb.TargetEntry{entry("a", "good", 1), entry("b", "good", 2), entry("c", "good", 3)},
	})
	second.applySnapshot(4, passed)
	c.Assert(known, qt.DeepEquals, []string{"a", "f"})
	second.applySnapshot(9, &exchangepb.Snapshot{
		Revision: 10, Names: []string{"a", "b", "f"}, Targets: []*exchangepb.TargetEntry{entry("b", "good", 10)},
	})
	c.Assert(known, qt.DeepEquals, []string{"a", "b", "f"})
}
