package exchange

import (
	"context"
	"flag"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/balance"
	"nutmegfield.example/exchange/rolloutspb"
	"nutmegfield.example/rollout"
)

var rolloutHosts = flag.Int("rolloutHosts", 24, "the number of hosts of TestRolloutReachesAllHosts")

// maxRolloutBytes is the number of bytes a second that a host may send for a rollout.
const maxRolloutBytes = 1500

// testMessage is a message with all fields.
func testMessage() *rollout.Message {
	bins := []rollout.Bin{{Bucket: 0, Count: 3}, {Bucket: 7, Count: 1}, {Bucket: rollout.Buckets - 1, Count: math.MaxUint32}}
	return &rollout.Message{
		Reports: []rollout.Report{{
			Rollout: 7, Incarnation: 8, Acknowledged: 9, Requests: 10, Sent: 11, RunningOld: 12,
			Cells: []rollout.Cell{{Key: rollout.Key{Route: 1, Target: 2, IsFar: true}, Answers: 5, Failures: 4, First: bins, Gap: bins[1:], Took: bins[:1]}},
		}},
		Decider: "10.0.0.1:7600",
		Instructions: []rollout.Instruction{{
			Rollout: 7, Pool: "p", Version: "v2", Sequence: 3, Stage: rollout.Moving, Share: 0.25, Age: time.Second, Duration: time.Minute,
			FocusIndex: 2, FocusCount: 3, Requests: 100, Sent: 10, Incarnation: 44, Answers: 9,
			Routes: []rollout.RouteInstruction{{Route: 1, Share: 0.5, Lead: time.Second, SlowAfter: 2 * time.Second}},
		}},
		Question:  77,
		Knowledge: &rollout.Knowledge{Revision: 5, Orders: []rollout.KnownOrder{{Pool: "p", Version: 3}}},
	}
}

// encodedMessage returns a datagram without its marker.
func encodedMessage(message *rollout.Message) []byte {
	var sent []byte
	host := &Exchange{Address: "a", Send: func(_ string, datagram []byte) { sent = datagram }}
	host.SendRollouts("b", message)
	return sent[1:]
}

// TestRolloutMessages checks that a message arrives as it was sent, and that one with numbers out
// of range, lists of unequal length or names that are none has no effect.
func TestRolloutMessages(t *testing.T) {
	c := qt.New(t)
	decode := func(encoded []byte) (*rollout.Message, string) {
		message := &rolloutspb.Message{}
		c.Assert(proto.Unmarshal(encoded, message), qt.IsNil)
		return decodeRollouts(message)
	}
	decoded, reason := decode(encodedMessage(testMessage()))
	c.Assert(reason, qt.Equals, "")
	c.Assert(decoded, qt.DeepEquals, testMessage())
	for name, spoil := range map[string]func(message *rolloutspb.Message){
		"share":       func(message *rolloutspb.Message) { message.Instructions[0].Share = float32(math.NaN()) },
		"shareAbove":  func(message *rolloutspb.Message) { message.Instructions[0].Share = 1.1 },
		"routeShare":  func(message *rolloutspb.Message) { message.Instructions[0].Routes[0].Share = float32(math.Inf(1)) },
		"stage":       func(message *rolloutspb.Message) { message.Instructions[0].Stage = 99 },
		"age":         func(message *rolloutspb.Message) { message.Instructions[0].AgeMs = math.MaxUint64 },
		"sequence":    func(message *rolloutspb.Message) { message.Instructions[0].Sequence = math.MaxUint64 },
		"focus":       func(message *rolloutspb.Message) { message.Instructions[0].FocusCount = math.MaxUint32 },
		"pool":        func(message *rolloutspb.Message) { message.Instructions[0].Pool = "" },
		"longVersion": func(message *rolloutspb.Message) { message.Instructions[0].Version = string(make([]byte, 1000)) },
		"noDecider":   func(message *rolloutspb.Message) { message.Decider = "" },
		"oddBins":     func(message *rolloutspb.Message) { message.Reports[0].Cells[0].First = []uint32{1} },
		"bucket":      func(message *rolloutspb.Message) { message.Reports[0].Cells[0].First = []uint32{rollout.Buckets, 1} },
		"overflow":    func(message *rolloutspb.Message) { message.Reports[0].Cells[0].Gap = []uint32{5, 1, math.MaxUint32, 1} },
		"sameBucket":  func(message *rolloutspb.Message) { message.Reports[0].Cells[0].Gap = []uint32{5, 1, 0, 1} },
		"failures":    func(message *rolloutspb.Message) { message.Reports[0].Cells[0].Failures = 6 },
		"running":     func(message *rolloutspb.Message) { message.Reports[0].RunningOld = math.MaxUint32 },
		"requests":    func(message *rolloutspb.Message) { message.Reports[0].Requests = math.MaxUint64 },
		"question":    func(message *rolloutspb.Message) { message.Question = -1 },
		"order":       func(message *rolloutspb.Message) { message.Knowledge.Orders[0].Pool = "\x00" },
		"manyReports": func(message *rolloutspb.Message) {
			message.Reports = make([]*rolloutspb.Report, maxReceivedRollouts+1)
		},
		"manyRoutes": func(message *rolloutspb.Message) {
			message.Instructions[0].Routes = make([]*rolloutspb.RouteInstruction, maxReceivedRoutes+1)
		},
	} {
		message := &rolloutspb.Message{}
		c.Assert(proto.Unmarshal(encodedMessage(testMessage()), message), qt.IsNil)
		spoil(message)
		_, reason := decodeRollouts(message)
		c.Check(reason, qt.Not(qt.Equals), "", qt.Commentf("%s", name))
	}
}

// FuzzRolloutMessage looks for datagrams that end the host.
func FuzzRolloutMessage(f *testing.F) {
	f.Add(encodedMessage(testMessage()))
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		message := &rolloutspb.Message{}
		if proto.Unmarshal(encoded, message) == nil {
			decodeRollouts(message)
		}
	})
}

// TestRolloutReachesAllHosts checks that all hosts hear the one that decides, in few bytes, that
// the next one takes its place when it is cut off, and that a host without rollouts, which comes
// first in the order, is passed over.
func TestRolloutReachesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		var mutex sync.Mutex
		bytes := 0
		var names []string
		for i := range *rolloutHosts {
			names = append(names, fmt.Sprintf("h%03d", i))
		}
		hosts := map[string]*Exchange{}
		seed := names[1]
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		t.Cleanup(group.Wait)
		t.Cleanup(cancel)
		for i, name := range names {
			hosts[name] = network.start(t, name, func(host *Exchange) {
				host.Zone = string(rune('a' + i%4))
				send := host.Send
				host.Send = func(address string, datagram []byte) {
					if datagram[0] == rolloutsMarker {
						mutex.Lock()
						bytes += len(datagram) + datagramOverhead
						mutex.Unlock()
					}
					send(address, datagram)
				}
				if i == 0 {
					return
				}
				host.Rollouts = newTestRollouts(host)
				group.Go(func() { _ = host.Rollouts.Run(ctx) })
			}, seed)
		}
		time.Sleep(5 * time.Second)
		c.Assert(hosts[names[5]].Order(), qt.DeepEquals, names)
		c.Assert(hosts[names[5]].IsQuorate(), qt.IsTrue)
		for _, name := range names[1:5] {
			// One host of each zone watches the platform.
			hosts[name].Rollouts.SetOrders([]rollout.Order{{Name: "p", Pool: "p", Version: "v2", Duration: time.Minute, Revision: 1}}, nil, 1)
		}
		expectDecider := func(decider string, except ...string) {
			t.Helper()
			for _, name := range names[1:] {
				statuses := hosts[name].Rollouts.Statuses()
				if len(except) > 0 && name == except[0] {
					continue
				}
				c.Assert(statuses, qt.HasLen, 1, qt.Commentf("%s", name))
				c.Assert(statuses[0].Decider, qt.Equals, decider, qt.Commentf("%s", name))
			}
		}
		time.Sleep(6 * time.Second)
		expectDecider(names[1])
		mutex.Lock()
		before := bytes
		mutex.Unlock()
		time.Sleep(10 * time.Second)
		mutex.Lock()
		perHost := (bytes - before) / 10 / len(names)
		mutex.Unlock()
		t.Logf("%d bytes a second a host", perHost)
		c.Assert(perHost <= maxRolloutBytes, qt.IsTrue, qt.Commentf("%d bytes", perHost))
		network.mutex.Lock()
		network.isolated[names[1]] = true
		network.mutex.Unlock()
		time.Sleep(8 * time.Second)
		expectDecider(names[2], names[1])
		c.Assert(hosts[names[1]].IsQuorate(), qt.IsFalse)
	})
}

// newTestRollouts returns rollouts of a host, all of whose requests are counted.
func newTestRollouts(host *Exchange) *rollout.Rollouts {
	rollouts := &rollout.Rollouts{
		Address: host.Address, Incarnation: 1, Bounds: rollout.Bounds{Share: 0.1, Slack: 50, RollbackWithin: 5 * time.Second},
		Hosts: host.Order, IsQuorate: host.IsQuorate, Send: host.SendRollouts, Events: host.Events,
		Revision: func() int64 { return 1 }, Read: func(context.Context, int64) error { return nil },
		Use:    func(string, balance.VersionID) balance.VersionUse { return balance.VersionUse{Targets: 3, Slots: 9} },
		Serves: func(string, *balance.Restriction) (exists, hasRoom bool) { return true, true },
		Store: rollout.Store{Write: func(_ context.Context, order rollout.Order, state rollout.State) (rollout.Order, error) {
			order.State, order.StateVersion = state, order.Version
			return order, nil
		}},
	}
	rollouts.SetTargets([]balance.Target{{ID: "o", Pool: "p", Version: "v1"}, {ID: "n", Pool: "p", Version: "v2"}}, 1)
	return rollouts
}
