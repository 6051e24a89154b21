package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/discovery"
)

// TestVerificationGrowsOld guards against hosts that believe for ever that they have the newest
// routes, as each takes the others' word for it: while datagrams take longer than assumed, a
// read of the platform seemed younger at each host that heard of it, and came back younger
// than it had been told.
func TestVerificationGrowsOld(t *testing.T) {
	const (
		delay   = 400 * time.Millisecond
		elapsed = 15 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		followers := map[string]*discovery.Follower{}
		for _, name := range []string{"a", "b", "c"} {
			follower := &discovery.Follower{}
			followers[name] = follower
			network.start(t, name, func(host *Exchange) {
				send := host.Send
				host.Send = func(to string, datagram []byte) { time.AfterFunc(delay, func() { send(to, datagram) }) }
				host.Versions = func() Versions { return Versions{Configuration: 10, Verified: follower.Verified()} }
				host.OnVerified = func(_ int64, verification discovery.Verification) { follower.MarkVerified(verification) }
			}, "a")
		}
		followers["a"].MarkVerified(discovery.NewVerification())
		time.Sleep(elapsed)
		for name, follower := range followers {
			// A host may hear of the read over one other, and each way seems shorter than it is.
			age := time.Since(follower.VerifiedAt())
			c.Check(age > elapsed-3*delay, qt.IsTrue, qt.Commentf("%s believes in a read of %s ago", name, age))
		}
	})
}
