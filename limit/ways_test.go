package limit

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var compareWays = flag.Bool("limit.compare", false, "simulate the ways to keep a limit that docs/design/limits.md weighs")

// way is a way to keep a limit over hosts, for a fleet with one target.
type way struct {
	name string
	// start prepares the fleet; it sets admit and tick.
	start func(fleet *fleet)
}

// ways are the ways that were weighed. Each host knows the limit and the number of hosts
// from the start.
var ways = []way{
	{name: "shares by members", start: startShares},
	{name: "rates told between hosts", start: startRates},
	{name: "leased shares", start: startLeases},
	{name: "one host for a target", start: func(*fleet) {}},
}

// startShares gives each host an even part of the limit, in a bucket of its own that
// holds a request at least.
func startShares(fleet *fleet) {
	level := map[*fleetHost]float64{}
	rate := fleet.targets[0].rate / float64(len(fleet.hosts))
	fleet.tick = func() {
		for _, host := range fleet.hosts {
			level[host] = min(level[host]+rate*fleetStep.Seconds(), max(1, rate*burstTime.Seconds()))
		}
	}
	fleet.admit = func(host *fleetHost, _ *fleetTarget) bool {
		if level[host] < 1 {
			return false
		}
		level[host]--
		return true
	}
}

// startRates lets each host tell its number of requests to all others every 25 ms, or
// every half second if there are more than 16, and charge what it hears to a bucket of
// the whole limit.
func startRates(fleet *fleet) {
	const directHosts = 16
	interval := 25 * time.Millisecond
	if len(fleet.hosts) > directHosts {
		interval = 500 * time.Millisecond
	}
	rate := fleet.targets[0].rate
	level := map[*fleetHost]float64{}
	spent := map[*fleetHost]int{}
	toldAt := time.Now()
	fleet.tick = func() {
		for _, host := range fleet.hosts {
			level[host] = min(level[host]+rate*fleetStep.Seconds(), burstBase+rate*burstTime.Seconds())
		}
		if time.Since(toldAt) < interval {
			return
		}
		toldAt = time.Now()
		for _, host := range fleet.hosts {
			for _, other := range fleet.hosts {
				if other != host {
					level[other] -= float64(spent[host])
				}
			}
			fleet.messages += min(len(fleet.hosts)-1, directHosts)
		}
		clear(spent)
	}
	fleet.admit = func(host *fleetHost, _ *fleetTarget) bool {
		if level[host] < 1 {
			return false
		}
		level[host]--
		spent[host]++
		return true
	}
}

// startLeases keeps the bucket in the platform's store. A host with waiting requests
// takes from it what they need for the next second, by a conditional write of 40 ms;
// what is not used then is lost.
func startLeases(fleet *fleet) {
	const writeTime, leaseTime = 40 * time.Millisecond, time.Second
	rate := fleet.targets[0].rate
	level := 0.0
	held := map[*fleetHost][]time.Time{}
	busyUntil := time.Now()
	fleet.tick = func() {
		now := time.Now()
		level = min(level+rate*fleetStep.Seconds(), burstBase+rate*burstTime.Seconds())
		for _, host := range fleet.hosts {
			for len(held[host]) > 0 && now.After(held[host][0]) {
				held[host] = held[host][1:]
			}
		}
		first := fleet.random.IntN(len(fleet.hosts))
		for i := range fleet.hosts {
			host := fleet.hosts[(first+i)%len(fleet.hosts)]
			if len(host.waiting) == 0 || len(held[host]) > 0 || now.Before(busyUntil) {
				continue
			}
			busyUntil = now.Add(writeTime)
			fleet.messages++
			for range min(int(math.Floor(level)), len(host.waiting)) {
				level--
				held[host] = append(held[host], now.Add(leaseTime))
			}
		}
	}
	fleet.admit = func(host *fleetHost, _ *fleetTarget) bool {
		if len(held[host]) == 0 {
			return false
		}
		held[host] = held[host][1:]
		return true
	}
}

// TestCompareWays prints the table of docs/design/limits.md: for each way, number of
// hosts, limit and traffic the most requests in 4 s beside what is allowed, the part of
// the limit that was used, and the messages or store calls a second of all hosts.
func TestCompareWays(t *testing.T) {
	if !*compareWays {
		t.Skip("needs -limit.compare")
	}
	for _, hosts := range []int{3, 8, 64, 330} {
		for _, rate := range []float64{0.3, 3, 30, 200} {
			for _, firstPart := range []float64{0, 1} {
				for _, way := range ways {
					synctest.Test(t, func(t *testing.T) {
						fleet := newFleet(qt.New(t), 1, hosts, 1, rate, max(4, 2*rate))
						fleet.firstPart = firstPart
						way.start(fleet)
						startedAt := time.Now()
						fleet.run(settleTime)
						from := time.Now()
						fleet.run(20 * time.Second)
						excess, got := fleet.targets[0].excess(from)
						fmt.Printf("| %d | %v | %v | %s | %d of %.0f | %.2f | %.0f |\n", hosts, rate, firstPart, way.name,
							got, float64(got)-excess, fleet.used(from), float64(fleet.messages)/time.Since(startedAt).Seconds())
					})
				}
			}
		}
	}
}
