package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
)

// testHost is a host whose messages the test delivers.
type testHost struct {
	*Rollouts
	sent     map[string][]*Message
	hosts    []string
	revision int64
	reads    int
	// newTargets is the number of targets of the new version, oldExists whether there are
	// others.
	oldExists bool
}

func newTestHost(address string, hosts ...string) *testHost {
	host := &testHost{sent: map[string][]*Message{}, hosts: hosts, oldExists: true}
	host.Rollouts = &Rollouts{
		Address: address, Incarnation: 1, Bounds: Bounds{Share: 0.1, Slack: 50, RollbackWithin: 5 * time.Second},
		Hosts: func() []string { return host.hosts }, IsQuorate: func() bool { return true },
		Send:     func(to string, message *Message) { host.sent[to] = append(host.sent[to], message) },
		Revision: func() int64 { return host.revision },
		Read: func(context.Context, int64) error {
			host.reads++
			return nil
		},
		Use: func(string, balance.VersionID) balance.VersionUse { return balance.VersionUse{Targets: 2, Slots: 8} },
		Serves: func(_ string, restriction *balance.Restriction) (exists, hasRoom bool) {
			return restriction == nil || len(restriction.Except) == 0 || host.oldExists, true
		},
		Events: &timeline.Recorder{},
		Store:  Store{Write: func(context.Context, Order, State) (Order, error) { return Order{}, errStoreAway }},
	}
	return host
}

func (host *testHost) tick(t *testing.T) {
	host.Tick(t.Context(), time.Now())
	synctest.Wait()
}

// mayGet reports whether a new request may go to a version of the pool.
func (host *testHost) mayGet(version string) bool {
	choice := host.Choose(simulatedPool, "r", time.Second, true)
	id := balance.NewVersionID(simulatedPool, version)
	if choice.Restriction == nil {
		return true
	}
	for _, except := range choice.Restriction.Except {
		if except == id {
			return false
		}
	}
	return choice.Restriction.Only == 0 || choice.Restriction.Only == id
}

func targetsOf(versions ...string) []balance.Target {
	var targets []balance.Target
	for i, version := range versions {
		targets = append(targets, balance.Target{ID: version, Pool: simulatedPool, Version: version, StartedAt: time.UnixMilli(int64(1000 + i))})
	}
	return targets
}

// TestNewVersionIsHeld guards against targets of a new version that get requests before the
// host knows of their order, and against ones that are held although no order asks for them.
func TestNewVersionIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := newTestHost("b", "a", "b")
		host.SetTargets(targetsOf("v1"), 5)
		c.Assert(host.plan(simulatedPool), qt.IsNil)
		host.SetTargets(targetsOf("v1", "v2"), 9)
		c.Assert(host.mayGet("v1"), qt.IsTrue)
		c.Assert(host.mayGet("v2"), qt.IsFalse)
		host.oldExists = false
		c.Assert(host.mayGet("v2"), qt.IsTrue)
		host.oldExists = true
		host.tick(t)
		c.Assert(host.sent["a"], qt.HasLen, 1)
		c.Assert(host.sent["a"][0].Question, qt.Equals, int64(9))
		// An answer from before the version appeared tells nothing.
		host.Receive("a", &Message{Knowledge: &Knowledge{Revision: 8}})
		host.tick(t)
		c.Assert(host.mayGet("v2"), qt.IsFalse)
		host.Receive("a", &Message{Knowledge: &Knowledge{Revision: 9}})
		host.tick(t)
		c.Assert(host.plan(simulatedPool), qt.IsNil)
		// Another version comes with an order, and the host that decides knows it.
		host.SetTargets(targetsOf("v1", "v2", "v3"), 12)
		c.Assert(host.mayGet("v3"), qt.IsFalse)
		host.Receive("a", &Message{Knowledge: &Knowledge{Revision: 12, Orders: []KnownOrder{
			{Pool: simulatedPool, Version: balance.NewVersionID(simulatedPool, "v3")},
		}}})
		host.tick(t)
		c.Assert(host.mayGet("v3"), qt.IsFalse)
		c.Assert(host.mayGet("v2"), qt.IsTrue)
	})
}

// TestStartingHostUsesTheOldestVersion guards against a host that starts during a rollout and
// sends to the new version, or refuses all requests, before it knows of the order.
func TestStartingHostUsesTheOldestVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := newTestHost("b", "a", "b")
		host.SetTargets(targetsOf("v1", "v2"), 9)
		c.Assert(host.mayGet("v1"), qt.IsTrue)
		c.Assert(host.mayGet("v2"), qt.IsFalse)
		// Nobody answers: it reads the orders itself.
		for range 30 {
			host.tick(t)
			time.Sleep(tickInterval)
		}
		c.Assert(host.reads > 0, qt.IsTrue)
		host.revision = 9
		host.tick(t)
		c.Assert(host.mayGet("v2"), qt.IsTrue)
	})
}

// TestSilenceStopsTheShare guards against hosts that go on sending to the new version while
// they don't hear the host that decides, and against those that stop while the old version
// has ended.
func TestSilenceStopsTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := newTestHost("b", "a", "b")
		host.SetTargets(targetsOf("v1", "v2"), 9)
		instruction := Instruction{Rollout: 7, Pool: simulatedPool, Version: "v2", Sequence: 1, Share: 1, Duration: time.Minute}
		host.Receive("a", &Message{Decider: "a", Instructions: []Instruction{instruction}})
		choose := func() Choice { return host.Choose(simulatedPool, "r", time.Second, false) }
		c.Assert(choose().Restriction.Only, qt.Equals, balance.NewVersionID(simulatedPool, "v2"))
		choice := choose()
		time.Sleep(maxSilence + time.Millisecond)
		c.Assert(choose().Restriction.Only, qt.Equals, balance.VersionID(0))
		c.Assert(host.MaySend(&targetsOf("v1", "v2")[1], choice, "r", time.Second), qt.IsFalse)
		host.oldExists = false
		c.Assert(choose().Restriction, qt.IsNil)
		c.Assert(host.MaySend(&targetsOf("v1", "v2")[1], choose(), "r", time.Second), qt.IsTrue)
		host.oldExists = true
		// Once it rolls back, nobody lets it begin again, and nothing is sent even if
		// the old version has ended.
		instruction.Sequence, instruction.Stage = 2, RollingBack
		host.Receive("c", &Message{Decider: "c", Instructions: []Instruction{instruction}})
		instruction.Sequence, instruction.Stage = 3, Sharing
		host.Receive("a", &Message{Decider: "a", Instructions: []Instruction{instruction}})
		host.oldExists = false
		c.Assert(host.mayGet("v2"), qt.IsFalse)
		c.Assert(host.MaySend(&targetsOf("v1", "v2")[1], choice, "r", time.Second), qt.IsFalse)
	})
}

// TestHostsOfEarlierBuildsDontDecide guards against rollouts that stand still as the first of
// the hosts knows nothing of them.
func TestHostsOfEarlierBuildsDontDecide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := newTestHost("b", "a", "b", "c")
		host.SetOrders([]Order{{Name: simulatedPool, Pool: simulatedPool, Version: "v2", Duration: time.Minute, Revision: 3}}, nil, 3)
		host.revision = 9
		host.SetTargets(targetsOf("v1", "v2"), 9)
		for range 30 {
			host.tick(t)
			time.Sleep(tickInterval)
		}
		c.Assert(host.sent["a"], qt.Not(qt.HasLen), 0)
		c.Assert(host.sent["c"], qt.Not(qt.HasLen), 0)
		c.Assert(host.sent["c"][0].Decider, qt.Equals, "b")
		// As soon as it answers, as its build was replaced, it decides.
		host.Receive("a", &Message{Decider: "a"})
		clear(host.sent)
		host.tick(t)
		c.Assert(host.sent["c"], qt.HasLen, 0)
		time.Sleep(movingInterval)
		// A host that asks is answered.
		host.Receive("c", &Message{})
		c.Assert(host.sent["c"], qt.HasLen, 1)
	})
}

// TestPlainPoolsCostNothing guards against work and messages where there is no rollout.
func TestPlainPoolsCostNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := newTestHost("a", "a", "b")
		host.revision = 5
		host.SetTargets(targetsOf("v1"), 5)
		c.Assert(host.Tick(t.Context(), time.Now()), qt.IsFalse)
		c.Assert(host.plans.Load(), qt.IsNil)
		c.Assert(host.Begin(&targetsOf("v1")[0], "r", true, false), qt.IsNil)
		c.Assert(host.sent, qt.HasLen, 0)
		c.Assert(host.IsActive(), qt.IsFalse)
		var off *Rollouts
		c.Assert(off.Choose(simulatedPool, "r", time.Second, false), qt.Equals, Choice{})
	})
}
