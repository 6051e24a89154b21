package rollout

import (
	"math"
	"math/big"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLogRatio compares likelihood ratios with those computed from the definition of Fisher's
// noncentral hypergeometric distribution.
func TestLogRatio(t *testing.T) {
	c := qt.New(t)
	choose := func(n, k int) float64 {
		value, _ := new(big.Float).SetInt(new(big.Int).Binomial(int64(n), int64(k))).Float64()
		return value
	}
	for _, test := range []struct{ count, others, marked int }{{1, 1, 1}, {5, 20, 4}, {10, 3, 9}, {30, 400, 25}, {7, 7, 14}} {
		for _, logOdds := range []float64{0, 0.5, 3} {
			sum, weighted := 0.0, 0.0
			for k := max(0, test.marked-test.others); k <= min(test.marked, test.count); k++ {
				term := choose(test.count, k) * choose(test.others, test.marked-k)
				sum += term
				weighted += term * math.Exp(logOdds*float64(k))
			}
			got := logMeanOdds(test.count, test.others, test.marked, logOdds)
			c.Assert(math.Abs(got-math.Log(weighted/sum)) < 1e-9, qt.IsTrue, qt.Commentf("%v %g: %g", test, logOdds, got))
		}
	}
	// By Fisher's exact test all four bad answers of eight with the first four have the
	// probability 1/70, so that no alternative makes the ratio more.
	exact := control{compared: 4, history: minHistory}
	c.Assert(exact.logRatio(4, 4, 0.9) <= math.Log(70), qt.IsTrue)
	c.Assert(exact.logRatio(4, 4, 0.9) > math.Log(60), qt.IsTrue)
	// Nothing bad, or nothing but bad, tells nothing.
	c.Assert(exact.logRatio(4, 0, 0.2), qt.Equals, 0.0)
	all := control{compared: 4, bad: 4, history: minHistory}
	c.Assert(all.logRatio(4, 4, 0.2), qt.Equals, 0.0)
}

// TestLooksDontAddUp guards against false alarms from looking at the data all the time: where
// both versions give the same share of bad answers, which changes from second to second, few
// runs may ever reach the bound.
func TestLooksDontAddUp(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	const runs, steps = 200, 200
	alarms := 0
	for range runs {
		evidence, now, isAlarm := newEvidence(time.Minute), time.Now(), false
		for range steps {
			now = now.Add(300 * time.Millisecond)
			share := 0.02
			if random.IntN(5) == 0 {
				share = random.Float64()
			}
			answers := map[Key]*tally{}
			for route := uint32(1); route <= 3; route++ {
				add := func(target uint32, count int) {
					key := Key{Route: route, Target: target}
					answers[key] = &tally{answers: uint32(count)}
					for range count {
						if random.Float64() < share {
							answers[key].failures++
						}
						answers[key].first[bucketOf(time.Duration(1e8*math.Exp(0.5*random.NormFloat64())))]++
					}
				}
				add(0, random.IntN(20))
				add(1+uint32(random.IntN(4)), random.IntN(3))
			}
			evidence.add(answers, now, false)
			finding := evidence.find()
			isAlarm = isAlarm || finding.isBad(alpha)
		}
		if isAlarm {
			alarms++
		}
	}
	t.Logf("%d of %d runs", alarms, runs)
	c.Assert(alarms <= 6, qt.IsTrue, qt.Commentf("%d of %d runs", alarms, runs))
}

// TestTimes checks that the buckets of times have the bounds that they are read by.
func TestTimes(t *testing.T) {
	c := qt.New(t)
	for duration := time.Microsecond; duration < 5*time.Minute; duration = duration*11/10 + 1 {
		bucket := bucketOf(duration)
		c.Assert(bucket >= 0 && bucket < bucketCount, qt.IsTrue)
		if bucket > 0 && bucket < bucketCount-1 {
			c.Assert(duration < upperBound(bucket)+time.Microsecond && duration > upperBound(bucket-1)-time.Microsecond, qt.IsTrue, qt.Commentf("%s in %d", duration, bucket))
		}
	}
	for _, duration := range []time.Duration{-time.Second, 0, time.Hour, math.MaxInt64} {
		c.Assert(bucketOf(duration) < bucketCount && bucketOf(duration) >= 0, qt.IsTrue)
	}
}
