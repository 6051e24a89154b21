package pool_test

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/policy"
	"nutmegfield.example/pool"
	"nutmegfield.example/request"
)

// TestLargeTicketsDoNotBlockSmall guards against large tickets holding all
// slots while small ones wait. It submits a mix of both, of one tier and
// workspace, to a pool of 16 slots and checks how long the small ones wait.
func TestLargeTicketsDoNotBlockSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		waits := map[bool][]time.Duration{}
		random := rand.New(rand.NewPCG(1, 1))
		type submission struct {
			submittedAt time.Time
			large       bool
		}
		tickets := map[request.ID]submission{}
		type runningRequest struct {
			grant request.Grant
			end   time.Time
		}
		var runs []runningRequest
		var testedPool *pool.Pool
		var lastEnd time.Time
		advance := func() {
			time.Sleep(100 * time.Millisecond)
			due := slices.Clone(runs)
			runs = slices.DeleteFunc(runs, func(run runningRequest) bool { return !run.end.After(time.Now()) })
			for _, run := range due {
				if !run.end.After(time.Now()) {
					lastEnd = time.Now()
					testedPool.Release(request.Release{Ticket: run.grant.Ticket, Number: run.grant.Number, End: request.EndUnused})
				}
			}
		}
		testedPool = &pool.Pool{
			Policy: policy.New("expectedFinish", 1),
			SendGrant: func(_ string, grant request.Grant) {
				ticket := tickets[grant.Ticket]
				waits[ticket.large] = append(waits[ticket.large], time.Since(ticket.submittedAt))
				took := 500 * time.Millisecond
				if ticket.large {
					took = 50 * time.Second
				}
				runs = append(runs, runningRequest{grant: grant, end: time.Now().Add(took)})
			},
			SendRefusal: func(string, request.Refusal) {},
		}
		testedPool.Start()
		testedPool.Configure(pool.Configuration{MaxWaiting: 10000, Targets: []pool.Target{
			{Name: "a", Slots: 4}, {Name: "b", Slots: 4}, {Name: "c", Slots: 4}, {Name: "d", Slots: 4},
		}})
		start := time.Now()
		for i := range 6000 {
			advance()
			// Large tickets make up about 0.6 of the capacity of the slots.
			large := i > 100 && random.IntN(52) == 0
			output := 20
			if large {
				output = 2000
			}
			ticket := &request.Ticket{
				Round: 1, Deadline: time.Now().Add(time.Hour), Size: request.Size{PromptTokens: 20, OutputTokens: output},
			}
			binary.LittleEndian.PutUint64(ticket.ID[:], uint64(i))
			tickets[ticket.ID] = submission{submittedAt: time.Now(), large: large}
			testedPool.Submit(ticket)
		}
		for range 20000 {
			advance()
		}
		percentile95 := func(large bool) time.Duration {
			slices.Sort(waits[large])
			return waits[large][len(waits[large])*95/100]
		}
		qt.Assert(t, len(waits[true])+len(waits[false]), qt.Equals, 6000)
		t.Logf("95th percentile of waits: small %v, large %v; all ended after %v", percentile95(false), percentile95(true), lastEnd.Sub(start))
		// A small ticket may wait at most for another small one.
		qt.Assert(t, percentile95(false) <= 500*time.Millisecond, qt.IsTrue)
	})
}
