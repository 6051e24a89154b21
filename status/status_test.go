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
	zones    = 5
	duration = 20 * status.Interval
)

// maxCallsPerSecond allows a read and a write for each zone in the shortest
// interval, which is half of status.Interval.
const maxCallsPerSecond = 2 * zones / (float64(status.Interval/time.Second) / 2)

// TestCallRateIndependentOfHostCount checks that the rate of platform calls stays
// within the same limit for every number of hosts.
func TestCallRateIndependentOfHostCount(t *testing.T) {
	for _, count := range []int{8, 66, 330} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				platform := &standin.Platform{}
				stop := startWriters(platform, newHosts(count))
				time.Sleep(duration)
				stop()
				calls := 0
				for _, number := range platform.Calls() {
					calls += number
				}
				rate := float64(calls) / duration.Seconds()
				c.Logf("%d hosts: %.2f calls a second", count, rate)
				c.Assert(rate <= maxCallsPerSecond, qt.IsTrue)
			})
		})
	}
}

func TestSummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &standin.Platform{}
		// The summary is stored although the response to the write is lost.
		platform.SetFaults(standin.PlatformFaults{LoseAnswers: true})
		stop := startWriters(platform, newHosts(10))
		time.Sleep(2 * status.Interval)
		stop()
		object, err := platform.Get(context.Background(), status.ObjectKind, "a")
		c.Assert(err, qt.IsNil)
		var summary status.Summary
		c.Assert(json.Unmarshal(object.Value, &summary), qt.IsNil)
		c.Assert(summary.Hosts, qt.HasLen, 2)
		c.Assert(summary.Hosts[0].ID, qt.Equals, "a000")
		c.Assert(summary.HostsByOtherZone, qt.DeepEquals, map[string]int{"b": 2, "c": 2, "d": 2, "e": 2})
		for _, host := range summary.Hosts {
			c.Assert(host.Version, qt.Equals, int64(7))
		}
	})
}

func newHosts(count int) []peer.Host {
	var hosts []peer.Host
	for i := range count {
		zone := string(rune('a' + i%zones))
		hosts = append(hosts, peer.Host{ID: fmt.Sprintf("%s%03d", zone, i), Zone: zone})
	}
	return hosts
}

// startWriters runs a writer for each host; each has received version 7 from
// every host.
func startWriters(platform *standin.Platform, hosts []peer.Host) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, self := range hosts {
		members := &peer.Members{Self: self}
		members.SetHosts(hosts)
		members.SetVersion(7)
		writer := &status.Writer{API: platform.API(), Members: members}
		for _, host := range hosts {
			writer.RecordVersion(host.ID, 7)
		}
		group.Go(func() { _ = writer.Run(ctx) })
	}
	return func() {
		cancel()
		group.Wait()
	}
}
