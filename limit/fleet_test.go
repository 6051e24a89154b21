package limit

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// fleetStep is the resolution of a simulation.
	fleetStep = 10 * time.Millisecond
	// checkedWindow is the length of the spans in which a target may get windowFactor
	// times what its limit allows and windowSlack requests more, once settleTime has
	// passed since it named the limit, from hosts that were told noticeTime before.
	checkedWindow = 4 * time.Second
	windowFactor  = 1.5
	windowSlack   = 5
	settleTime    = 3 * time.Second
	noticeTime    = 500 * time.Millisecond
	// waitLimit is how long a request waits for a permit.
	waitLimit = 400 * time.Millisecond
	// fleetSilence is the time after which a host that is not heard is silent, and
	// fleetMemory that after which it is forgotten.
	fleetSilence = time.Second
	fleetMemory  = time.Minute
	// fleetZones is the number of zones that the hosts are in.
	fleetZones = 3
	// usualAnswerTime is the time until a target answers, slowAnswerTime that of a slow
	// one.
	usualAnswerTime = 30 * time.Millisecond
	slowAnswerTime  = 3 * time.Second
)

// fleet is a simulation of hosts and of targets that name limits, on a paused clock. The
// hosts' network delays messages by 2 to 12 ms and loses a part of them.
type fleet struct {
	*qt.C
	random  *rand.Rand
	hosts   []*fleetHost
	zones   map[string]string
	targets []*fleetTarget
	// pending are messages and answers on their way, lost the fraction of messages that
	// get lost.
	pending []delivery
	lost    float64
	// demand is the requests a second of all hosts, firstPart the part of them that
	// comes to the first host beside its share of the others.
	demand, firstPart float64
	// answerTime is the time until a target answers.
	answerTime time.Duration
	// admit says whether a host may send a request to a target; nil asks its limiter.
	admit func(host *fleetHost, target *fleetTarget) bool
	// tick is called in each step; it may be nil.
	tick     func()
	messages int
	refused  int
}

type delivery struct {
	at    time.Time
	apply func()
}

type fleetHost struct {
	name, zone string
	limiter    *Limiter
	// group is the part of the fleet that the host hears, while it is cut.
	group int
	// isDown means that it does not run, and disturbedAt is when that last changed.
	isDown      bool
	disturbedAt time.Time
	lastHeard   map[string]time.Time
	members     *Members
	// waiting are the arrival times of requests.
	waiting []time.Time
}

type fleetTarget struct {
	id       Target
	rate     float64
	namedAt  time.Time
	arrivals []fleetArrival
	told     map[*fleetHost]time.Time
	// isCut tells from which hosts requests and answers don't arrive now, but later:
	// those in held. It may be nil.
	isCut func(host *fleetHost) bool
	held  []func()
	// highest is the highest rate that counts until settleTime after the rate fell.
	highest   float64
	changedAt time.Time
}

type fleetArrival struct {
	host *fleetHost
	at   time.Time
}

func newFleet(c *qt.C, seed uint64, hosts, targets int, rate, demand float64) *fleet {
	fleet := &fleet{C: c, random: rand.New(rand.NewPCG(seed, seed)), demand: demand, zones: map[string]string{}, answerTime: usualAnswerTime}
	for i := range targets {
		fleet.targets = append(fleet.targets, &fleetTarget{
			id: Target(1000 + 7*i), rate: rate, namedAt: time.Now(), told: map[*fleetHost]time.Time{}, highest: rate, changedAt: time.Now(),
		})
	}
	for i := range hosts {
		fleet.addHost(fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250))
	}
	fleet.hear()
	return fleet
}

func (fleet *fleet) addHost(name string) {
	host := &fleetHost{name: name, zone: fmt.Sprintf("z%d", len(fleet.hosts)%fleetZones), lastHeard: map[string]time.Time{}}
	fleet.startHost(host)
	fleet.hosts = append(fleet.hosts, host)
	fleet.zones[name] = host.zone
}

// startHost starts a host that knows nothing.
func (fleet *fleet) startHost(host *fleetHost) {
	host.limiter = &Limiter{Address: host.name, Members: func() *Members { return host.members }}
	names := map[Target]string{}
	for _, target := range fleet.targets {
		names[target.id] = target.id.String()
	}
	host.limiter.SetTargets(names)
	host.isDown, host.disturbedAt, host.waiting = false, time.Now(), nil
	host.members = &Members{Known: max(1, len(fleet.hosts))}
}

// hear updates which hosts hear each other.
func (fleet *fleet) hear() {
	now := time.Now()
	for _, host := range fleet.hosts {
		if host.isDown {
			continue
		}
		members := &Members{Known: 1, Zones: fleet.zones}
		for _, other := range fleet.hosts {
			if other == host {
				continue
			}
			if !other.isDown && other.group == host.group {
				host.lastHeard[other.name] = now
			}
			heard, ok := host.lastHeard[other.name]
			if !ok || now.Sub(heard) > fleetMemory {
				continue
			}
			members.Known++
			if now.Sub(heard) <= fleetSilence {
				members.Others = append(members.Others, other.name)
			}
		}
		if members.Known != host.members.Known || !slices.Equal(members.Others, host.members.Others) {
			host.members = members
		}
	}
}

// run simulates a span of time.
func (fleet *fleet) run(span time.Duration) {
	for step := 0; step < int(span/fleetStep); step++ {
		time.Sleep(fleetStep)
		if step%(10+len(fleet.hosts)/4) == 0 {
			fleet.hear()
		}
		fleet.deliver()
		fleet.arrive()
		if fleet.tick != nil {
			fleet.tick()
		}
		for _, host := range fleet.hosts {
			if !host.isDown {
				fleet.serve(host)
				fleet.send(host)
			}
		}
	}
}

// arrive adds the requests of a step.
func (fleet *fleet) arrive() {
	expected := fleet.demand * fleetStep.Seconds()
	for expected > 0 {
		if fleet.random.Float64() < expected {
			host := fleet.hosts[fleet.random.IntN(len(fleet.hosts))]
			if fleet.firstPart > 0 && fleet.random.Float64() < fleet.firstPart {
				host = fleet.hosts[0]
			}
			if !host.isDown {
				host.waiting = append(host.waiting, time.Now())
			}
		}
		expected--
	}
}

// serve sends the waiting requests of a host that may be sent, and refuses those that
// have waited too long.
func (fleet *fleet) serve(host *fleetHost) {
	now := time.Now()
	for len(host.waiting) > 0 && now.Sub(host.waiting[0]) > waitLimit {
		host.waiting = host.waiting[1:]
		fleet.refused++
	}
	first := fleet.random.IntN(len(fleet.targets))
	for i := range fleet.targets {
		target := fleet.targets[(first+i)%len(fleet.targets)]
		for len(host.waiting) > 0 && fleet.take(host, target) {
			host.waiting = host.waiting[1:]
			fleet.sendRequest(host, target)
		}
	}
	for _, target := range fleet.targets {
		host.limiter.Want(target.id, len(host.waiting), 0)
	}
}

// take reports whether a host may send a request to a target, and uses the permit.
func (fleet *fleet) take(host *fleetHost, target *fleetTarget) bool {
	if fleet.admit != nil {
		return fleet.admit(host, target)
	}
	if host.limiter.Rate(target.id) == 0 {
		return true
	}
	return host.limiter.Permits(target.id) > 0 && host.limiter.Take(target.id)
}

// sendRequest sends a request, which reaches the target at once or when it is no longer
// cut off.
func (fleet *fleet) sendRequest(host *fleetHost, target *fleetTarget) {
	sentAt := time.Now()
	arrive := func() { fleet.arriveAt(target, host, sentAt) }
	target.pass(host, arrive)
}

// pass calls a function now, or when the host is no longer cut off from the target.
func (target *fleetTarget) pass(host *fleetHost, arrive func()) {
	if target.isCut != nil && target.isCut(host) {
		target.held = append(target.held, arrive)
		return
	}
	arrive()
}

// cut cuts hosts off from the targets for a while.
func (fleet *fleet) cut(span time.Duration, isCut func(host *fleetHost) bool) {
	for _, target := range fleet.targets {
		target.isCut = isCut
	}
	fleet.run(span)
	for _, target := range fleet.targets {
		target.isCut = nil
		for _, arrive := range target.held {
			arrive()
		}
		target.held = nil
	}
}

func (fleet *fleet) arriveAt(target *fleetTarget, host *fleetHost, sentAt time.Time) {
	now := time.Now()
	target.arrivals = append(target.arrivals, fleetArrival{host: host, at: now})
	rate := target.rate
	answer := func() {
		if host.isDown {
			return
		}
		if _, ok := target.told[host]; !ok && rate > 0 {
			target.told[host] = time.Now()
		}
		host.limiter.Observe(target.id, rate, sentAt)
	}
	fleet.pending = append(fleet.pending, delivery{at: now.Add(fleet.answerTime), apply: func() { target.pass(host, answer) }})
}

// send sends the messages of a host's limiter.
func (fleet *fleet) send(host *fleetHost) {
	if fleet.admit != nil {
		return
	}
	for address, message := range host.limiter.Messages() {
		fleet.messages++
		if fleet.random.Float64() < fleet.lost {
			continue
		}
		fleet.pending = append(fleet.pending, delivery{
			at: time.Now().Add(2*time.Millisecond + time.Duration(fleet.random.IntN(10))*time.Millisecond),
			apply: func() {
				for _, other := range fleet.hosts {
					if other.name == address && !other.isDown && other.group == host.group && slices.Contains(other.members.Others, host.name) {
						other.limiter.Receive(host.name, message)
					}
				}
			},
		})
	}
}

func (fleet *fleet) deliver() {
	now := time.Now()
	due := slices.Clone(fleet.pending)
	fleet.pending = fleet.pending[:0]
	for _, delivery := range due {
		if delivery.at.After(now) {
			fleet.pending = append(fleet.pending, delivery)
			continue
		}
		delivery.apply()
	}
}

// name lets a target name another limit, 0 for none.
func (target *fleetTarget) name(rate float64) {
	target.highest, target.changedAt = max(target.highest, rate), time.Now()
	if rate == 0 || target.rate == 0 {
		target.namedAt = time.Now()
	}
	target.rate = rate
}

// excess returns the most by which the target got more than it may in a window that ends
// after a time, and the requests in it.
func (target *fleetTarget) excess(from time.Time) (excess float64, got int) {
	first := 0
	counted := func(arrival fleetArrival) bool {
		told, ok := target.told[arrival.host]
		isDisturbed := arrival.at.Sub(arrival.host.disturbedAt) < settleTime && !arrival.at.Before(arrival.host.disturbedAt)
		return ok && arrival.at.Sub(told) >= noticeTime && !isDisturbed
	}
	allowed := windowFactor*target.highest*checkedWindow.Seconds() + windowSlack
	excess = -allowed
	for last, arrival := range target.arrivals {
		for !target.arrivals[first].at.After(arrival.at.Add(-checkedWindow)) {
			first++
		}
		if arrival.at.Before(from) {
			continue
		}
		count := 0
		for _, other := range target.arrivals[first : last+1] {
			if counted(other) {
				count++
			}
		}
		if float64(count)-allowed > excess {
			excess, got = float64(count)-allowed, count
		}
	}
	return excess, got
}

// used returns the part of the limits that was used since a time.
func (fleet *fleet) used(from time.Time) float64 {
	got, allowed := 0, 0.0
	for _, target := range fleet.targets {
		allowed += target.rate * time.Since(from).Seconds()
		for _, arrival := range target.arrivals {
			if arrival.at.After(from) {
				got++
			}
		}
	}
	return float64(got) / allowed
}

// TestFleet guards against targets that get more from all hosts together than the limit
// that they name, whatever happens to the hosts, and against limits that aren't used.
//
// Each line of testdata/fleet.txt is a simulation, run with seeds 1 to 3.
func TestFleet(t *testing.T) {
	text, err := os.ReadFile("testdata/fleet.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var name, trouble string
		var hosts, targets int
		var rate, demand, used float64
		_, err := fmt.Sscan(line, &name, &hosts, &targets, &rate, &demand, &trouble, &used)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("line %q", line))
		for seed := range uint64(3) {
			t.Run(name+"/"+strconv.FormatUint(1+seed, 10), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					runFleet(qt.New(t), newFleet(qt.New(t), 1+seed, hosts, targets, rate, demand), trouble, used)
				})
			})
		}
	}
}

func runFleet(c *qt.C, fleet *fleet, trouble string, minUsed float64) {
	startedAt := time.Now()
	switch trouble {
	case "oneHost":
		fleet.firstPart = 1
	case "hostLinkCut":
		fleet.firstPart = 0.9
	case "lossy":
		fleet.lost = 0.1
	case "slow", "slowLinkCut":
		fleet.answerTime = slowAnswerTime
		// Hosts learn of the limits by their first answers.
		fleet.run(slowAnswerTime)
	}
	fleet.run(settleTime)
	from := time.Now()
	fleet.disturb(trouble)
	if trouble == "ends" {
		from = time.Now()
	}
	fleet.run(20 * time.Second)
	for _, target := range fleet.targets {
		excess, got := target.excess(startedAt.Add(settleTime))
		c.Check(excess <= 0, qt.IsTrue, qt.Commentf("%d requests in %s at a limit of %v", got, checkedWindow, target.highest))
	}
	used := fleet.used(from)
	c.Logf("used %.2f, %d refused, %.1f messages a second a host", used, fleet.refused,
		float64(fleet.messages)/time.Since(startedAt).Seconds()/float64(len(fleet.hosts)))
	c.Check(used >= minUsed, qt.IsTrue, qt.Commentf("used %.2f", used))
}

// disturb lets something happen to the fleet.
func (fleet *fleet) disturb(trouble string) {
	random := fleet.random
	switch trouble {
	case "none", "oneHost", "lossy", "slow":
	case "joins":
		for range 4 {
			fleet.run(500 * time.Millisecond)
			fleet.addHost(fmt.Sprintf("10.1.0.%d:7600", len(fleet.hosts)))
		}
	case "restarts":
		for range 8 {
			fleet.run(time.Second)
			host := fleet.hosts[random.IntN(len(fleet.hosts))]
			host.isDown = true
			fleet.run(time.Duration(random.IntN(1500)) * time.Millisecond)
			fleet.startHost(host)
		}
	case "freezes":
		for range 6 {
			fleet.run(time.Second)
			host := fleet.hosts[random.IntN(len(fleet.hosts))]
			host.isDown = true
			fleet.run(time.Duration(300+random.IntN(3000)) * time.Millisecond)
			host.isDown, host.disturbedAt = false, time.Now()
		}
	case "halves", "thirds":
		parts := map[string]int{"halves": 2, "thirds": 3}[trouble]
		for range 3 {
			for i, host := range fleet.hosts {
				host.group = i % parts
			}
			fleet.run(5 * time.Second)
			for _, host := range fleet.hosts {
				host.group = 0
			}
			fleet.run(3 * time.Second)
		}
	case "linkCut", "slowLinkCut":
		for range 2 {
			fleet.cut(3500*time.Millisecond, func(*fleetHost) bool { return true })
			fleet.run(5 * time.Second)
		}
	case "hostLinkCut":
		for range 2 {
			fleet.cut(3500*time.Millisecond, func(host *fleetHost) bool { return host == fleet.hosts[0] })
			fleet.run(5 * time.Second)
		}
	case "zoneLinkCut":
		for range 2 {
			fleet.cut(3500*time.Millisecond, func(host *fleetHost) bool { return host.zone == fleet.hosts[0].zone })
			fleet.run(5 * time.Second)
		}
	case "falls":
		for _, target := range fleet.targets {
			target.name(target.rate / 4)
		}
		fleet.run(settleTime + checkedWindow)
		for _, target := range fleet.targets {
			// What came before the fall no longer counts.
			target.highest = target.rate
			target.arrivals = slices.DeleteFunc(target.arrivals, func(arrival fleetArrival) bool {
				return time.Since(arrival.at) > checkedWindow
			})
		}
	case "rises":
		for _, target := range fleet.targets {
			target.name(target.rate * 4)
		}
	case "ends":
		for _, target := range fleet.targets {
			rate := target.rate
			target.name(0)
			fleet.run(settleTime)
			fleet.Assert(fleet.hosts[0].limiter.Rate(target.id), qt.Equals, 0.0)
			target.arrivals = nil
			clear(target.told)
			target.name(rate)
		}
		fleet.run(settleTime)
		for _, target := range fleet.targets {
			target.arrivals = nil
		}
	default:
		fleet.Fatalf("unknown trouble %q", trouble)
	}
}
