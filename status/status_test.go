package status_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/peer"
	"nutmegfield.example/standin"
	"nutmegfield.example/status"
)

const (
	zones = 5
	span  = 20 * status.Interval
)

// callsASecond is what the summaries of all zones may cost the platform: a
// read and a write for each zone in the shortest interval.
const callsASecond = 2 * zones / (float64(status.Interval/time.Second) / 2)

// TestCallsDoNotGrow counts the calls of fleets of each size.
func TestCallsDoNotGrow(t *testing.T) {
	for _, count := range []int{8, 66, 330} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				fake := &standin.Platform{}
				stop := start(fake, hosts(count))
				time.Sleep(span)
				stop()
				calls := 0
				for _, number := range fake.Calls() {
					calls += number
				}
				rate := float64(calls) / span.Seconds()
				c.Logf("%d hosts: %.2f calls a second", count, rate)
				c.Assert(rate <= callsASecond, qt.IsTrue)
			})
		})
	}
}

func TestSummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fake := &standin.Platform{}
		// A summary whose answer is lost is no trouble.
		fake.SetFaults(standin.PlatformFaults{LoseAnswers: true})
		stop := start(fake, hosts(10))
		time.Sleep(2 * status.Interval)
		stop()
		object, err := fake.Get(context.Background(), status.ObjectKind, "a")
		c.Assert(err, qt.IsNil)
		var summary status.Summary
		c.Assert(json.Unmarshal(object.Value, &summary), qt.IsNil)
		c.Assert(summary.Hosts, qt.HasLen, 2)
		c.Assert(summary.Hosts[0].ID, qt.Equals, "a000")
		c.Assert(summary.Others, qt.DeepEquals, map[string]int{"b": 2, "c": 2, "d": 2, "e": 2})
		for _, host := range summary.Hosts {
			c.Assert(host.Version, qt.Equals, int64(7))
		}
	})
}

func hosts(count int) []peer.Host {
	var hosts []peer.Host
	for i := range count {
		zone := string(rune('a' + i%zones))
		hosts = append(hosts, peer.Host{ID: fmt.Sprintf("%s%03d", zone, i), Zone: zone})
	}
	return hosts
}

// start runs a writer on each host; all have heard of version 7 everywhere.
func start(fake *standin.Platform, hosts []peer.Host) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, self := range hosts {
		members := &peer.Members{Self: self}
		members.SetHosts(hosts)
		members.SetVersion(7)
		writer := &status.Writer{API: fake.API(), Members: members}
		for _, host := range hosts {
			writer.Heard(host.ID, 7)
		}
		group.Go(func() { _ = writer.Run(ctx) })
	}
	return func() {
		cancel()
		group.Wait()
	}
}
