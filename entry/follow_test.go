package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/once"
	"nutmegfield.example/peer"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

const otherLife = "b1#1690000000000000"

// claimElsewhere takes the payment's key for a request of another host.
func (fixture *fixture) claimElsewhere() (once.Key, once.Record) {
	job := job{method: http.MethodPost, path: "/payments", body: []byte(`{"yen":1}`)}
	record := once.Record{Request: request.NewID(), Host: otherLife, BodyHash: job.bodySum(), CreatedAt: time.Now()}
	key := once.NewKey("clubs", "orders", "order-17")
	claim, err := fixture.entry.Records.Claim(fixture.Context(), key, record)
	fixture.Assert(err, qt.IsNil)
	fixture.Assert(claim.Granted, qt.IsTrue)
	return key, record
}

func (fixture *fixture) endElsewhere(key once.Key, record once.Record, change func(*once.Record)) {
	record.Status, record.ContentType, record.Outcome = http.StatusOK, "application/json", request.Done
	record.Answer = []byte(`{"paid":true}`)
	change(&record)
	fixture.Assert(fixture.entry.Records.End(fixture.Context(), key, record), qt.IsNil)
}

// mostLooks is how often a resend of the payment, whose deadline is 5 s, may
// ask: after 0.25, 0.5, 1 and 2 s and at the end.
const mostLooks = 5

// TestResendFollows: a resend whose key another host's request holds waits for
// that one's end and tells it truly.
func TestResendFollows(t *testing.T) {
	cases := []struct {
		name    string
		change  func(*once.Record)
		status  int
		outcome request.Outcome
		body    string
	}{
		{"kept", func(*once.Record) {}, http.StatusOK, request.Done, `{"paid":true}`},
		{"not kept", func(record *once.Record) { record.AnswerOmitted = true }, http.StatusConflict, request.Done, `"reason":"answerNotKept"`},
		{"end not seen", func(record *once.Record) {
			record.Outcome, record.AnswerOmitted = request.Unknown, true
		}, http.StatusConflict, request.Unknown, "its end was not seen"},
	}
	for _, end := range cases {
		t.Run(end.name, func(t *testing.T) {
			play(t, func(fixture *fixture) {
				key, record := fixture.claimElsewhere()
				before := looks.Value()
				replies := fixture.pay(fixture.Context())
				time.Sleep(time.Second)
				fixture.Assert(replies, qt.HasLen, 0)
				fixture.endElsewhere(key, record, end.change)
				got := <-replies
				fixture.wants(got, end.status, end.outcome)
				fixture.Assert(strings.Contains(got.body, end.body), qt.IsTrue, qt.Commentf("%s", got.body))
				fixture.Assert(fixture.calls, qt.HasLen, 0)
				fixture.Assert(looks.Value()-before <= mostLooks, qt.IsTrue)
			})
		})
	}
}

// TestResendRunsAReturnedKey: the holder did not run, so the resend does.
func TestResendRunsAReturnedKey(t *testing.T) {
	play(t, func(fixture *fixture) {
		key, record := fixture.claimElsewhere()
		replies := fixture.pay(fixture.Context())
		time.Sleep(time.Second)
		fixture.Assert(fixture.entry.Records.Release(fixture.Context(), key, record), qt.IsNil)
		fixture.wants(<-replies, http.StatusOK, request.Done)
		fixture.Assert(fixture.calls, qt.HasLen, 1)
	})
}

// TestResendOfADeadHolder hears unknown as soon as the membership says so.
func TestResendOfADeadHolder(t *testing.T) {
	play(t, func(fixture *fixture) {
		died := time.Now().Add(time.Second)
		fixture.entry.Dead = func(life string) bool { return life == otherLife && time.Now().After(died) }
		fixture.claimElsewhere()
		begun := time.Now()
		got := <-fixture.pay(fixture.Context())
		fixture.wants(got, http.StatusConflict, request.Unknown)
		fixture.Assert(got.header.Get("Retry-After"), qt.Equals, "")
		fixture.Assert(time.Since(begun) < 5*time.Second, qt.IsTrue)
		fixture.Assert(fixture.calls, qt.HasLen, 0)
	})
}

// TestResendKeepsItsDeadline: many resends, of which one looks, are answered
// at their deadline, also while the platform is silent.
func TestResendKeepsItsDeadline(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run("outage "+strconv.FormatBool(outage), func(t *testing.T) {
			play(t, func(fixture *fixture) {
				fixture.claimElsewhere()
				before := looks.Value()
				begun := time.Now()
				var resends []<-chan reply
				for range 20 {
					resends = append(resends, fixture.pay(fixture.Context()))
				}
				time.Sleep(time.Second)
				fixture.outage.Store(outage)
				for _, replies := range resends {
					got := <-replies
					fixture.wants(got, http.StatusConflict, request.Unknown)
					fixture.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
				}
				fixture.Assert(time.Since(begun), qt.Equals, 5*time.Second)
				fixture.Assert(looks.Value()-before <= mostLooks, qt.IsTrue)
				fixture.entry.running.Wait()
				fixture.outage.Store(false)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestAnswerOutlivesAnOutage: the platform is silent when the answer comes;
// the record is ended later, and a drain waits for that.
func TestAnswerOutlivesAnOutage(t *testing.T) {
	play(t, func(fixture *fixture) {
		answer := fixture.blocked()
		replies := fixture.pay(fixture.Context())
		fixture.outage.Store(true)
		close(answer)
		fixture.wants(<-replies, http.StatusOK, request.Done)
		time.Sleep(time.Minute)
		drained := make(chan error, 1)
		go func() { drained <- fixture.entry.Drain(fixture.Context()) }()
		time.Sleep(time.Minute)
		fixture.Assert(drained, qt.HasLen, 0)
		fixture.outage.Store(false)
		fixture.Assert(<-drained, qt.IsNil)
		present, err := fixture.entry.Records.Lookup(fixture.Context(), once.NewKey("clubs", "orders", "order-17"))
		fixture.Assert(err, qt.IsNil)
		fixture.Assert(present.State, qt.Equals, once.Ended)
		fixture.Assert(string(present.Answer), qt.Equals, `{"paid":true}`)
	})
}

// TestUnseenEndIsRecorded: other hosts need not wait for a request whose
// target was lost.
func TestUnseenEndIsRecorded(t *testing.T) {
	play(t, func(fixture *fixture) {
		fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
			return nil, protocol.Broken.Wrap(errLost, "ask")
		}
		fixture.wants(<-fixture.pay(fixture.Context()), http.StatusBadGateway, request.Unknown)
		fixture.entry.running.Wait()
		present, err := fixture.entry.Records.Lookup(fixture.Context(), once.NewKey("clubs", "orders", "order-17"))
		fixture.Assert(err, qt.IsNil)
		fixture.Assert(present.State, qt.Equals, once.Ended)
		fixture.Assert(present.Outcome, qt.Equals, request.Unknown)
	})
}

// TestLifeDead: a life of a host is over when a later one is known or the host
// is gone from the list, but not while this host itself has only just come.
func TestLifeDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := uint64(time.Now().UnixMicro())
		self := peer.Host{ID: "a1", Incarnation: started}
		view := &peer.View{Hosts: []peer.Host{self, {ID: "b1", Incarnation: 20}}}
		life := func(id string, incarnation uint64) string {
			return lifeOf(peer.Host{ID: id, Incarnation: incarnation})
		}
		check := func(life string, want bool) {
			t.Helper()
			qt.Check(t, lifeDead(life, self, view), qt.Equals, want)
		}
		check(life("b1", 19), true)
		check(life("b1", 20), false)
		check(life("b1", 21), false)
		check("b1", false)
		check(life("a1", started-1), true)
		check(life("a1", started), false)
		check(life("c1", 1), false)
		time.Sleep(joinSpan)
		check(life("c1", 1), true)
	})
}
