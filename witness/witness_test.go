package witness

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

const reply = "HTTP/1.1 200 OK\r\nId: %\r\nContent-Length: 0\r\n"

// TestEvidence guards against answers without a length that are believed although another
// process, or none, answers the question after their end.
func TestEvidence(t *testing.T) {
	for _, test := range []struct {
		name string
		// idle means that there is an idle connection before the request; the answer takes a
		// time, and the target is replaced at its end by one that replies otherwise.
		idle, isReplaced bool
		// isPaused means that this host was paused before it read the head of the answer.
		isPaused bool
		// headTakes is the time from the request to the head of its answer. startedAgain means that
		// the target's entry names a later start by the end of the answer.
		headTakes    time.Duration
		startedAgain bool
		takes        time.Duration
		after        string
		want         Evidence
	}{
		{name: "older", idle: true, after: "Target: t", want: OlderConnection},
		{name: "older, full", idle: true, after: "Not-Run: 1", want: OlderConnection},
		{name: "older, replaced under the same id", idle: true, isReplaced: true, after: "Target: t", want: LateConnection},
		{name: "older, unnamed", idle: true, after: "Target: t\r\nUnnamed: 1", want: OlderConnection},
		{name: "meanwhile", takes: time.Second, after: "Other: 1", want: OpenMeanwhile},
		{name: "meanwhile, replaced under the same id", takes: time.Second, isReplaced: true, after: "Target: t", want: LateConnection},
		{name: "same start", isReplaced: true, after: "Start: 7", want: SameStart},
		{name: "another start", after: "Target: t\r\nStart: 8", want: Replaced},
		{name: "older, entry of an earlier start", idle: true, after: "Target: t\r\nStart: 8", want: OlderConnection},
		{name: "same id, after a pause", isPaused: true, after: "Target: t", want: LateConnection},
		{name: "another target", idle: true, after: "Target: u", want: Replaced},
		{name: "misdirected", isReplaced: true, after: "Misdirected: 1", want: Replaced},
		{name: "same id", after: "Target: t", want: SameID},
		{name: "same id, late head", headTakes: time.Second, after: "Target: t", want: LateConnection},
		{name: "same id, started again", startedAgain: true, after: "Target: t", want: StartedAgain},
		{name: "meanwhile, started again", takes: time.Second, startedAgain: true, after: "Target: t", want: StartedAgain},
		{name: "older, started again", idle: true, startedAgain: true, after: "Target: t", want: OlderConnection},
		{name: "no id", after: "Other: 1", want: LateConnection},
		{name: "ended", isReplaced: true, after: "CLOSE", want: NoAnswer},
		{name: "mute", idle: true, after: "MUTE", want: NoTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				target := &standIn{}
				witnesses := newWitnesses(target)
				witnesses.WasPaused = func() bool { return test.isPaused }
				connections := witnesses.Connections
				if test.idle {
					c.Assert(connections.Warm(t.Context(), "a"), qt.IsNil)
				}
				time.Sleep(time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				sentAt := time.Now()
				time.Sleep(test.headTakes)
				watch := witnesses.Begin(&balance.Target{ID: "t", Address: "a", StartedAt: time.UnixMilli(7)}, "q", sentAt)
				time.Sleep(test.takes)
				if test.startedAgain {
					witnesses.SetTargets([]balance.Target{{ID: "t", Address: "a", StartedAt: time.UnixMilli(9)}})
				}
				watch.Heard(time.Now())
				synctest.Wait()
				target.set(test.after)
				if test.isReplaced {
					target.closeAll()
				}
				witnesses.ask(watch)
				got := NoTime
				select {
				case got = <-watch.result:
				case <-ctx.Done():
				}
				c.Assert(got, qt.Equals, test.want)
				watch.End()
				time.Sleep(2 * keepTime)
				witnesses.mutex.Lock()
				c.Assert(witnesses.targets, qt.HasLen, 0)
				witnesses.mutex.Unlock()
				c.Assert(connections.OpenCount("a"), qt.Equals, 0)
				target.closeAll()
			})
		})
	}
}

func newWitnesses(target *standIn) *Witnesses {
	return &Witnesses{
		Connections: &upstream.Connections{Dial: target.dial, DialTimeout: time.Second, Identify: func(_ int, header http.Header) upstream.Identity {
			if header.Get("Unnamed") != "" {
				return upstream.Identity{}
			}
			return upstream.Identity{ID: header.Get("Id")}
		}},
		Events: &timeline.Recorder{},
		Question: func(*balance.Target) Question {
			return func(id string) *upstream.Request {
				return &upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, ID: id}
			}
		},
		Identify: func(_ int, header http.Header, _ []byte) Identity {
			identity := Identity{Target: header.Get("Target"), Misdirected: header.Get("Misdirected") != ""}
			if start := header.Get("Start"); start != "" {
				identity.StartedAt = time.UnixMilli(int64(start[0] - '0'))
			}
			return identity
		},
	}
}

// standIn accepts connections and replies to each request alike.
type standIn struct {
	mutex sync.Mutex
	conns []net.Conn
	text  string
}

func (standIn *standIn) set(text string) {
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	standIn.text = text
}

func (standIn *standIn) reply() string {
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	return standIn.text
}

func (standIn *standIn) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	standIn.conns = append(standIn.conns, far)
	go standIn.serve(far)
	return near, nil
}

func (standIn *standIn) closeAll() {
	standIn.mutex.Lock()
	defer standIn.mutex.Unlock()
	for _, conn := range standIn.conns {
		_ = conn.Close()
	}
	standIn.conns = nil
}

func (standIn *standIn) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		text := standIn.reply()
		if err != nil || text == "CLOSE" {
			return
		}
		if text == "MUTE" {
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(reply, "%", request.Header.Get("Id"))+text+"\r\n\r\n")
	}
}

// TestAnswersAfterAClosedConnection guards against sound answers that are broken as the target
// closes the connection over which it was asked about an earlier one.
func TestAnswersAfterAClosedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		target := &standIn{text: "Target: t\r\nConnection: close"}
		witnesses := newWitnesses(target)
		first := witnesses.Begin(&balance.Target{ID: "t", Address: "a"}, "q", time.Now())
		second := witnesses.Begin(&balance.Target{ID: "t", Address: "a"}, "r", time.Now())
		time.Sleep(time.Second)
		first.Heard(time.Now())
		c.Assert(first.Confirm(t.Context()), qt.IsTrue)
		time.Sleep(time.Second)
		second.Heard(time.Now())
		c.Assert(second.Confirm(t.Context()), qt.IsTrue)
		first.End()
		second.End()
		time.Sleep(2 * keepTime)
		target.closeAll()
	})
}

// TestUnnamedAnswers guards against sound answers that are broken as the target's answers to
// questions name no request: after the first, another connection is needed.
func TestUnnamedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		target := &standIn{text: "Target: t\r\nUnnamed: 1"}
		witnesses := newWitnesses(target)
		for range 5 {
			watch := witnesses.Begin(&balance.Target{ID: "t", Address: "a"}, "q", time.Now())
			time.Sleep(10 * time.Millisecond)
			c.Assert(watch.Confirm(t.Context()), qt.IsTrue)
			watch.End()
		}
		time.Sleep(2 * keepTime)
		target.closeAll()
	})
}
