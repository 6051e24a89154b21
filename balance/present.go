package balance

import (
	"math/bits"
	"time"
)

const (
	// spanCount is the number of classes of time spans by which figures are compared with
	// later ones. The shortest class is below minSpan, each other twice as long as the one
	// before; figures older than the longest, 4 s, say nothing.
	spanCount = 11
	minSpan   = 4 * time.Millisecond
	// figureDecay is the factor by which each new pair of figures reduces the weight of the
	// older ones, about 200 pairs count.
	figureDecay = 0.995
	// meanWeight is the least weight of a new figure in the average.
	meanWeight = 0.01
	// minPairs is the number of pairs that the estimates of correlation and of the explained
	// part are reduced by, so that few pairs show little.
	minPairs = 8
	// enoughPairs is the number of pairs of a span from which longer spans are not consulted.
	enoughPairs = 32
	// maxFactor bounds by how much a figure changes an estimate, in both directions.
	maxFactor = 4
	// maxObservedRatio bounds the weight of single observations: requests that had to queue
	// take very much longer than estimated.
	maxObservedRatio = 4
)

// presentSpeed is how long work takes at a target now, relative to its average. The target
// tells it in answers, as a figure of which only the changes are used: the average is part of
// the long-term speed, which this host observes. A figure that is always the same therefore
// changes nothing.
type presentSpeed struct {
	// told is the last figure, toldAt the time of the answer.
	told   float64
	toldAt time.Time
	// mean is the running average of the figures, count the number of figures.
	mean  float64
	count int
	// spans compare figures with the figure before, by the time between the two.
	spans [spanCount]fit
	// prompts and events compare observed times with the figures that were told with them.
	prompts, events fit
}

// fit is the least-squares slope of a line through the origin, from exponentially decayed
// sums.
type fit struct {
	pairs, sumSquared, sumProduct float64
}

func (fit *fit) add(x, y float64) {
	fit.pairs = figureDecay*fit.pairs + 1
	fit.sumSquared = figureDecay*fit.sumSquared + x*x
	fit.sumProduct = figureDecay*fit.sumProduct + x*y
}

// join adds the pairs of another fit.
func (fit *fit) join(other *fit) {
	fit.pairs += other.pairs
	fit.sumSquared += other.sumSquared
	fit.sumProduct += other.sumProduct
}

// slope returns the slope within 0 and 1, reduced if it is from few pairs.
func (fit *fit) slope() float64 {
	if fit.sumSquared <= 0 {
		return 0
	}
	return min(max(0, fit.sumProduct/fit.sumSquared), 1) * fit.pairs / (fit.pairs + minPairs)
}

// add adds a figure that the target told.
func (presentSpeed *presentSpeed) add(figure float64, now time.Time) {
	previous := presentSpeed.deviation(presentSpeed.told)
	presentSpeed.count++
	presentSpeed.mean += max(meanWeight, 1/float64(presentSpeed.count)) * (figure - presentSpeed.mean)
	if age := now.Sub(presentSpeed.toldAt); presentSpeed.count > 2 && age >= 0 {
		if span := spanOf(age); span < spanCount {
			presentSpeed.spans[span].add(previous, presentSpeed.deviation(figure))
		}
	}
	presentSpeed.told, presentSpeed.toldAt = figure, now
}

// spanOf returns the class of a time span, spanCount or more for those that are too long.
func spanOf(span time.Duration) int { return bits.Len64(uint64(max(0, span) / minSpan)) }

// deviation returns the relative difference of a figure from the average.
func (presentSpeed *presentSpeed) deviation(figure float64) float64 {
	if presentSpeed.mean <= 0 || figure <= 0 {
		return 0
	}
	return min(max(figure/presentSpeed.mean, 1.0/maxFactor), maxFactor) - 1
}

// valid returns the part of the deviation of a figure that is left after a time. As it falls
// with time, pairs of longer spans give a lower bound where few were observed.
func (presentSpeed *presentSpeed) valid(age time.Duration) float64 {
	var pooled fit
	for span := spanOf(age); span < spanCount && pooled.pairs < enoughPairs; span++ {
		pooled.join(&presentSpeed.spans[span])
	}
	return pooled.slope()
}

// factor returns the expected duration of work of a kind that begins now, relative to its
// average. It is 1 without a figure, and if figures did not explain the observed times.
func (presentSpeed *presentSpeed) factor(explained *fit, now time.Time) float64 {
	if presentSpeed == nil {
		return 1
	}
	part := explained.slope()
	if part == 0 {
		return 1
	}
	return 1 + part*presentSpeed.valid(now.Sub(presentSpeed.toldAt))*presentSpeed.deviation(presentSpeed.told)
}

// promptFactor is factor for the reading of prompts.
func (presentSpeed *presentSpeed) promptFactor(now time.Time) float64 {
	if presentSpeed == nil {
		return 1
	}
	return presentSpeed.factor(&presentSpeed.prompts, now)
}

// normalize returns an observed time of work without the part of it that the figure explains
// which was told with it, and learns what part figures explain. Usual is the time by the
// long-term speed, 0 if it is unknown.
func (presentSpeed *presentSpeed) normalize(explained *fit, figure float64, observed, usual time.Duration) time.Duration {
	if presentSpeed == nil || figure == 0 {
		return observed
	}
	deviation := presentSpeed.deviation(figure)
	normalized := time.Duration(float64(observed) / (1 + explained.slope()*deviation))
	if usual > 0 {
		ratio := min(max(0, float64(observed)/float64(usual)), maxObservedRatio)
		explained.add(deviation, ratio-1)
	}
	return normalized
}

// RecordDuration records how long the target of a grant says that work takes there now,
// relative to its usual duration. Figures of targets that are replaced or told by no answer
// of the request itself must not be passed.
func (grant *Grant) RecordDuration(figure float64) {
	if figure <= 0 {
		return
	}
	balancer := grant.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	grant.targetState.recordDuration(figure, time.Now())
	grant.told = figure
}

func (targetState *targetState) recordDuration(figure float64, now time.Time) {
	if targetState.present == nil {
		targetState.present = &presentSpeed{}
	}
	targetState.present.add(figure, now)
}

// RecordDuration records the figure of an answer that this host forwards for another.
func (balancer *Balancer) RecordDuration(target *Target, figure float64) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	state := balancer.targets[target.ID]
	if figure <= 0 || state == nil || state.Incarnation() != target.Incarnation() {
		return
	}
	state.recordDuration(figure, time.Now())
}
