package rollout

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
)

const (
	simulatedStep  = 10 * time.Millisecond
	simulatedPool  = "p"
	oldVersion     = "v1"
	newVersion     = "v2"
	bindingBads    = 50
	rollbackWithin = 5 * time.Second
	// messageDelay is the average time of a message, lostMessages the part that is lost.
	messageDelay = 8 * time.Millisecond
	lostMessages = 0.02
)

var errStoreAway = errors.New("the store does not answer")

// scenario describes a simulated rollout.
type scenario struct {
	hosts    int
	rate     float64
	duration time.Duration
	// oldTargets and newTargets are their numbers, slots those of each.
	oldTargets, newTargets, slots int
	// targetsAfter is when the targets of the new version start.
	targetsAfter time.Duration
	routes       []simulatedRoute
	faults       []simulatedFault
	// oldSpeeds and newSpeeds are factors of the times of targets, in turn.
	oldSpeeds, newSpeeds []float64
	// events are what happens at times, by the words of a script.
	events []simulatedEvent
	// patience is the time that callers wait.
	patience time.Duration
	// more is played after the duration.
	more time.Duration
	// want is the state at the end; late means that it may come after the deadline.
	want string
}

type simulatedRoute struct {
	name string
	// part is the route's part of the requests.
	part float64
	// first is the median time to the first event, gap that between events, events their
	// number, 1 for answers that are no streams. spread is the standard deviation of the
	// logarithms of times.
	first, gap time.Duration
	events     int
	spread     float64
}

// simulatedFault is what makes a part of the answers bad.
type simulatedFault struct {
	// version is empty for both.
	version  string
	part     float64
	from, to time.Duration
	route    string
	minLoad  float64
	isSlow   bool
	target   string
}

type simulatedEvent struct {
	at    time.Duration
	words []string
}

type simulatedTarget struct {
	id, version string
	versionID   balance.VersionID
	speed       float64
	running     int
	isDown      bool
}

type simulatedHost struct {
	*Rollouts
	isDown, isCut, isPaused bool
	inbox                   []delivery
	runningOld              int
	// missedFrom is the time from which the others notice that it is down.
	missedFrom time.Time
	// readsFrom is when it begins to read the orders.
	readsFrom time.Time
}

type delivery struct {
	from    string
	message *Message
}

type simulatedAnswer struct {
	at   time.Time
	do   func()
	rank int
}

type answerQueue []simulatedAnswer

func (queue answerQueue) Len() int { return len(queue) }
func (queue answerQueue) Less(i, j int) bool {
	return queue[i].at.Before(queue[j].at) || queue[i].at.Equal(queue[j].at) && queue[i].rank < queue[j].rank
}
func (queue answerQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *answerQueue) Push(x any)   { *queue = append(*queue, x.(simulatedAnswer)) }
func (queue *answerQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// simulation plays a scenario with all hosts in one goroutine, on the paused clock.
type simulation struct {
	*testing.T
	// mutex is held by the goroutine of the simulation but while time passes.
	mutex    sync.Mutex
	scenario *scenario
	random   *rand.Rand
	hosts    []*simulatedHost
	targets  []*simulatedTarget
	queue    answerQueue
	pushed   int
	// addresses are those of all hosts; isDisturbed is set once not all hear each other.
	addresses   []string
	isDisturbed bool
	started     time.Time

	order     Order
	isOrdered bool
	isAway    bool
	losesNext bool
	// writeDelay is the time after which the store applies a write, also if its caller has
	// given up; isMute is set while the messages between hosts are lost.
	writeDelay time.Duration
	isMute     bool
	mark       []byte
	// requests, sentNew, bads are counts; badAt is when the bindingBads-th bad answer came,
	// lastSentAt the last request to the new version.
	requests, sentNew, bads int
	// requestsAtDeadline counts those between the order and its deadline.
	requestsAtDeadline int
	badAt, lastSentAt  time.Time
	endedAt            time.Time
	cut                int
	bytes              int
	largest            int
	stageLog           []string
}

func newSimulation(t *testing.T, scenario *scenario, seed uint64) *simulation {
	simulation := &simulation{T: t, scenario: scenario, random: rand.New(rand.NewPCG(seed, 7)), started: time.Now()}
	speed := func(speeds []float64, i int) float64 {
		if len(speeds) == 0 {
			return 1
		}
		return speeds[i%len(speeds)]
	}
	for i := range scenario.oldTargets {
		simulation.targets = append(simulation.targets, &simulatedTarget{id: fmt.Sprintf("o%d", i), version: oldVersion, speed: speed(scenario.oldSpeeds, i)})
	}
	for i := range scenario.newTargets {
		simulation.targets = append(simulation.targets, &simulatedTarget{id: fmt.Sprintf("n%d", i), version: newVersion, speed: speed(scenario.newSpeeds, i), isDown: true})
	}
	for _, target := range simulation.targets {
		target.versionID = balance.NewVersionID(simulatedPool, target.version)
	}
	for i := range scenario.hosts {
		simulation.addresses = append(simulation.addresses, fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250))
	}
	for i := range scenario.hosts {
		simulation.addHost(i)
	}
	return simulation
}

func (simulation *simulation) addHost(i int) {
	address := simulation.addresses[i]
	host := &simulatedHost{Rollouts: &Rollouts{
		Address: address, Incarnation: uint64(time.Now().UnixMicro()),
		Bounds:    Bounds{Share: 0.1, Slack: 50, RollbackWithin: rollbackWithin},
		Hosts:     func() []string { return simulation.heardBy(i) },
		IsQuorate: func() bool { return 2*len(simulation.heardBy(i)) > simulation.scenario.hosts },
		Events:    &timeline.Recorder{},
		Random:    simulation.random,
		Read:      func(context.Context, int64) error { return nil },
	}}
	host.Revision = func() int64 {
		if time.Now().Before(host.readsFrom) {
			return 0
		}
		return simulation.order.Revision
	}
	host.Send = func(to string, message *Message) { simulation.send(host, to, message) }
	host.Use = func(_ string, version balance.VersionID) balance.VersionUse { return simulation.use(host, version) }
	host.Serves = func(_ string, restriction *balance.Restriction) (exists, hasRoom bool) {
		for _, target := range simulation.targets {
			if target.isDown || !simulation.allows(restriction, target) {
				continue
			}
			exists = true
			hasRoom = hasRoom || target.running < simulation.scenario.slots
		}
		return exists, hasRoom
	}
	host.Store = Store{Write: func(ctx context.Context, order Order, state State) (Order, error) {
		return simulation.writeSlowly(ctx, host, order, state)
	}, SaveMark: func(_ context.Context, _ string, value []byte) error {
		simulation.mutex.Lock()
		defer simulation.mutex.Unlock()
		if simulation.isAway {
			return errStoreAway
		}
		simulation.mark = value
		return nil
	}, LoadMarks: func(context.Context) (map[string][]byte, error) {
		simulation.mutex.Lock()
		defer simulation.mutex.Unlock()
		if simulation.isAway {
			return nil, errStoreAway
		}
		return map[string][]byte{simulatedPool: simulation.mark}, nil
	}}
	if i < len(simulation.hosts) {
		simulation.hosts[i] = host
	} else {
		simulation.hosts = append(simulation.hosts, host)
	}
	simulation.setTargets(host)
}

func (simulation *simulation) allows(restriction *balance.Restriction, target *simulatedTarget) bool {
	if restriction == nil {
		return true
	}
	id := target.versionID
	return (restriction.Only == 0 || restriction.Only == id) && !slices.Contains(restriction.Except, id) &&
		(restriction.Among == nil || slices.Contains(restriction.Among, target.id))
}

// heardBy returns the addresses of the hosts that a host hears.
func (simulation *simulation) heardBy(i int) []string {
	if !simulation.isDisturbed && len(simulation.hosts) == simulation.scenario.hosts {
		return simulation.addresses
	}
	var heard []string
	for j, other := range simulation.hosts {
		isMissed := other.isDown && !time.Now().Before(other.missedFrom)
		if j == i || !isMissed && !other.isPaused && !other.isCut && !simulation.hosts[i].isCut {
			heard = append(heard, simulation.addresses[j])
		}
	}
	return heard
}

func (simulation *simulation) use(host *simulatedHost, version balance.VersionID) balance.VersionUse {
	use := balance.VersionUse{OwnOthers: host.runningOld}
	for _, target := range simulation.targets {
		switch {
		case target.versionID != version:
			use.Others += target.running
		case !target.isDown:
			use.Targets++
			use.Slots += simulation.scenario.slots
		}
	}
	return use
}

func (simulation *simulation) setTargets(host *simulatedHost) {
	var targets []balance.Target
	for _, target := range simulation.targets {
		if !target.isDown {
			targets = append(targets, balance.Target{ID: target.id, Pool: simulatedPool, Version: target.version, StartedAt: simulation.started})
		}
	}
	host.SetTargets(targets, simulation.order.Revision)
}

func (simulation *simulation) send(from *simulatedHost, to string, message *Message) {
	size := simulatedSize(message)
	simulation.bytes += size
	simulation.largest = max(simulation.largest, size)
	if i := slices.Index(simulation.addresses, to); i >= 0 {
		host := simulation.hosts[i]
		if from.isCut || host.isCut || simulation.isMute || simulation.random.Float64() < lostMessages {
			return
		}
		delay := time.Duration(simulation.random.ExpFloat64() * float64(messageDelay))
		simulation.push(time.Now().Add(delay), func() {
			if !host.isDown {
				host.inbox = append(host.inbox, delivery{from: from.Address, message: message})
			}
		})
	}
}

// simulatedSize returns about the bytes of a message with the headers of IP and UDP.
func simulatedSize(message *Message) int {
	size := 28 + 30
	for i := range message.Reports {
		size += 25
		for j := range message.Reports[i].Cells {
			size += message.Reports[i].Cells[j].size()
		}
	}
	for i := range message.Instructions {
		size += 60 + 14*len(message.Instructions[i].Routes)
	}
	return size
}

func (simulation *simulation) push(at time.Time, do func()) {
	simulation.pushed++
	heap.Push(&simulation.queue, simulatedAnswer{at: at, do: do, rank: simulation.pushed})
}

func (simulation *simulation) writeSlowly(ctx context.Context, host *simulatedHost, order Order, state State) (Order, error) {
	simulation.mutex.Lock()
	delay := simulation.writeDelay
	simulation.mutex.Unlock()
	if delay == 0 {
		return simulation.write(host, order, state)
	}
	type result struct {
		written Order
		err     error
	}
	applied := make(chan result, 1)
	go func() {
		time.Sleep(delay)
		written, err := simulation.write(host, order, state)
		applied <- result{written, err}
	}()
	select {
	case result := <-applied:
		return result.written, result.err
	case <-ctx.Done():
		return Order{}, errStoreAway
	}
}

func (simulation *simulation) write(host *simulatedHost, order Order, state State) (Order, error) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	if simulation.isAway || host.isDown {
		return Order{}, errStoreAway
	}
	if !simulation.isOrdered {
		return Order{}, Removed.New("no such order")
	}
	if order.Revision != simulation.order.Revision {
		return simulation.order, Changed.New("revision %d", simulation.order.Revision)
	}
	simulation.order.Revision++
	simulation.order.State, simulation.order.StateVersion = state, order.Version
	if state != Running {
		simulation.end(state)
	}
	if simulation.losesNext {
		simulation.losesNext = false
		return Order{}, errStoreAway
	}
	return simulation.order, nil
}

// end lets the targets stop that the platform stops.
func (simulation *simulation) end(state State) {
	simulation.endedAt = time.Now()
	for _, target := range simulation.targets {
		if state == Completed && target.version != simulation.order.Version {
			simulation.cut += target.running
		}
	}
}

// tellOrder lets the hosts that watch the store read it.
func (simulation *simulation) tellOrder() {
	for i, host := range simulation.hosts {
		if host.isDown || host.isPaused || simulation.isAway || i >= 4 || time.Now().Before(host.readsFrom) {
			continue
		}
		if simulation.isOrdered {
			host.SetOrders([]Order{simulation.order}, nil, simulation.order.Revision)
		} else {
			host.SetOrders(nil, nil, simulation.order.Revision)
		}
	}
}

// run plays the scenario.
func (simulation *simulation) run(ctx context.Context) {
	scenario := simulation.scenario
	warmUp := time.Second
	total := warmUp + scenario.duration + scenario.more + 10*time.Second
	orderedAt := simulation.started.Add(warmUp)
	lastStage := Sharing
	toldRevision := int64(0)
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	for step := 0; ; step++ {
		now := time.Now()
		elapsed := now.Sub(orderedAt)
		if now.Sub(simulation.started) > total {
			return
		}
		if !simulation.isOrdered && elapsed >= 0 && simulation.order.Revision == 0 {
			simulation.isOrdered = true
			simulation.order = Order{Name: simulatedPool, Pool: simulatedPool, Version: newVersion, Duration: scenario.duration, Revision: 1}
		}
		simulation.startTargets(elapsed)
		simulation.applyEvents(elapsed)
		if simulation.order.Revision != toldRevision && !simulation.isAway {
			toldRevision = simulation.order.Revision
			simulation.push(now.Add(20*time.Millisecond), simulation.tellOrder)
		}
		for len(simulation.queue) > 0 && !simulation.queue[0].at.After(now) {
			heap.Pop(&simulation.queue).(simulatedAnswer).do()
		}
		for i, host := range simulation.hosts {
			if host.isDown || host.isPaused {
				continue
			}
			for _, delivery := range host.inbox {
				host.Receive(delivery.from, delivery.message)
			}
			host.inbox = nil
			if (step+i)%int(tickInterval/simulatedStep) == 0 {
				host.Tick(ctx, now)
			}
			if plan := host.plan(simulatedPool); i == 0 && plan != nil && plan.stage != lastStage {
				lastStage = plan.stage
				simulation.stageLog = append(simulation.stageLog, fmt.Sprintf("%.1fs %s", elapsed.Seconds(), lastStage))
			}
		}
		count := poisson(simulation.random, scenario.rate*simulatedStep.Seconds())
		for range count {
			simulation.request(elapsed)
		}
		simulation.mutex.Unlock()
		time.Sleep(simulatedStep)
		simulation.mutex.Lock()
	}
}

func poisson(random *rand.Rand, mean float64) int {
	count, product := 0, random.Float64()
	for limit := math.Exp(-mean); product > limit; count++ {
		product *= random.Float64()
	}
	return count
}

// startTargets starts the targets of the new version.
func (simulation *simulation) startTargets(elapsed time.Duration) {
	if elapsed < simulation.scenario.targetsAfter {
		return
	}
	isChanged := false
	for _, target := range simulation.targets {
		if target.version == newVersion && target.isDown && target.speed > 0 {
			target.isDown, isChanged = false, true
			target.speed = -target.speed
		}
	}
	if !isChanged {
		return
	}
	for _, target := range simulation.targets {
		target.speed = math.Abs(target.speed)
	}
	simulation.scenario.targetsAfter = math.MaxInt64
	for _, host := range simulation.hosts {
		simulation.setTargets(host)
	}
}

// request lets a caller send a request.
func (simulation *simulation) request(elapsed time.Duration) {
	scenario := simulation.scenario
	host := simulation.hosts[simulation.random.IntN(len(simulation.hosts))]
	if host.isDown || host.isPaused {
		return
	}
	route := simulation.pickRoute()
	choice := host.Choose(simulatedPool, route.name, scenario.patience, false)
	target := simulation.pickTarget(choice.Restriction)
	if elapsed >= 0 && elapsed < scenario.duration {
		simulation.requestsAtDeadline++
	}
	if target == nil {
		return
	}
	described := &balance.Target{ID: target.id, Pool: simulatedPool, Version: target.version}
	if !host.MaySend(described, choice, route.name, scenario.patience) {
		return
	}
	attempt := host.Begin(described, route.name, true, false)
	simulation.requests++
	isNew := target.version == newVersion
	if isNew {
		simulation.sentNew++
		simulation.lastSentAt = time.Now()
	} else {
		host.runningOld++
	}
	target.running++
	hasFailed, factor := simulation.fate(elapsed, route, target)
	vary := func(median time.Duration) time.Duration {
		return time.Duration(float64(median) * target.speed * factor * math.Exp(route.spread*simulation.random.NormFloat64()))
	}
	first := vary(route.first)
	took := first
	gap := vary(route.gap)
	if !hasFailed {
		simulation.push(time.Now().Add(first), attempt.First)
		if route.events > gapEvents {
			simulation.push(time.Now().Add(first+(gapEvents-1)*gap), func() { attempt.Events(gapEvents) })
		}
		took += gap * time.Duration(route.events-1)
	}
	if took > scenario.patience {
		took, hasFailed = scenario.patience, true
	}
	isBad := isNew && (hasFailed || factor > 1)
	simulation.push(time.Now().Add(took), func() {
		target.running--
		if !isNew {
			host.runningOld--
		}
		attempt.End(route.events, hasFailed)
		if isBad {
			if simulation.bads++; simulation.bads == bindingBads {
				simulation.badAt = time.Now()
			}
		}
	})
}

func (simulation *simulation) pickRoute() *simulatedRoute {
	drawn := simulation.random.Float64()
	for i := range simulation.scenario.routes {
		route := &simulation.scenario.routes[i]
		if drawn -= route.part; drawn < 0 {
			return route
		}
	}
	return &simulation.scenario.routes[0]
}

// pickTarget returns the least loaded target that is allowed, nil if none has room.
func (simulation *simulation) pickTarget(restriction *balance.Restriction) *simulatedTarget {
	var best *simulatedTarget
	offset := simulation.random.IntN(len(simulation.targets))
	for i := range simulation.targets {
		target := simulation.targets[(i+offset)%len(simulation.targets)]
		if target.isDown || target.running >= simulation.scenario.slots || !simulation.allows(restriction, target) {
			continue
		}
		if best == nil || target.running < best.running {
			best = target
		}
	}
	return best
}

// fate returns whether an answer fails, and the factor of its times.
func (simulation *simulation) fate(elapsed time.Duration, route *simulatedRoute, target *simulatedTarget) (hasFailed bool, factor float64) {
	factor = 1
	for i := range simulation.scenario.faults {
		fault := &simulation.scenario.faults[i]
		load := float64(target.running) / float64(simulation.scenario.slots)
		if fault.version != "" && fault.version != target.version || fault.route != "" && fault.route != route.name ||
			fault.target != "" && fault.target != target.id ||
			elapsed < fault.from || fault.to > 0 && elapsed >= fault.to || load < fault.minLoad || simulation.random.Float64() >= fault.part {
			continue
		}
		if fault.isSlow {
			factor = 5
		} else {
			hasFailed = true
		}
	}
	return hasFailed, factor
}
