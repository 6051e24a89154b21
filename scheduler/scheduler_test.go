package scheduler

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/peer"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/pool"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

// sentMessages records the messages that a scheduler sends.
type sentMessages struct {
	mutex     sync.Mutex
	grants    []*peerpb.Grant
	refusals  int
	handovers []string
	// leaving is what the target reports.
	leaving       atomic.Bool
	leavingStates []*peerpb.TargetWord
	suspects      []*peerpb.Suspect
}

func (sentMessages *sentMessages) send(host string, envelope *peerpb.Envelope) {
	sentMessages.mutex.Lock()
	defer sentMessages.mutex.Unlock()
	sentMessages.grants = append(sentMessages.grants, envelope.GetGrants()...)
	sentMessages.suspects = append(sentMessages.suspects, envelope.GetSuspects()...)
	sentMessages.leavingStates = append(sentMessages.leavingStates, envelope.GetTargets()...)
	sentMessages.refusals += len(envelope.GetRefusals())
	for _, message := range envelope.GetHandovers() {
		sentMessages.handovers = append(sentMessages.handovers, host+" "+message.GetPool())
	}
}

func (sentMessages *sentMessages) grantCount() int {
	synctest.Wait()
	sentMessages.mutex.Lock()
	defer sentMessages.mutex.Unlock()
	return len(sentMessages.grants)
}

// runInBubble runs a test in a synctest bubble with the scheduler of host a and
// one target with one slot. The test sets responsible to the host that
// schedules the pool.
func runInBubble(t *testing.T, test func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, responsible *string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := &profile.Store{}
		store.ApplyIfNewer(profile.NewSnapshot(1, profile.Configuration{Pools: []profile.Pool{{
			Name: "orders", Kind: profile.KindService, Policy: "expectedFinish", MaxWaiting: 10,
			Targets: []profile.Target{{Name: "t", Zone: "z", Slots: 1}},
		}}}))
		sentMessages, responsible := &sentMessages{}, "a"
		scheduler := &Scheduler{
			Host: "a", Zone: "z", Store: store, Send: sentMessages.send,
			Responsible: func(string) string { return responsible },
			Hosts:       func() []string { return []string{"a", "b"} },
			ZoneHosts:   func() []string { return []string{"a", "b"} },
			Client: func(string) *protocol.Client {
				return &protocol.Client{Load: func(context.Context, string) (protocol.Load, error) {
					return protocol.Load{Leaving: sentMessages.leaving.Load()}, nil
				}}
			},
		}
		ctx, stop := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = scheduler.Run(ctx) })
		synctest.Wait()
		test(t, scheduler, sentMessages, &responsible)
		stop()
		group.Wait()
	})
}

func submit(scheduler *Scheduler, id byte) {
	ticket := &request.Ticket{ID: request.ID{id}, Pool: "orders", Deadline: time.Now().Add(time.Hour), Round: 1}
	scheduler.Receive("b", &peerpb.Envelope{Tickets: []*peerpb.Ticket{peer.TicketMessage(ticket)}})
}

// TestOtherScheduler checks that a pool is opened only on the host that is
// responsible for it.
func TestOtherScheduler(t *testing.T) {
	runInBubble(t, func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, responsible *string) {
		*responsible = "b"
		submit(scheduler, 1)
		time.Sleep(time.Minute)
		qt.Check(t, scheduler.findPool("orders"), qt.IsNil)
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 0)
		*responsible = "a"
		scheduler.Receive("b", &peerpb.Envelope{Handovers: []*peerpb.Handover{{Pool: "orders"}}})
		qt.Check(t, scheduler.findPool("orders"), qt.IsNotNil)
	})
}

// TestHandover checks that a handover drops waiting tickets without refusing
// them, and that grants stay counted until they are released.
func TestHandover(t *testing.T) {
	runInBubble(t, func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, responsible *string) {
		submit(scheduler, 1)
		submit(scheduler, 2)
		time.Sleep(2 * settlePeriod)
		qt.Assert(t, sentMessages.grantCount(), qt.Equals, 1)
		*responsible = "b"
		scheduler.MembershipChanged()
		scheduler.MembershipChanged()
		qt.Check(t, sentMessages.handovers, qt.DeepEquals, []string{"b orders"})
		qt.Check(t, scheduler.findPool("orders").Waiting(), qt.Equals, 0)
		qt.Check(t, scheduler.findPool("orders").GrantsOf("b"), qt.HasLen, 1)
		qt.Check(t, sentMessages.refusals, qt.Equals, 0)
		*responsible = "a"
		submit(scheduler, 3)
		time.Sleep(time.Second)
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 1)
		grant := peer.Grant(sentMessages.grants[0])
		release := &request.Release{Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target, Number: grant.Number, Scheduler: "a"}
		scheduler.Receive("b", &peerpb.Envelope{Releases: []*peerpb.Release{peer.ReleaseMessage(release)}})
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 2)
	})
}

// TestLostRelease checks that the slot of a grant whose release was lost is
// freed once the entry host's holdings no longer have it.
func TestLostRelease(t *testing.T) {
	runInBubble(t, func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, _ *string) {
		submit(scheduler, 1)
		submit(scheduler, 2)
		time.Sleep(time.Minute)
		qt.Assert(t, sentMessages.grantCount(), qt.Equals, 1)
		number := sentMessages.grants[0].GetNumber()
		scheduler.Receive("b", &peerpb.Envelope{Holdings: []*peerpb.Holdings{{Pool: "orders", Numbers: []uint64{number}}}})
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 1)
		scheduler.Receive("b", &peerpb.Envelope{Holdings: []*peerpb.Holdings{{Pool: "orders"}}})
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 2)
	})
}

// TestLostGrant checks that a grant that was lost with its connection is sent
// again after the host has reconnected.
func TestLostGrant(t *testing.T) {
	runInBubble(t, func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, _ *string) {
		submit(scheduler, 1)
		time.Sleep(2 * settlePeriod)
		qt.Assert(t, sentMessages.grantCount(), qt.Equals, 1)
		scheduler.Reconnected("b")
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 2)
		qt.Check(t, sentMessages.grants[1].GetNumber(), qt.Equals, sentMessages.grants[0].GetNumber())
	})
}

// TestReleaseOfOtherScheduler checks that the release of an unused grant of
// another scheduler does not free the slot of the grant with the same number
// here.
func TestReleaseOfOtherScheduler(t *testing.T) {
	runInBubble(t, func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, _ *string) {
		submit(scheduler, 1)
		submit(scheduler, 2)
		time.Sleep(2 * settlePeriod)
		qt.Assert(t, sentMessages.grantCount(), qt.Equals, 1)
		grant := peer.Grant(sentMessages.grants[0])
		release := &request.Release{Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target, Number: grant.Number, Scheduler: "b"}
		scheduler.Receive("b", &peerpb.Envelope{Releases: []*peerpb.Release{peer.ReleaseMessage(release)}})
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 1)
	})
}

func (sentMessages *sentMessages) sentLeavingStates() []*peerpb.TargetWord {
	synctest.Wait()
	sentMessages.mutex.Lock()
	defer sentMessages.mutex.Unlock()
	return sentMessages.leavingStates
}

// maxLeavingDelay is the longest time that may pass until a target's report is
// applied.
const maxLeavingDelay = 3 * time.Second

// TestLeavingReport checks that a target that reports that it is leaving gets
// no more grants, and that the hosts of the zone are sent one message, within
// maxLeavingDelay; the same when it reports that it is no longer leaving.
func TestLeavingReport(t *testing.T) {
	runInBubble(t, func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, _ *string) {
		scheduler.openPool("orders")
		time.Sleep(time.Minute)
		sentMessages.leaving.Store(true)
		time.Sleep(maxLeavingDelay)
		submit(scheduler, 1)
		time.Sleep(time.Minute)
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 0)
		qt.Check(t, sentMessages.sentLeavingStates(), qt.HasLen, 1)
		qt.Check(t, sentMessages.sentLeavingStates()[0].GetLeaving(), qt.IsTrue)
		scheduler.Store.ApplyIfNewer(profile.NewSnapshot(2, scheduler.Store.Current().Configuration))
		time.Sleep(time.Minute)
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 0)
		sentMessages.leaving.Store(false)
		time.Sleep(maxLeavingDelay)
		submit(scheduler, 2)
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 1)
		qt.Check(t, sentMessages.sentLeavingStates()[1].GetSequence() > sentMessages.sentLeavingStates()[0].GetSequence(), qt.IsTrue)
	})
}

// TestLeavingStates checks that a leaving state from another host applies at
// once, also to a pool opened later, and that an older one is ignored.
func TestLeavingStates(t *testing.T) {
	runInBubble(t, func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, _ *string) {
		sentMessages.leaving.Store(true)
		receive := func(leaving bool, sequence uint64) {
			message := targetWordMessage(targetKey{"orders", "t"}, leaving, sequence)
			scheduler.Receive("b", &peerpb.Envelope{Targets: []*peerpb.TargetWord{message}})
		}
		receive(true, 5)
		receive(false, 4)
		receive(false, 5)
		submit(scheduler, 1)
		time.Sleep(time.Minute)
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 0)
		qt.Check(t, scheduler.TargetLeaving("orders", "t"), qt.IsTrue)
		scheduler.Reconnected("b")
		qt.Check(t, sentMessages.sentLeavingStates(), qt.HasLen, 1)
		receive(false, 6)
		submit(scheduler, 2)
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 1)
	})
}

// TestSuspicions checks that a suspect is sent to the other hosts of the zone
// with its remaining time, and is stored for a pool that opens later.
func TestSuspicions(t *testing.T) {
	runInBubble(t, func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, _ *string) {
		scheduler.sendSuspect("orders", pool.Suspect{Fingerprint: 7, Crashes: 2, Quarantined: true, Until: time.Now().Add(time.Minute)})
		qt.Assert(t, sentMessages.suspects, qt.HasLen, 1)
		qt.Check(t, sentMessages.suspects[0].GetRemaining(), qt.Equals, time.Minute.Microseconds())
		for range 2 * maxSuspicions {
			scheduler.Receive("b", &peerpb.Envelope{Suspects: sentMessages.suspects})
		}
		qt.Assert(t, scheduler.suspicions, qt.HasLen, maxSuspicions)
		qt.Check(t, scheduler.suspicions[0].suspect, qt.Equals, pool.Suspect{
			Fingerprint: 7, Crashes: 2, Quarantined: true, Until: time.Now().Add(time.Minute),
		})
		qt.Check(t, scheduler.openPool("orders"), qt.IsNotNil)
	})
}

// TestSuspicionsAreSentToAllZones guards against a request that crashes targets of one
// zone after the other: the hosts of all zones get quarantines and mere suspicions, and
// tell those of their own zone from others.
func TestSuspicionsAreSentToAllZones(t *testing.T) {
	runInBubble(t, func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, _ *string) {
		scheduler.Hosts = func() []string { return []string{"a", "b", "c", "d"} }
		scheduler.sendSuspect("orders", pool.Suspect{Fingerprint: 7, Crashes: 1, Until: time.Now().Add(time.Minute)})
		qt.Check(t, sentMessages.suspects, qt.HasLen, 3)
		scheduler.sendSuspect("orders", pool.Suspect{Fingerprint: 7, Crashes: 2, Quarantined: true, Until: time.Now().Add(time.Minute)})
		qt.Check(t, sentMessages.suspects, qt.HasLen, 6)
		scheduler.Receive("b", &peerpb.Envelope{Suspects: sentMessages.suspects[:1]})
		sentMessages.suspects[0].Zone = "other"
		scheduler.Receive("d", &peerpb.Envelope{Suspects: sentMessages.suspects[:1]})
		qt.Check(t, scheduler.suspicions[0].suspect.Zone, qt.Equals, "")
		qt.Check(t, scheduler.suspicions[1].suspect.Zone, qt.Equals, "other")
	})
}

// TestConfiguredLeaving checks that a target that reports that it is no longer
// leaving gets no grants while the configuration marks it as leaving.
func TestConfiguredLeaving(t *testing.T) {
	runInBubble(t, func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, _ *string) {
		configuration := scheduler.Store.Current().Configuration
		configuration.Pools = slices.Clone(configuration.Pools)
		configuration.Pools[0].Targets = []profile.Target{{Name: "t", Zone: "z", Slots: 1, Leaving: true}}
		scheduler.Store.ApplyIfNewer(profile.NewSnapshot(2, configuration))
		scheduler.openPool("orders")
		sentMessages.leaving.Store(true)
		time.Sleep(time.Minute)
		sentMessages.leaving.Store(false)
		time.Sleep(time.Minute)
		qt.Check(t, sentMessages.sentLeavingStates(), qt.HasLen, 2)
		submit(scheduler, 1)
		time.Sleep(time.Minute)
		qt.Check(t, sentMessages.grantCount(), qt.Equals, 0)
	})
}
