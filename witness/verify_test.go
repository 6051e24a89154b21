package witness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

// TestVerify guards against a target that has started again under its id and is taken for the one that
// its entry names, and against a question for each request.
func TestVerify(t *testing.T) {
	c := qt.New(t)
	var body, id atomic.Value
	var asked atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		asked.Add(1)
		writer.Header().Set("Id", request.Header.Get("Id"))
		writer.Header().Set("Target", id.Load().(string))
		_, _ = fmt.Fprint(writer, body.Load())
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	witnesses := &Witnesses{
		Connections: &upstream.Connections{
			Dial: (&net.Dialer{}).DialContext, DialTimeout: time.Second,
			Identify: func(_ int, header http.Header) upstream.Identity { return upstream.Identity{ID: header.Get("Id")} },
		},
		Events: &timeline.Recorder{},
		Question: func(*balance.Target) Question {
			return func(id string) *upstream.Request {
				return &upstream.Request{Method: http.MethodGet, Target: "/", Host: address, Header: http.Header{"Id": {id}}, ID: id}
			}
		},
		Identify: func(status int, header http.Header, body []byte) Identity {
			var milliseconds int64
			_, _ = fmt.Sscan(string(body), &milliseconds)
			return Identity{Target: header.Get("Target"), StartedAt: time.UnixMilli(milliseconds), Misdirected: status == http.StatusMisdirectedRequest}
		},
	}
	target := &balance.Target{ID: "t", Address: address, StartedAt: time.UnixMilli(7000)}
	verify := func(openedAt time.Time) error { return witnesses.Verify(context.Background(), target, openedAt) }
	for _, test := range []struct {
		body, id string
		isSame   bool
	}{{"7000", "t", true}, {"7000", "", true}, {"7001", "t", false}, {"6999", "t", false}, {"", "t", false}, {"0", "t", false}, {"7000", "u", false}} {
		body.Store(test.body)
		id.Store(test.id)
		c.Check(verify(time.Now()) == nil, qt.Equals, test.isSame, qt.Commentf("%+v", test))
	}
	// What was found holds for connections that were open before.
	body.Store("7000")
	id.Store("t")
	openedAt := time.Now()
	c.Assert(verify(openedAt), qt.IsNil)
	before := asked.Load()
	c.Assert(verify(openedAt), qt.IsNil)
	c.Assert(asked.Load(), qt.Equals, before)
	body.Store("9000")
	c.Assert(verify(time.Now()), qt.IsNotNil)
	// Entries that name another start forget it.
	witnesses.SetTargets([]balance.Target{{ID: "t", StartedAt: time.UnixMilli(9000)}})
	c.Assert(verify(openedAt), qt.IsNotNil)
	server.Close()
	c.Assert(verify(time.Now()), qt.IsNotNil)
}
