package simulation

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
)

// The load of sharedRun: engines of three speeds on shared machines, whose speed changes many
// times a second, and streams with tight limits.
const (
	sharedStep       = 9 * time.Millisecond
	sharedTokenTime  = 12 * time.Microsecond
	sharedChunk      = 4096
	sharedSlots      = 7
	sharedEvent      = 8
	sharedFirst      = 600 * time.Millisecond
	sharedGap        = 250 * time.Millisecond
	sharedPrompt     = 6610
	sharedMaxPrompt  = 30000
	sharedNoise      = 0.35
	sharedSwing      = 0.5
	sharedSwingTime  = 20 * time.Second
	sharedTick       = time.Millisecond
	sharedMinTokens  = 8 * sharedEvent
	sharedMoreTokens = 32 * sharedEvent
)

// sharedRun plays a load on hosts that each choose with a Balancer. What targets tell is made
// by tell from the real duration of work; nil means that they tell nothing, so that the choice
// is the one without figures.
type sharedRun struct {
	hosts, engines int
	// load is the fraction of what the engines' slots could run.
	load        float64
	duration    time.Duration
	correlation time.Duration
	// reportInterval is the time between two reports of a host.
	reportInterval time.Duration
	tell           func(real float64) float64
	seed           uint64

	// random draws the load, noise the speeds.
	random    *rand.Rand
	noise     *rand.Rand
	balancers []*balance.Balancer
	targets   []*sharedEngine
	mutex     sync.Mutex
	granted   []*sharedRequest
	// inTime, lateFirst and lateGap count requests by how they ended, refused those that no
	// target took; full counts the requests that reached a target without a free slot.
	inTime, lateFirst, lateGap, refused, full, total int
}

type sharedRequest struct {
	arrived       time.Time
	prompt, left  int
	tokens, made  int
	grant         *balance.Grant
	lastEvent     time.Time
	events        int
	isLate, isGap bool
}

type sharedEngine struct {
	id      string
	speed   float64
	state   float64
	running []*sharedRequest
	waiting []*sharedRequest
	stepEnd time.Time
	reading map[*sharedRequest]int
}

func (run *sharedRun) play(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		run.random, run.noise = rand.New(rand.NewPCG(run.seed, 1)), rand.New(rand.NewPCG(run.seed, 0))
		var targets []balance.Target
		for i := range run.engines {
			engine := &sharedEngine{id: fmt.Sprint("engine", i), speed: []float64{0.56, 1, 2.8}[i%3], reading: map[*sharedRequest]int{}}
			run.targets = append(run.targets, engine)
			targets = append(targets, balance.Target{ID: engine.id, Pool: "engines", Slots: sharedSlots})
		}
		for i := range run.hosts {
			balancer := &balance.Balancer{
				ReportsDelayed:   func() bool { return run.hosts > 1 },
				PropagationDelay: func() time.Duration { return run.reportInterval },
				HostCount:        func() int { return run.hosts },
				RandIntN:         rand.New(rand.NewPCG(run.seed, uint64(i)+2)).IntN,
			}
			balancer.SetTargets(targets, map[string]bool{"engines": true})
			run.balancers = append(run.balancers, balancer)
			go func() { _ = balancer.Run(ctx) }()
		}
		run.loop(ctx)
		cancel()
		synctest.Wait()
	})
}

func (run *sharedRun) loop(ctx context.Context) {
	start := time.Now()
	// A request holds its slot for about this long on an engine of usual speed.
	hold := time.Duration(sharedMinTokens+sharedMoreTokens/2) * sharedStep * 3 / 2
	rate := run.load * float64(run.engines*sharedSlots) / hold.Seconds()
	next := start
	for tick := 0; time.Since(start) < run.duration; tick++ {
		now := time.Now()
		for !next.After(now) {
			run.arrive(ctx)
			swing := 1 + sharedSwing*math.Sin(2*math.Pi*float64(next.Sub(start))/float64(sharedSwingTime))
			next = next.Add(time.Duration(run.random.ExpFloat64() / (rate * swing) * float64(time.Second)))
		}
		run.report(tick)
		synctest.Wait()
		run.start()
		for _, engine := range run.targets {
			run.step(engine, now)
		}
		time.Sleep(sharedTick)
	}
}

// report sends the reports of the hosts whose turn it is.
func (run *sharedRun) report(tick int) {
	every := int(run.reportInterval / sharedTick)
	for i, balancer := range run.balancers {
		if (tick+i)%every != 0 {
			continue
		}
		report := balancer.Report()
		for j, other := range run.balancers {
			if j != i {
				copied := *report
				copied.Host = fmt.Sprint("host", i)
				other.ApplyReport(&copied)
			}
		}
	}
}

func (run *sharedRun) arrive(ctx context.Context) {
	run.total++
	// Most prompts are short, a few are very long.
	prompt := min(sharedMaxPrompt, int(sharedPrompt*math.Exp(run.random.NormFloat64()-0.5)))
	request := &sharedRequest{arrived: time.Now(), prompt: prompt, left: prompt, tokens: sharedMinTokens + run.random.IntN(sharedMoreTokens)}
	balancer := run.balancers[run.random.IntN(run.hosts)]
	go func() {
		grant, err := balancer.Acquire(ctx, &balance.Ticket{
			Pool: "engines", PromptTokens: request.prompt, ExpectedEvents: request.tokens / sharedEvent, EventGap: sharedGap,
			Due: request.arrived.Add(sharedFirst), Deadline: request.arrived.Add(12 * time.Second),
		})
		run.mutex.Lock()
		defer run.mutex.Unlock()
		if err != nil {
			run.refused++
			return
		}
		request.grant = grant
		run.granted = append(run.granted, request)
	}()
	synctest.Wait()
}

// start brings the granted requests to their engines.
func (run *sharedRun) start() {
	run.mutex.Lock()
	granted := run.granted
	run.granted = nil
	run.mutex.Unlock()
	for _, request := range granted {
		for _, engine := range run.targets {
			if engine.id != request.grant.Target.ID {
				continue
			}
			if len(engine.running)+len(engine.waiting) >= sharedSlots {
				run.full++
			}
			engine.waiting = append(engine.waiting, request)
		}
	}
}

// step ends the engine's step if it is due and begins the next.
func (run *sharedRun) step(engine *sharedEngine, now time.Time) {
	if now.Before(engine.stepEnd) {
		return
	}
	kept := math.Exp(-float64(max(sharedTick, now.Sub(engine.stepEnd))) / float64(run.correlation))
	if !engine.stepEnd.IsZero() {
		engine.state = kept*engine.state + math.Sqrt(1-kept*kept)*sharedNoise*run.noise.NormFloat64()
	}
	run.endStep(engine, now)
	for len(engine.waiting) > 0 && len(engine.running) < sharedSlots {
		engine.running = append(engine.running, engine.waiting[0])
		engine.waiting = engine.waiting[1:]
	}
	clear(engine.reading)
	budget := sharedChunk
	for _, request := range engine.running {
		if read := min(budget, request.left); read > 0 {
			engine.reading[request] = read
			budget -= read
		}
	}
	work := sharedStep + time.Duration(sharedChunk-budget)*sharedTokenTime
	if len(engine.running) == 0 {
		work = sharedTick
	}
	took := time.Duration(float64(work) * engine.speed * math.Exp(engine.state))
	engine.stepEnd = now.Add(took)
	kept = math.Exp(-float64(took) / float64(run.correlation))
	engine.state = kept*engine.state + math.Sqrt(1-kept*kept)*sharedNoise*run.noise.NormFloat64()
}

// endStep gives each request what the step has made of it.
func (run *sharedRun) endStep(engine *sharedEngine, now time.Time) {
	remaining := engine.running[:0]
	for _, request := range engine.running {
		if read := engine.reading[request]; read > 0 {
			request.left -= read
		} else if request.left == 0 {
			request.made++
			if request.made%sharedEvent == 1 || request.made == request.tokens {
				run.event(engine, request, now)
			}
		}
		if request.made < request.tokens {
			remaining = append(remaining, request)
		}
	}
	engine.running = remaining
}

func (run *sharedRun) event(engine *sharedEngine, request *sharedRequest, now time.Time) {
	request.events++
	if request.events == 1 {
		if run.tell != nil {
			request.grant.RecordDuration(run.tell(math.Exp(engine.state)))
		}
		request.grant.RecordFirstEvent()
		request.isLate = now.Sub(request.arrived) > sharedFirst
	} else if now.Sub(request.lastEvent) > sharedGap {
		request.isGap = true
	}
	request.lastEvent = now
	if request.made < request.tokens {
		return
	}
	request.grant.RecordStreamEnd(request.events)
	request.grant.End(balance.Served)
	switch {
	case request.isLate:
		run.lateFirst++
	case request.isGap:
		run.lateGap++
	default:
		run.inTime++
	}
}

func (run *sharedRun) String() string {
	ended := max(1, run.inTime+run.lateFirst+run.lateGap+run.refused)
	return fmt.Sprintf("%d requests, in time %.4f, first event late %.4f, pause %.4f, refused %.4f, to full engines %.4f", run.total,
		float64(run.inTime)/float64(ended), float64(run.lateFirst)/float64(ended), float64(run.lateGap)/float64(ended),
		float64(run.refused)/float64(ended), float64(run.full)/float64(max(1, run.total)))
}

// playAll plays runs with a number of seeds and returns the sum.
func (run *sharedRun) playAll(t *testing.T, seeds uint64) *sharedRun {
	t.Helper()
	sum := &sharedRun{}
	for seed := range seeds {
		played := &sharedRun{
			hosts: run.hosts, engines: run.engines, load: run.load, duration: run.duration, correlation: run.correlation,
			reportInterval: run.reportInterval, tell: run.tell, seed: 100 + seed,
		}
		played.play(t)
		sum.total += played.total
		sum.inTime += played.inTime
		sum.lateFirst += played.lateFirst
		sum.lateGap += played.lateGap
		sum.refused += played.refused
		sum.full += played.full
	}
	return sum
}

// inTimeShare returns the share of the ended requests that were in time.
func (run *sharedRun) inTimeShare() float64 {
	return float64(run.inTime) / float64(max(1, run.inTime+run.lateFirst+run.lateGap+run.refused))
}

// TestPresentSpeed compares the choice with that of hosts that read no figures, on the same
// load and the same noise of the machines. It guards against figures that make more requests
// late, also where they are constant or lie, and against pauses of streams that long prompts
// of others cause.
func TestPresentSpeed(t *testing.T) {
	noise := rand.New(rand.NewPCG(7, 7))
	tells := []struct {
		name    string
		tell    func(real float64) float64
		minGain float64
	}{
		{"true", func(real float64) float64 { return real }, 0.01},
		{"constant", func(float64) float64 { return 1 }, 0},
		{"inverse", func(real float64) float64 { return 1 / real }, 0},
		{"noise", func(float64) float64 { return math.Exp(noise.NormFloat64()) }, 0},
	}
	run := &sharedRun{hosts: 4, engines: 12, load: 0.5, duration: 50 * time.Second, correlation: 300 * time.Millisecond, reportInterval: 100 * time.Millisecond}
	without := run.playAll(t, 5)
	t.Logf("without figures: %v", without)
	for _, step := range tells {
		run.tell = step.tell
		with := run.playAll(t, 5)
		t.Logf("figures %s: %v", step.name, with)
		gain := with.inTimeShare() - without.inTimeShare()
		qt.Check(t, gain >= step.minGain, qt.IsTrue, qt.Commentf("%s: %.4f", step.name, gain))
	}
}

// TestPresentSpeedHerds guards against hosts that all believe in the same fast target: few
// requests may reach a full one, whatever the number of hosts, compared with hosts that read no
// figures.
func TestPresentSpeedHerds(t *testing.T) {
	for _, step := range []struct {
		hosts    int
		engines  int
		duration time.Duration
		report   time.Duration
	}{
		{3, 24, 40 * time.Second, 100 * time.Millisecond},
		{30, 24, 20 * time.Second, 200 * time.Millisecond},
		{330, 60, 3 * time.Second, time.Second},
	} {
		run := &sharedRun{hosts: step.hosts, engines: step.engines, load: 0.5, duration: step.duration, correlation: 300 * time.Millisecond, reportInterval: step.report}
		without := run.playAll(t, 1)
		run.tell = func(real float64) float64 { return real }
		with := run.playAll(t, 1)
		t.Logf("%d hosts: without figures: %v", step.hosts, without)
		t.Logf("%d hosts: with figures: %v", step.hosts, with)
		share := func(run *sharedRun) float64 { return float64(run.full) / float64(max(1, run.total)) }
		qt.Check(t, share(with) <= share(without)+0.03, qt.IsTrue, qt.Commentf("%d hosts", step.hosts))
	}
}
