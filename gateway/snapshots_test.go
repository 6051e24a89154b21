package gateway

import (
	"context"
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
