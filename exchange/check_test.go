package exchange

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/balance"
	"nutmegfield.example/discovery"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/limit"
	"nutmegfield.example/origin"
	"nutmegfield.example/quota"
	"nutmegfield.example/timeline"
)

// newReceiver returns a host that receives datagrams and sends none. It has a target "t" and
// a workspace "w".
func newReceiver() *Exchange {
	host := &Exchange{
		Host: "a", Incarnation: 1, Address: "a", Zone: "z", Link: 10, Events: &timeline.Recorder{},
		Send: func(string, []byte) {}, Versions: func() Versions { return Versions{Configuration: 1} },
		Balancer: &balance.Balancer{}, Suspects: newSuspects(), OnVerified: func(int64, discovery.Verification) {}, OnNewerVersion: func(string) {},
	}
	host.Ledger = &quota.Ledger{Interval: host.Interval}
	host.Ledger.SetLimits(map[string]quota.Limit{"w": {Rate: 1, Burst: 100}})
	host.Limiter = &limit.Limiter{Address: "a", Members: host.Members, Events: host.Events, OnUpdate: func() {}}
	host.Origins = &origin.Origins{Members: func() []string { return nil }, Known: host.KnownPeers, Send: host.SendOrigins, Events: host.Events}
	host.Balancer.SetTargets([]balance.Target{{ID: "t", Pool: "p", Address: "10.0.0.1:1", Slots: 10}}, nil)
	return host
}

// TestAbsurdReports guards against parts of another host's report that disturb this one, or
// for which the rest of the report is not applied.
func TestAbsurdReports(t *testing.T) {
	// Levels sink as time passes.
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := newReceiver()
		newer, free := 0, host.Balancer.Status("p").FreeSlots
		host.OnNewerVersion = func(string) { newer++ }
		long := strings.Repeat("n", 1<<10)
		receive := func(sequence uint64, report *exchangepb.Report) {
			report.Host, report.Address, report.Zone, report.Life, report.Sequence = "b", "b", "z", 1, sequence
			encoded, err := encode(report)
			c.Assert(err, qt.IsNil)
			host.Receive(encoded)
		}
		uses := []*exchangepb.Use{{Target: "t", Open: math.MaxUint32}, {Target: long, Open: 1}, {Target: "t", Open: 3}, {Target: "t", Backlog: math.MaxUint32}}
		receive(1, &exchangepb.Report{
			Configuration: math.MaxInt64, Targets: math.MinInt64, Link: math.MaxUint32, Uses: uses, Peers: []string{"c", long},
			Queues: []*exchangepb.Queue{
				{Pool: "p", Waiting: make([]uint32, 1<<16)}, {Pool: "p", Waiting: []uint32{math.MaxUint32}}, {Pool: long}, {Pool: "p", Waiting: []uint32{0, 2}},
			},
			Spends: []*exchangepb.Spend{{Workspace: "w", Total: math.NaN(), Level: 50}, {Workspace: "w", Level: math.Inf(-1)}, {Workspace: "w", Level: 40}},
		})
		status := host.Balancer.Status("p")
		c.Check(status.FreeSlots, qt.Equals, free-3)
		c.Check(status.OthersWaiting, qt.Equals, 2)
		c.Check(host.Ledger.Take("w", 1).Level, qt.Equals, 40.0)
		c.Check(newer, qt.Equals, 0)
		c.Check(host.Leads(1), qt.IsTrue)
		c.Check(host.KnownPeers(), qt.Equals, 2)

		// Another zone's summary.
		receive(2, &exchangepb.Report{
			Summaries: []*exchangepb.Summary{{Maker: long}, {
				Zone: "y", Maker: "y1", Life: 1, Sequence: 1, Targets: []string{"t", long, "t", "t"}, Open: []uint32{math.MaxUint32, 1, 2}, Backlog: []uint32{1, 1, 1, 1},
				Queues: []*exchangepb.Queue{{Pool: "p", Waiting: make([]uint32, 1<<16)}, {Pool: "p", Waiting: []uint32{5}}}, Workspaces: []string{"w", long},
				Members: []*exchangepb.Member{
					{Host: long, Address: "y0"},
					{
						Host: "y1", Address: "y1", Life: 1, Sequence: 1, Link: math.MaxUint32, Workspaces: []uint32{0, 0, 1, math.MaxUint32, 0},
						Totals: []float64{math.NaN(), 5, 6, 7}, Levels: []float64{1, 2, 3, 4},
					},
				},
			}},
		})
		status = host.Balancer.Status("p")
		c.Check(status.FreeSlots, qt.Equals, free-2)
		c.Check(status.OthersWaiting, qt.Equals, 5)
		c.Check(host.KnownPeers(), qt.Equals, 3)
		level := host.Ledger.Take("w", 1).Level
		c.Check(level > 30 && level < 40, qt.IsTrue, qt.Commentf("%v", level))

		// Pools of which there is no end.
		for i := range 3000 {
			receive(uint64(3+i), &exchangepb.Report{Queues: []*exchangepb.Queue{{Pool: strconv.Itoa(i), Waiting: []uint32{1}}}})
		}
		c.Check(host.Balancer.Status("p").OthersWaiting, qt.Equals, 5)
		c.Check(host.Balancer.Status("2999").OthersWaiting, qt.Equals, 0)

		// A sender that can't be read, and one that would never be heard again.
		for _, report := range []*exchangepb.Report{
			{Host: long, Address: "x"}, {Host: "x", Address: long}, {Host: "x", Address: "x", Zone: "\x00"}, {Host: "x", Address: "x", Life: math.MaxUint64},
			{Host: "x", Address: "x", Life: 1, Sequence: math.MaxUint64},
		} {
			encoded, err := proto.Marshal(report)
			c.Assert(err, qt.IsNil)
			host.Receive(encoded)
		}
		c.Check(host.KnownPeers(), qt.Equals, 3)
		count := 0
		for _, event := range host.Events.Events() {
			if event.Number == 8113 {
				count++
			}
		}
		c.Check(count, qt.Equals, 3, qt.Commentf("one for each address"))
	})
}

// FuzzReceive checks that no datagram of a host disturbs this one.
func FuzzReceive(f *testing.F) {
	report := &exchangepb.Report{
		Host: "b", Address: "b", Zone: "z", Life: 1, Sequence: 2, Uses: []*exchangepb.Use{{Target: "t", Open: 3, Backlog: 7}},
		Queues: []*exchangepb.Queue{{Pool: "p", Waiting: []uint32{1, 2}}}, Spends: []*exchangepb.Spend{{Workspace: "w", Total: 3, Level: 4}},
		Speeds: []*exchangepb.Speed{{Target: "t", PerToken: 5, EventInterval: 6}}, Brittle: []*exchangepb.BrittlePool{{Pool: "p", Limit: 3}},
		LeavingTargets: []*exchangepb.LeavingTarget{{Target: "t", StartedMs: 1}}, Peers: []string{"c"}, Unreached: []string{"p"},
	}
	plain, err := encode(report)
	qt.Assert(f, err, qt.IsNil)
	f.Add(plain)
	report.Summaries = []*exchangepb.Summary{{
		Zone: "y", Maker: "y1", Life: 1, Sequence: 1, Targets: []string{"t"}, Open: []uint32{1}, Backlog: []uint32{2}, Workspaces: []string{"w"},
		Members: []*exchangepb.Member{{Host: "y1", Address: "y1", Life: 1, Sequence: 1, Workspaces: []uint32{0}, Totals: []float64{1}, Levels: []float64{2}}},
	}}
	summarised, err := proto.Marshal(report)
	qt.Assert(f, err, qt.IsNil)
	f.Add(summarised)
	for marker, message := range map[byte]proto.Message{
		suspicionsMarker: &exchangepb.Suspicions{Address: "b", Suspects: []*exchangepb.Suspect{{Content: 1, Targets: []uint32{1}, Ages: []uint32{2}}}},
		limitsMarker: &exchangepb.Limits{
			Address: "b", Asks: []*exchangepb.LimitAsk{{News: &exchangepb.LimitNews{Target: 1, Rate: 2}, Wanted: 1}}, Grants: []*exchangepb.LimitGrant{{Target: 1, Permits: 1}},
		},
		originsMarker: &exchangepb.Origins{Address: "b", Beginnings: []*exchangepb.Beginning{{Stream: 1, Version: 2}}, Questions: []*exchangepb.OriginQuestion{{Stream: 1, Pool: "p"}}},
	} {
		datagram, err := proto.MarshalOptions{}.MarshalAppend([]byte{marker}, message)
		qt.Assert(f, err, qt.IsNil)
		f.Add(datagram)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		c := qt.New(t)
		host := newReceiver()
		// Only what live hosts send is looked at in some kinds of datagrams.
		alive, err := proto.Marshal(&exchangepb.Report{Host: "b", Address: "b", Zone: "z", Life: 1, Sequence: 1})
		c.Assert(err, qt.IsNil)
		host.Receive(alive)
		host.Receive(datagram)
		status := host.Balancer.Status("p")
		c.Check(status.FreeSlots >= 0 && status.OthersWaiting >= 0, qt.IsTrue, qt.Commentf("%+v", status))
		level := host.Ledger.Take("w", 1).Level
		c.Check(level >= -maxReceivedUnits && level <= 100, qt.IsTrue, qt.Commentf("%v", level))
		host.sendReports()
		for _, datagram := range [][]byte{alive, datagram} {
			host.Receive(datagram)
		}
	})
}
