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

// sent keeps what a scheduler says to each host.
type sent struct {
	mutex     sync.Mutex
	grants    []*peerpb.Grant
	refusals  int
	handovers []string
	// leaving is what the target reports.
	leaving  atomic.Bool
	words    []*peerpb.TargetWord
	suspects []*peerpb.Suspect
}

func (sent *sent) send(host string, envelope *peerpb.Envelope) {
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	sent.grants = append(sent.grants, envelope.GetGrants()...)
	sent.suspects = append(sent.suspects, envelope.GetSuspects()...)
	sent.words = append(sent.words, envelope.GetTargets()...)
	sent.refusals += len(envelope.GetRefusals())
	for _, message := range envelope.GetHandovers() {
		sent.handovers = append(sent.handovers, host+" "+message.GetPool())
	}
}

func (sent *sent) granted() int {
	synctest.Wait()
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	return len(sent.grants)
}

// inBubble runs a test with the scheduler of host a over one target of one
// slot; responsible names the scheduling host.
func inBubble(t *testing.T, test func(t *testing.T, scheduler *Scheduler, sent *sent, responsible *string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := &profile.Store{}
		store.Offer(profile.NewSnapshot(1, profile.Configuration{Pools: []profile.Pool{{
			Name: "orders", Kind: profile.KindService, Policy: "expectedFinish", Waiting: 10,
			Targets: []profile.Target{{Name: "t", Zone: "z", Slots: 1}},
		}}}))
		sent, responsible := &sent{}, "a"
		scheduler := &Scheduler{
			Host: "a", Zone: "z", Store: store, Send: sent.send,
			Responsible: func(string) string { return responsible },
			Hosts:       func() []string { return []string{"a", "b"} },
			ZoneHosts:   func() []string { return []string{"a", "b"} },
			Client: func(string) *protocol.Client {
				return &protocol.Client{Load: func(context.Context, string) (protocol.Load, error) {
					return protocol.Load{Leaving: sent.leaving.Load()}, nil
				}}
			},
		}
		ctx, stop := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { _ = scheduler.Run(ctx) })
		synctest.Wait()
		test(t, scheduler, sent, &responsible)
		stop()
		group.Wait()
	})
}

func submit(scheduler *Scheduler, id byte) {
	ticket := &request.Ticket{ID: request.ID{id}, Pool: "orders", Deadline: time.Now().Add(time.Hour), Round: 1}
	scheduler.Receive("b", &peerpb.Envelope{Tickets: []*peerpb.Ticket{peer.TicketMessage(ticket)}})
}

// TestOtherScheduler: a pool is opened only where the host is responsible.
func TestOtherScheduler(t *testing.T) {
	inBubble(t, func(t *testing.T, scheduler *Scheduler, sent *sent, responsible *string) {
		*responsible = "b"
		submit(scheduler, 1)
		time.Sleep(time.Minute)
		qt.Check(t, scheduler.find("orders"), qt.IsNil)
		qt.Check(t, sent.granted(), qt.Equals, 0)
		*responsible = "a"
		scheduler.Receive("b", &peerpb.Envelope{Handovers: []*peerpb.Handover{{Pool: "orders"}}})
		qt.Check(t, scheduler.find("orders"), qt.IsNotNil)
	})
}

// TestHandover: waiting tickets are forgotten, not refused, and grants stay
// counted until they are released.
func TestHandover(t *testing.T) {
	inBubble(t, func(t *testing.T, scheduler *Scheduler, sent *sent, responsible *string) {
		submit(scheduler, 1)
		submit(scheduler, 2)
		time.Sleep(2 * settle)
		qt.Assert(t, sent.granted(), qt.Equals, 1)
		*responsible = "b"
		scheduler.Moved()
		scheduler.Moved()
		qt.Check(t, sent.handovers, qt.DeepEquals, []string{"b orders"})
		qt.Check(t, scheduler.find("orders").Waiting(), qt.Equals, 0)
		qt.Check(t, scheduler.find("orders").GrantsOf("b"), qt.HasLen, 1)
		qt.Check(t, sent.refusals, qt.Equals, 0)
		*responsible = "a"
		submit(scheduler, 3)
		time.Sleep(time.Second)
		qt.Check(t, sent.granted(), qt.Equals, 1)
		grant := peer.Grant(sent.grants[0])
		release := &request.Release{Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target, Number: grant.Number, Scheduler: "a"}
		scheduler.Receive("b", &peerpb.Envelope{Releases: []*peerpb.Release{peer.ReleaseMessage(release)}})
		qt.Check(t, sent.granted(), qt.Equals, 2)
	})
}

// TestLostRelease: the slot of a grant whose release was lost is freed by the
// entry host's list, not by one that names it.
func TestLostRelease(t *testing.T) {
	inBubble(t, func(t *testing.T, scheduler *Scheduler, sent *sent, _ *string) {
		submit(scheduler, 1)
		submit(scheduler, 2)
		time.Sleep(time.Minute)
		qt.Assert(t, sent.granted(), qt.Equals, 1)
		number := sent.grants[0].GetNumber()
		scheduler.Receive("b", &peerpb.Envelope{Holdings: []*peerpb.Holdings{{Pool: "orders", Numbers: []uint64{number}}}})
		qt.Check(t, sent.granted(), qt.Equals, 1)
		scheduler.Receive("b", &peerpb.Envelope{Holdings: []*peerpb.Holdings{{Pool: "orders"}}})
		qt.Check(t, sent.granted(), qt.Equals, 2)
	})
}

// TestLostGrant: a grant that was lost with its link is sent again.
func TestLostGrant(t *testing.T) {
	inBubble(t, func(t *testing.T, scheduler *Scheduler, sent *sent, _ *string) {
		submit(scheduler, 1)
		time.Sleep(2 * settle)
		qt.Assert(t, sent.granted(), qt.Equals, 1)
		scheduler.Reconnected("b")
		qt.Check(t, sent.granted(), qt.Equals, 2)
		qt.Check(t, sent.grants[1].GetNumber(), qt.Equals, sent.grants[0].GetNumber())
	})
}

// TestOtherGrantReturned: a grant of another scheduler that is returned unused
// does not free the slot of this one's grant of the same number.
func TestOtherGrantReturned(t *testing.T) {
	inBubble(t, func(t *testing.T, scheduler *Scheduler, sent *sent, _ *string) {
		submit(scheduler, 1)
		submit(scheduler, 2)
		time.Sleep(2 * settle)
		qt.Assert(t, sent.granted(), qt.Equals, 1)
		grant := peer.Grant(sent.grants[0])
		release := &request.Release{Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target, Number: grant.Number, Scheduler: "b"}
		scheduler.Receive("b", &peerpb.Envelope{Releases: []*peerpb.Release{peer.ReleaseMessage(release)}})
		qt.Check(t, sent.granted(), qt.Equals, 1)
	})
}

func (sent *sent) told() []*peerpb.TargetWord {
	synctest.Wait()
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	return sent.words
}

// leavingBound is how long after its first word a target may get work.
const leavingBound = 3 * time.Second

// TestOwnReport: a target that reports it is leaving gets no grant, and the
// zone is told, within the stated time; and once more when it is back.
func TestOwnReport(t *testing.T) {
	inBubble(t, func(t *testing.T, scheduler *Scheduler, sent *sent, _ *string) {
		scheduler.open("orders")
		time.Sleep(time.Minute)
		sent.leaving.Store(true)
		time.Sleep(leavingBound)
		submit(scheduler, 1)
		time.Sleep(time.Minute)
		qt.Check(t, sent.granted(), qt.Equals, 0)
		qt.Check(t, sent.told(), qt.HasLen, 1)
		qt.Check(t, sent.told()[0].GetLeaving(), qt.IsTrue)
		scheduler.Store.Offer(profile.NewSnapshot(2, scheduler.Store.Current().Configuration))
		time.Sleep(time.Minute)
		qt.Check(t, sent.granted(), qt.Equals, 0)
		sent.leaving.Store(false)
		time.Sleep(leavingBound)
		submit(scheduler, 2)
		qt.Check(t, sent.granted(), qt.Equals, 1)
		qt.Check(t, sent.told()[1].GetSequence() > sent.told()[0].GetSequence(), qt.IsTrue)
	})
}

// TestWords: a peer's word counts at once, also for a pool opened later, and
// an older one undoes nothing.
func TestWords(t *testing.T) {
	inBubble(t, func(t *testing.T, scheduler *Scheduler, sent *sent, _ *string) {
		sent.leaving.Store(true)
		say := func(leaving bool, sequence uint64) {
			told := message(place{"orders", "t"}, leaving, sequence)
			scheduler.Receive("b", &peerpb.Envelope{Targets: []*peerpb.TargetWord{told}})
		}
		say(true, 5)
		say(false, 4)
		say(false, 5)
		submit(scheduler, 1)
		time.Sleep(time.Minute)
		qt.Check(t, sent.granted(), qt.Equals, 0)
		qt.Check(t, scheduler.Leaving("orders", "t"), qt.IsTrue)
		scheduler.Reconnected("b")
		qt.Check(t, sent.told(), qt.HasLen, 1)
		say(false, 6)
		submit(scheduler, 2)
		qt.Check(t, sent.granted(), qt.Equals, 1)
	})
}

// TestSuspicions: a suspicion goes to the other hosts of the zone with the time
// that it still holds, and is kept for a pool that opens later.
func TestSuspicions(t *testing.T) {
	inBubble(t, func(t *testing.T, scheduler *Scheduler, sent *sent, _ *string) {
		scheduler.suspected("orders", pool.Suspect{Fingerprint: 7, Crashes: 2, Quarantined: true, Until: time.Now().Add(time.Minute)})
		qt.Assert(t, sent.suspects, qt.HasLen, 1)
		qt.Check(t, sent.suspects[0].GetRemaining(), qt.Equals, time.Minute.Microseconds())
		for range 2 * suspectsKept {
			scheduler.Receive("b", &peerpb.Envelope{Suspects: sent.suspects})
		}
		qt.Assert(t, scheduler.suspicions, qt.HasLen, suspectsKept)
		qt.Check(t, scheduler.suspicions[0].suspect, qt.Equals, pool.Suspect{
			Fingerprint: 7, Crashes: 2, Quarantined: true, Until: time.Now().Add(time.Minute),
		})
		qt.Check(t, scheduler.open("orders"), qt.IsNotNil)
	})
}

// TestOperatorsWord: a target that says it is back stays out of work where the
// operators say that it leaves.
func TestOperatorsWord(t *testing.T) {
	inBubble(t, func(t *testing.T, scheduler *Scheduler, sent *sent, _ *string) {
		configuration := scheduler.Store.Current().Configuration
		configuration.Pools = slices.Clone(configuration.Pools)
		configuration.Pools[0].Targets = []profile.Target{{Name: "t", Zone: "z", Slots: 1, Leaving: true}}
		scheduler.Store.Offer(profile.NewSnapshot(2, configuration))
		scheduler.open("orders")
		sent.leaving.Store(true)
		time.Sleep(time.Minute)
		sent.leaving.Store(false)
		time.Sleep(time.Minute)
		qt.Check(t, sent.told(), qt.HasLen, 2)
		submit(scheduler, 1)
		time.Sleep(time.Minute)
		qt.Check(t, sent.granted(), qt.Equals, 0)
	})
}
