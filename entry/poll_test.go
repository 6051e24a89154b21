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

// otherIncarnation is the host incarnation that holds the key.
const otherIncarnation = "b1#1690000000000000"

// claimOnOtherHost claims the key of pay for a request of another host.
func (fixture *fixture) claimOnOtherHost() (once.Key, once.Record) {
	job := job{method: http.MethodPost, path: "/payments", body: []byte(`{"yen":1}`)}
	record := once.Record{Request: request.NewID(), Host: otherIncarnation, BodyHash: job.requestSum(), CreatedAt: time.Now()}
	key := once.NewKey("clubs", "orders", "order-17")
	claim, err := fixture.entry.Records.Claim(fixture.Context(), key, record)
	fixture.Assert(err, qt.IsNil)
	fixture.Assert(claim.Granted, qt.IsTrue)
	return key, record
}

// endOnOtherHost ends a record as its host would, after the change.
func (fixture *fixture) endOnOtherHost(key once.Key, record once.Record, change func(*once.Record)) {
	record.Status, record.ContentType, record.Outcome = http.StatusOK, "application/json", request.Done
	record.Answer = []byte(`{"paid":true}`)
	change(&record)
	fixture.Assert(fixture.entry.Records.End(fixture.Context(), key, record), qt.IsNil)
}

// maxRecordReads is how often a resend of pay, with a deadline of 5 s, may read the
// record: after 0.25, 0.5, 1 and 2 s and at the deadline.
const maxRecordReads = 5

// TestResendWaitsForHolder: a resend whose key is held by another host's request
// must wait for that request to end and then report how it ended, without a
// dispatch of its own.
func TestResendWaitsForHolder(t *testing.T) {
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
			runFixture(t, func(fixture *fixture) {
				key, record := fixture.claimOnOtherHost()
				before := recordReads.Value()
				replies := fixture.pay(fixture.Context())
				time.Sleep(time.Second)
				fixture.Assert(replies, qt.HasLen, 0)
				fixture.endOnOtherHost(key, record, end.change)
				got := <-replies
				fixture.assertReply(got, end.status, end.outcome)
				fixture.Assert(strings.Contains(got.body, end.body), qt.IsTrue, qt.Commentf("%s", got.body))
				fixture.Assert(fixture.calls, qt.HasLen, 0)
				fixture.Assert(recordReads.Value()-before <= maxRecordReads, qt.IsTrue)
			})
		})
	}
}

// TestResendRunsAfterReturn: the request that held the key was not run, so the
// resend must run.
func TestResendRunsAfterReturn(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		key, record := fixture.claimOnOtherHost()
		replies := fixture.pay(fixture.Context())
		time.Sleep(time.Second)
		fixture.Assert(fixture.entry.Records.Release(fixture.Context(), key, record), qt.IsNil)
		fixture.assertReply(<-replies, http.StatusOK, request.Done)
		fixture.Assert(fixture.calls, qt.HasLen, 1)
	})
}

// TestResendAfterHolderEnded: the host that holds the key ends while a resend waits.
// The resend must be answered with unknown before its deadline.
func TestResendAfterHolderEnded(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		endsAt := time.Now().Add(time.Second)
		fixture.entry.IncarnationEnded = func(incarnation string) bool { return incarnation == otherIncarnation && time.Now().After(endsAt) }
		fixture.claimOnOtherHost()
		started := time.Now()
		got := <-fixture.pay(fixture.Context())
		fixture.assertReply(got, http.StatusConflict, request.Unknown)
		fixture.Assert(got.header.Get("Retry-After"), qt.Equals, "")
		fixture.Assert(time.Since(started) < 5*time.Second, qt.IsTrue)
		fixture.Assert(fixture.calls, qt.HasLen, 0)
	})
}

// TestResendKeepsItsDeadline: of many resends of a key one polls the record. All
// must be answered at their deadline, also during an outage of the platform.
func TestResendKeepsItsDeadline(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run("outage "+strconv.FormatBool(outage), func(t *testing.T) {
			runFixture(t, func(fixture *fixture) {
				fixture.claimOnOtherHost()
				before := recordReads.Value()
				started := time.Now()
				var resends []<-chan reply
				for range 20 {
					resends = append(resends, fixture.pay(fixture.Context()))
				}
				time.Sleep(time.Second)
				fixture.outage.Store(outage)
				for _, replies := range resends {
					got := <-replies
					fixture.assertReply(got, http.StatusConflict, request.Unknown)
					fixture.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
				}
				fixture.Assert(time.Since(started), qt.Equals, 5*time.Second)
				fixture.Assert(recordReads.Value()-before <= maxRecordReads, qt.IsTrue)
				fixture.entry.running.Wait()
				fixture.outage.Store(false)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestAnswerIsStoredAfterOutage: the platform fails when the answer arrives. The
// record must be ended once it works again, and a drain must wait for that.
func TestAnswerIsStoredAfterOutage(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		answer := fixture.blockAnswer()
		replies := fixture.pay(fixture.Context())
		fixture.outage.Store(true)
		close(answer)
		fixture.assertReply(<-replies, http.StatusOK, request.Done)
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

// TestUnseenEndIsRecorded: the target is lost while the request runs. The record must
// be ended with unknown, so that resends on other hosts do not wait.
func TestUnseenEndIsRecorded(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
			return nil, protocol.Broken.Wrap(errLost, "ask")
		}
		fixture.assertReply(<-fixture.pay(fixture.Context()), http.StatusBadGateway, request.Unknown)
		fixture.entry.running.Wait()
		present, err := fixture.entry.Records.Lookup(fixture.Context(), once.NewKey("clubs", "orders", "order-17"))
		fixture.Assert(err, qt.IsNil)
		fixture.Assert(present.State, qt.Equals, once.Ended)
		fixture.Assert(present.Outcome, qt.Equals, request.Unknown)
	})
}

// TestIncarnationEnded: an incarnation has ended if a later one is in the view or the
// host is missing from it, except shortly after this host's own start.
func TestIncarnationEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := uint64(time.Now().UnixMicro())
		self := peer.Host{ID: "a1", Incarnation: started}
		view := &peer.View{Hosts: []peer.Host{self, {ID: "b1", Incarnation: 20}}}
		name := func(id string, incarnation uint64) string {
			return incarnationName(peer.Host{ID: id, Incarnation: incarnation})
		}
		check := func(incarnation string, want bool) {
			t.Helper()
			qt.Check(t, incarnationEnded(incarnation, self, view), qt.Equals, want)
		}
		check(name("b1", 19), true)
		check(name("b1", 20), false)
		check(name("b1", 21), false)
		check("b1", false)
		check(name("a1", started-1), true)
		check(name("a1", started), false)
		check(name("c1", 1), false)
		time.Sleep(joinTimeout)
		check(name("c1", 1), true)
	})
}
