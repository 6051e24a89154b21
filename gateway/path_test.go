package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
	"nutmegfield.example/detour"
	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

// TestGrantOfAPausedHostIsNotUsed guards against a host that was paused between the grant of
// a target and the write: the target may have got other requests since, and the request
// would name more time than its caller still waits.
func TestGrantOfAPausedHostIsNotUsed(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(func(route *route.Route) { route.Timeout = 3 * time.Second }), 2)
	fixture.replies = []string{okReply}
	dial := fixture.gateway.Connections.Dial
	var dialled []string
	fixture.gateway.Connections.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dialled = append(dialled, address); len(dialled) == 1 {
			time.Sleep(maxSendDelay + 50*time.Millisecond)
		}
		return dial(ctx, network, address)
	}
	status, _ := fixture.post("/r/a", "x")
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(dialled, qt.HasLen, 2)
	c.Assert(dialled[0], qt.Not(qt.Equals), dialled[1])
	c.Assert(fixture.receivedRequests(), qt.HasLen, 1)
}

// TestOwnCutIsNoEvidence guards against targets that are held to have ended, and requests that
// are held to have crashed them, as this host alone does not reach them.
func TestOwnCutIsNoEvidence(t *testing.T) {
	c := qt.New(t)
	target := &balance.Target{ID: "t", Pool: testPool, Address: "target"}
	for _, test := range []struct {
		name string
		// others are the addresses of the pool's other targets that accept connections.
		others     []string
		isEvidence bool
	}{
		{name: "the host reaches no target"},
		{name: "the host reaches another target", others: []string{"other"}, isEvidence: true},
	} {
		c.Run(test.name, func(c *qt.C) {
			refuse := func(context.Context, string, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			targets := []balance.Target{*target}
			for _, address := range test.others {
				targets = append(targets, balance.Target{ID: address, Pool: testPool, Address: address})
			}
			host := &host{
				gateway: &Gateway{Connections: &upstream.Connections{Dial: refuse}},
				detours: &detour.Client{Hosts: func(string) []detour.Host { return nil }},
				paths: &detour.Paths{
					ConnectTimeout: dialTimeout, Events: &timeline.Recorder{},
					Connect: func(_ context.Context, address string) error {
						if address == target.Address {
							return syscall.ECONNREFUSED
						}
						return nil
					},
				},
			}
			host.paths.SetTargets(targets)
			err := host.checkTarget(c.Context(), target)
			c.Assert(err, qt.IsNotNil)
			c.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.Equals, test.isEvidence)
		})
	}
}

// TestCheckOfATargetOutOfReachIsQuick guards against answers without a length that are taken
// for whole although their target has ended with them: the check must end within maxCheckWait,
// and a connection of a host that reaches no target hangs for longer.
func TestCheckOfATargetOutOfReachIsQuick(t *testing.T) {
	c := qt.New(t)
	hang := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	target := &balance.Target{ID: "t", Pool: testPool, Address: "target"}
	host := &host{
		gateway: &Gateway{Connections: &upstream.Connections{
			Dial: func(ctx context.Context, _, _ string) (net.Conn, error) { return nil, hang(ctx) },
		}},
		detours: &detour.Client{Hosts: func(string) []detour.Host { return nil }},
		paths: &detour.Paths{
			ConnectTimeout: dialTimeout, Events: &timeline.Recorder{},
			Connect: func(ctx context.Context, _ string) error { return hang(ctx) },
		},
	}
	host.paths.SetTargets([]balance.Target{*target})
	c.Assert(host.paths.Confirm(c.Context(), testPool), qt.IsFalse)
	began := time.Now()
	err := host.checkTarget(c.Context(), target)
	c.Assert(errors.Is(err, errNotReached), qt.IsTrue)
	c.Assert(time.Since(began) < maxCheckWait, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
}
