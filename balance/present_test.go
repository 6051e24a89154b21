package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// noisyMachine is a machine whose slow-down is exp of an Ornstein-Uhlenbeck process.
type noisyMachine struct {
	random      *rand.Rand
	correlation time.Duration
	state       float64
	at          time.Time
}

// duration returns how long work takes now, relative to the usual.
func (machine *noisyMachine) duration() float64 {
	const spread = 0.5
	kept := math.Exp(-float64(time.Since(machine.at)) / float64(machine.correlation))
	machine.state = kept*machine.state + math.Sqrt(1-kept*kept)*spread*machine.random.NormFloat64()
	machine.at = time.Now()
	return math.Exp(machine.state)
}

// TestFiguresThatDoNoHarm guards against figures that make estimates worse: estimates of the
// duration of work, with figures of each kind, are compared with the average. Only figures
// that are true and not too old may change estimates much.
func TestFiguresThatDoNoHarm(t *testing.T) {
	const pause, requests = 40 * time.Millisecond, 4000
	usual := 100 * time.Millisecond
	for _, step := range []struct {
		name        string
		correlation time.Duration
		tell        func(real, noise float64) float64
		minError    float64
		maxError    float64
	}{
		{"true, slowly changing", time.Second, func(real, _ float64) float64 { return real }, 0, 0.6},
		{"true, in another unit", time.Second, func(real, _ float64) float64 { return 7 * real }, 0, 0.6},
		{"true, changing too fast", time.Millisecond, func(real, _ float64) float64 { return real }, 0.9, 1.02},
		{"always 100", time.Second, func(_, _ float64) float64 { return 1 }, 0.999, 1.001},
		{"always 280", time.Second, func(_, _ float64) float64 { return 2.8 }, 0.999, 1.001},
		{"huge", time.Second, func(_, _ float64) float64 { return 50 }, 0.999, 1.001},
		{"noise", time.Second, func(_, noise float64) float64 { return math.Exp(noise) }, 0.97, 1.03},
		{"inverse", time.Second, func(real, _ float64) float64 { return 1 / real }, 0.97, 1.03},
		{"none", time.Second, func(_, _ float64) float64 { return 0 }, 0.999, 1.001},
	} {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			machine := &noisyMachine{random: random, correlation: step.correlation}
			state := &targetState{}
			average, plain, withFigures := float64(usual), 0.0, 0.0
			longTerm := float64(usual)
			for i := range requests {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(pause)))
				real := machine.duration()
				observed := real * float64(usual)
				estimate := longTerm * state.present.promptFactor(time.Now())
				if i >= requests/4 {
					plain += math.Abs(observed - average)
					withFigures += math.Abs(observed - estimate)
				}
				figure := step.tell(real, random.NormFloat64())
				if figure > 0 {
					state.recordDuration(figure, time.Now())
				}
				sample := observed
				if present := state.present; present != nil {
					sample = float64(present.normalize(&present.prompts, figure, time.Duration(observed), time.Duration(longTerm)))
				}
				average += averageWeight * (observed - average)
				longTerm += averageWeight * (sample - longTerm)
			}
			ratio := withFigures / plain
			t.Logf("%s: error %.3f of that without figures", step.name, ratio)
			qt.Check(t, ratio >= step.minError && ratio <= step.maxError, qt.IsTrue, qt.Commentf("%s: %.3f", step.name, ratio))
		})
	}
}

// TestFigureGrowsOld guards against a target that was slow when it answered last, and gets
// nothing for that reason: its figure is forgotten.
func TestFigureGrowsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := &noisyMachine{random: rand.New(rand.NewPCG(1, 1)), correlation: 200 * time.Millisecond}
		state := &targetState{}
		for range 2000 {
			time.Sleep(10 * time.Millisecond)
			real := machine.duration()
			state.recordDuration(real, time.Now())
			state.present.normalize(&state.present.prompts, real, time.Duration(real*float64(time.Second)), time.Second)
		}
		state.recordDuration(3*state.present.mean, time.Now())
		factors := []float64{}
		for range 3 {
			factors = append(factors, state.present.promptFactor(time.Now()))
			time.Sleep(5 * time.Second)
		}
		qt.Check(t, factors[0] > 2, qt.IsTrue, qt.Commentf("%v", factors))
		qt.Check(t, factors[1:], qt.DeepEquals, []float64{1, 1})
	})
}

// TestFigureOfAnotherIncarnation guards against figures that another host's request got from
// an incarnation which has ended.
func TestFigureOfAnotherIncarnation(t *testing.T) {
	balancer := &Balancer{}
	target := Target{ID: "engine", Pool: scriptPool, Slots: 1, StartedAt: time.Unix(2, 0)}
	balancer.SetTargets([]Target{target}, map[string]bool{scriptPool: true})
	old := target
	old.StartedAt = time.Unix(1, 0)
	balancer.RecordDuration(&old, 2)
	qt.Check(t, balancer.targets["engine"].present, qt.IsNil)
	balancer.RecordDuration(&target, 0)
	qt.Check(t, balancer.targets["engine"].present, qt.IsNil)
	balancer.RecordDuration(&target, 2)
	qt.Check(t, balancer.targets["engine"].present.told, qt.Equals, 2.0)
}

// BenchmarkChoose measures the choice among targets which tell no figures, and among those
// that do. It must not allocate more for more targets.
func BenchmarkChoose(b *testing.B) {
	for _, tells := range []bool{false, true} {
		for _, count := range []int{5, 90, 330} {
			name := map[bool]string{false: "plain", true: "figures"}[tells]
			b.Run(name+"/"+time.Duration(count).String()[:len(time.Duration(count).String())-2], func(b *testing.B) {
				balancer := &Balancer{}
				var targets []Target
				for i := range count {
					targets = append(targets, Target{ID: "engine" + time.Duration(i).String(), Pool: scriptPool, Slots: 8})
				}
				balancer.SetTargets(targets, map[string]bool{scriptPool: true})
				random := rand.New(rand.NewPCG(1, 1))
				for _, state := range balancer.targets {
					state.reportedTimePerToken = 10 * time.Microsecond
					for range 100 * map[bool]int{true: 1}[tells] {
						figure := 1 + random.Float64()
						state.recordDuration(figure, time.Now())
						state.present.normalize(&state.present.prompts, figure, time.Duration(figure*float64(time.Second)), time.Second)
					}
				}
				pool := balancer.getOrCreatePool(scriptPool)
				round := &dispatchRound{pool: pool, now: time.Now(), averages: pool.averages()}
				ticket := &Ticket{Pool: scriptPool, PromptTokens: 5000, ExpectedEvents: 20, EventGap: 250 * time.Millisecond, Due: time.Now().Add(time.Hour)}
				b.ReportAllocs()
				for b.Loop() {
					balancer.choose(round, ticket, inTime)
				}
			})
		}
	}
}
