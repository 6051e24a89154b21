package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

// The tests compare the answers of the new version with those that the old one gave on the
// same route in the same block of time, so that what both versions suffer (an outage, too
// much load) is no evidence.
//
// In each block the number of bad answers of both together is taken as given. If both
// versions are alike, those of the new one are distributed hypergeometrically, whatever the
// share of bad answers is in the block (Fisher's exact test; R. A. Fisher, The Design of
// Experiments, 1935); if a part of its answers is bad besides, by Fisher's noncentral
// hypergeometric distribution (P. McCullagh, J. A. Nelder, Generalized Linear Models, 1989,
// section 7.3). The product of the likelihood ratios of all blocks is a nonnegative martingale
// while the versions are alike. By Ville's inequality (J. Ville, Étude critique de la notion
// de collectif, 1939) it ever exceeds 1/alpha with at most the probability alpha: the data may
// be looked at any number of times. Averages of such products keep the property, so that
// several sizes of the bad part, measures and routes are tested at once.

// measure is what makes an answer bad.
type measure int

const (
	// failures: it failed.
	failures measure = iota
	// The time to its first event, or between its events, is longer by marginBuckets than
	// that of half of the old version's answers, of nearly all, or of all but a few.
	firstHalf
	firstMost
	firstTail
	gapHalf
	gapMost
	gapTail
	measureCount
)

// String returns the measure as it appears in events.
func (measure measure) String() string {
	switch {
	case measure == failures:
		return "failures"
	case measure.isGap():
		return "slow events"
	default:
		return "slow answers"
	}
}

// isGap reports whether the measure is one of the times between events.
func (measure measure) isGap() bool { return measure >= gapHalf }

// isTime reports whether the measure is one of times.
func (measure measure) isTime() bool { return measure != failures }

// quantile returns the part of the old version's times to which those of the new one are
// compared.
func (measure measure) quantile() float64 {
	switch measure {
	case firstHalf, gapHalf:
		return 0.5
	case firstMost, gapMost:
		return 0.95
	default:
		return 0.99
	}
}

// times returns the histogram of the measure.
func (measure measure) times(tally *tally) *histogram {
	if measure.isGap() {
		return &tally.gap
	}
	return &tally.first
}

// weight returns the weight of a measure among all; they add up to 1.
func (measure measure) weight() float64 {
	if measure == failures {
		return 0.5
	}
	return 0.5 / float64(measureCount-1)
}

// parts are the parts of the new version's answers that are bad, for each of which there is a
// test.
var parts = [...]float64{0.05, 0.2, 0.6}

const (
	// alpha is the probability with which a version that is no worse is ever taken for a
	// bad one; finalAlpha is that at the two looks by which a rollout moves on. It is larger, as
	// a move exposes more requests than the bounds where answers take long, and a rollout that
	// was rolled back in error can be ordered again.
	alpha      = 1e-2
	finalAlpha = 0.125
	// allRoutesWeight is the weight of the tests of all routes together; each route has a
	// part of the rest.
	allRoutesWeight = 0.5
	// A block lasts from minBlock to maxBlock: until the old version has controlRatio answers
	// for each of the new one, or enoughControl, but not so long that different times are
	// compared. Fewer of its answers would be a weak control. Long rollouts have at most
	// maxBlocks for a route.
	minBlock      = 250 * time.Millisecond
	maxBlock      = 5 * time.Second
	maxBlocks     = 400
	controlRatio  = 12
	enoughControl = 100
	// minCompared is the number of times of the old version on a route from which they are
	// compared.
	minCompared = 30
	// An answer of a target is isolated if nearly all of its answers are bad
	// (isolatedFraction) while at other targets of the version most are not
	// (soundFraction), each by minTargetAnswers or more: the machine is to blame.
	minTargetAnswers = 5
	isolatedFraction = 0.9
	soundFraction    = 0.25
	// troubledFraction is the part of the new version's targets, at least one, whose share of
	// bad answers counts no more than that of the next one: what rests on a single target can't
	// be told from its machine's trouble. Shares are taken as if each target had given
	// soundAnswers sound answers more.
	troubledFraction = 0.125
	soundAnswers     = 2
	// minHistory is the least share of bad answers that the old version is assumed to give,
	// and priorShare the one that is assumed before it has answered, with the weight of
	// priorAnswers answers.
	minHistory   = 1e-3
	priorShare   = 0.01
	priorAnswers = 2
	// Where the old version gives no answers in the same block, its share of bad answers is
	// taken to be at most what it was over all by upperDeviations standard deviations more,
	// and what it was in the worst window of windowAnswers by worstDeviations more.
	upperDeviations = 3
	worstDeviations = 1
	windowAnswers   = 50
)

// stratum is a route, apart for targets in the own zone of hosts and for others.
type stratum struct {
	route uint32
	isFar bool
	// old is what the targets of the other versions answered in the blocks so far, and
	// badOld and comparedOld are sums of the blocks' controls by measure.
	old                 tally
	badOld, comparedOld [measureCount]int
	// badWindow and comparedWindow are those of the present window, worst the highest share
	// of bad answers in one.
	badWindow, comparedWindow [measureCount]int
	worst                     [measureCount]float64
	// pendingOld and pending, by target of the new version, are answered in the present
	// block, which began at begunAt.
	pendingOld tally
	pending    map[uint32]*tally
	begunAt    time.Time
}

// control is what the old version gave in a block.
type control struct {
	compared, bad int
	// history is its share of bad answers in the blocks before.
	history float64
	// limit is the highest share that it may have, for a block without its answers; 0 for
	// others.
	limit float64
}

// sample is what a target of the new version gave in a block.
type sample struct {
	target        uint32
	compared, bad [measureCount]int
}

// block holds the answers of a block of time in a stratum.
type block struct {
	stratum  *stratum
	controls [measureCount]control
	samples  []sample
}

// evidence is what the deciding host knows of the answers of both versions.
type evidence struct {
	// blockTime is the shortest time of a block.
	blockTime time.Duration
	strata    map[Key]*stratum
	// routes holds the routes in the order in which they were seen.
	routes []uint32
	blocks []block
	// scores are the logarithms of the products for all routes together (0), and for each.
	scores map[uint32]*score
}

// score holds the logarithms of the products of a route by measure and part.
type score [measureCount][len(parts)]float64

// finding is the result of the tests.
type finding struct {
	// value is the average of the products: the evidence against the new version.
	value   float64
	route   uint32
	measure measure
	// bad and compared count the new version's answers of the measure on the route, oldBad
	// and oldCompared those of the other versions.
	bad, compared, oldBad, oldCompared int
}

// isBad reports whether the new version is worse, with a probability of error.
func (finding *finding) isBad(alpha float64) bool { return finding.value >= 1/alpha }

// describe returns the finding for events.
func (finding *finding) describe(routeName string) string {
	return fmt.Sprintf("%s: %d of %d, of the old version %d of %d, on %s; e-value %s", finding.measure,
		finding.bad, finding.compared, finding.oldBad, finding.oldCompared, routeName,
		strconv.FormatFloat(finding.value, 'g', 3, 64))
}

// newEvidence returns the evidence of a rollout with a duration.
func newEvidence(duration time.Duration) *evidence {
	return &evidence{
		blockTime: max(minBlock, duration/maxBlocks),
		strata:    map[Key]*stratum{}, scores: map[uint32]*score{},
	}
}

// add adds what was answered since the last call. While requests move, blocks are not waited
// for, as the old version gives ever fewer answers.
func (evidence *evidence) add(answers map[Key]*tally, now time.Time, isMoving bool) {
	for _, key := range slices.SortedFunc(maps.Keys(answers), Key.compare) {
		stratum := evidence.stratum(Key{Route: key.Route, IsFar: key.IsFar}, now)
		if !key.isNew() {
			stratum.pendingOld.add(answers[key])
			continue
		}
		if stratum.pending[key.Target] == nil {
			stratum.pending[key.Target] = &tally{}
		}
		stratum.pending[key.Target].add(answers[key])
	}
	for _, key := range slices.SortedFunc(maps.Keys(evidence.strata), Key.compare) {
		stratum := evidence.strata[key]
		age := now.Sub(stratum.begunAt)
		if age >= evidence.blockTime && (isMoving || stratum.hasControl()) || age >= max(maxBlock, evidence.blockTime) {
			evidence.endBlock(stratum)
			stratum.begunAt = now
		}
	}
}

// hasControl reports whether the new version has answers in the present block, and the old one
// enough to compare with.
func (stratum *stratum) hasControl() bool {
	answers := uint32(0)
	for _, pending := range stratum.pending {
		answers += pending.answers + uint32(pending.first.total())
	}
	control := stratum.pendingOld.answers
	return answers > 0 && control >= min(controlRatio*answers, enoughControl)
}

// endBlock ends the present block of a stratum.
func (evidence *evidence) endBlock(stratum *stratum) {
	block := block{stratum: stratum}
	thresholds := stratum.thresholds()
	for measure := range measureCount {
		block.controls[measure] = evidence.control(stratum, measure, thresholds[measure])
	}
	for _, target := range slices.Sorted(maps.Keys(stratum.pending)) {
		block.samples = append(block.samples, newSample(target, stratum.pending[target], &thresholds))
	}
	stratum.old.add(&stratum.pendingOld)
	stratum.pendingOld = tally{}
	clear(stratum.pending)
	if len(block.samples) > 0 {
		evidence.blocks = append(evidence.blocks, block)
		evidence.addScores(&block, nil, &[measureCount]map[uint32]float64{}, evidence.scores)
	}
}

// stratum returns the stratum with a key.
func (evidence *evidence) stratum(key Key, now time.Time) *stratum {
	entry := evidence.strata[key]
	if entry == nil {
		entry = &stratum{route: key.Route, isFar: key.IsFar, pending: map[uint32]*tally{}, begunAt: now}
		evidence.strata[key] = entry
		if !slices.Contains(evidence.routes, key.Route) {
			evidence.routes = append(evidence.routes, key.Route)
		}
	}
	return entry
}

// thresholds returns the buckets from which the times of the new version are bad, by measure.
// They follow from earlier blocks alone. 0 means that they are not known.
func (stratum *stratum) thresholds() [measureCount]int {
	var thresholds [measureCount]int
	for measure := range measureCount {
		if !measure.isTime() {
			continue
		}
		if times := measure.times(&stratum.old); times.total() >= minCompared {
			thresholds[measure] = times.quantile(measure.quantile()) + 1 + marginBuckets
		}
	}
	return thresholds
}

// control returns what the old version gave in the present block, and adds it to its sums.
func (evidence *evidence) control(stratum *stratum, measure measure, threshold int) control {
	old := &stratum.pendingOld
	control := control{compared: int(old.answers), bad: int(old.failures)}
	if measure.isTime() {
		if threshold == 0 {
			return control
		}
		times := measure.times(old)
		control.compared, control.bad = times.total(), times.atLeast(threshold-marginBuckets)
	}
	compared, bad := stratum.comparedOld[measure], stratum.badOld[measure]
	control.history = max(minHistory, (float64(bad)+priorAnswers*priorShare)/(float64(compared)+priorAnswers))
	if control.compared == 0 {
		control.limit = max(upperShare(bad, compared, upperDeviations), stratum.worst[measure])
	}
	stratum.addOld(measure, control.compared, control.bad)
	return control
}

// addOld adds answers of the old version to its sums.
func (stratum *stratum) addOld(measure measure, compared, bad int) {
	stratum.comparedOld[measure] += compared
	stratum.badOld[measure] += bad
	stratum.comparedWindow[measure] += compared
	stratum.badWindow[measure] += bad
	if stratum.comparedWindow[measure] >= windowAnswers {
		share := upperShare(stratum.badWindow[measure], stratum.comparedWindow[measure], worstDeviations)
		stratum.worst[measure] = max(stratum.worst[measure], share)
		stratum.badWindow[measure], stratum.comparedWindow[measure] = 0, 0
	}
}

// upperShare returns the upper limit of the share of bad answers by the score interval (E. B.
// Wilson, Probable Inference, 1927).
func upperShare(bad, compared int, deviations float64) float64 {
	if compared == 0 {
		return 1
	}
	count, share, square := float64(compared), float64(bad)/float64(compared), deviations*deviations
	center := share + square/(2*count)
	spread := deviations * math.Sqrt(share*(1-share)/count+square/(4*count*count))
	return (center + spread) / (1 + square/count)
}

// newSample returns what a target of the new version gave in a block.
func newSample(target uint32, answers *tally, thresholds *[measureCount]int) sample {
	sample := sample{target: target}
	for measure := range measureCount {
		if !measure.isTime() {
			sample.compared[measure], sample.bad[measure] = int(answers.answers), int(answers.failures)
		} else if threshold := thresholds[measure]; threshold > 0 {
			times := measure.times(answers)
			sample.compared[measure], sample.bad[measure] = times.total(), times.atLeast(threshold)
		}
	}
	return sample
}

// trust says which parts of the bad answers of targets count, by measure; targets that are not
// in it count in full.
type trust [measureCount]map[uint32]float64

// bad returns the bad answers of a sample that count: a part of them over all blocks, of which
// counted holds how many there were so far.
func (trust *trust) bad(sample *sample, measure measure, counted map[uint32]float64) int {
	bad := sample.bad[measure]
	if trust == nil {
		return bad
	}
	part, isReduced := trust[measure][sample.target]
	if !isReduced {
		return bad
	}
	before := counted[sample.target]
	counted[sample.target] = before + part*float64(bad)
	return int(counted[sample.target]) - int(before)
}

// addScores adds the logarithms of a block's likelihood ratios to those of its route and of all.
func (evidence *evidence) addScores(block *block, trust *trust, counted *[measureCount]map[uint32]float64, scores map[uint32]*score) {
	for measure := range measureCount {
		compared, bad := 0, 0
		for i := range block.samples {
			sample := &block.samples[i]
			if part, isReduced := trust.part(measure, sample.target); isReduced && part == 0 {
				continue
			}
			compared += sample.compared[measure]
			bad += trust.bad(sample, measure, counted[measure])
		}
		if compared == 0 {
			continue
		}
		for i, part := range parts {
			ratio := block.controls[measure].logRatio(compared, bad, part)
			for _, route := range []uint32{0, block.stratum.route} {
				if scores[route] == nil {
					scores[route] = &score{}
				}
				scores[route][measure][i] += ratio
			}
		}
	}
}

// part returns the part of a target's bad answers that counts, if not all do.
func (trust *trust) part(measure measure, target uint32) (part float64, isReduced bool) {
	if trust == nil {
		return 1, false
	}
	part, isReduced = trust[measure][target]
	return part, isReduced
}

// logRatio returns the logarithm of the likelihood ratio of a number of bad answers of the new
// version: a part of them is bad besides those that the old version gives as well.
func (control *control) logRatio(compared, bad int, part float64) float64 {
	if control.limit > 0 {
		// No answer of the old version: it gives at most the limit.
		share := control.limit + part*(1-control.limit)
		if share >= 1 {
			return 0
		}
		return float64(bad)*math.Log(share/control.limit) + float64(compared-bad)*math.Log((1-share)/(1-control.limit))
	}
	allBad := bad + control.bad
	if control.compared == 0 || allBad == 0 || allBad == compared+control.compared {
		return 0
	}
	// The shares of bad answers by which this number of them would be expected.
	share := (float64(allBad) - part*float64(compared)) / (float64(control.compared) + (1-part)*float64(compared))
	share = min(max(share, control.history), 1-minHistory)
	raised := share + part*(1-share)
	logOdds := math.Log(raised) - math.Log(1-raised) - math.Log(share) + math.Log(1-share)
	return float64(bad)*logOdds - logMeanOdds(compared, control.compared, allBad, logOdds)
}

// logMeanOdds returns the logarithm of the mean of exp(logOdds * K), where K is the number of
// marked ones among count that are drawn without replacement from count and others, of which
// marked are.
func logMeanOdds(count, others, marked int, logOdds float64) float64 {
	first, last := max(0, marked-others), min(marked, count)
	probability, weighted := logSum{}, logSum{}
	logTerm := 0.0
	for k := first; k <= last; k++ {
		probability.add(logTerm)
		weighted.add(logTerm + float64(k)*logOdds)
		logTerm += math.Log(float64(marked-k) * float64(count-k) / (float64(k+1) * float64(others-marked+k+1)))
	}
	return weighted.log() - probability.log()
}

// logSum adds numbers that are given by their logarithms.
type logSum struct {
	highest, sum float64
	isSet        bool
}

func (logSum *logSum) add(logarithm float64) {
	switch {
	case !logSum.isSet:
		logSum.highest, logSum.sum, logSum.isSet = logarithm, 1, true
	case logarithm > logSum.highest:
		logSum.sum = logSum.sum*math.Exp(logSum.highest-logarithm) + 1
		logSum.highest = logarithm
	default:
		logSum.sum += math.Exp(logarithm - logSum.highest)
	}
}

func (logSum *logSum) log() float64 {
	if !logSum.isSet {
		return math.Inf(-1)
	}
	return logSum.highest + math.Log(logSum.sum)
}

// find returns the result of the tests. If the evidence seems enough, it must also be without
// what targets whose machines may be to blame have more than others.
func (evidence *evidence) find() finding {
	finding := evidence.average(evidence.scores)
	if !finding.isBad(finalAlpha) {
		return finding
	}
	trust := evidence.weigh()
	scores, counted := map[uint32]*score{}, [measureCount]map[uint32]float64{}
	for measure := range measureCount {
		counted[measure] = map[uint32]float64{}
	}
	for i := range evidence.blocks {
		evidence.addScores(&evidence.blocks[i], trust, &counted, scores)
	}
	finding = evidence.average(scores)
	evidence.count(&finding, trust)
	return finding
}

// average returns the weighted average of products, with the route and measure that have the
// largest part in it.
func (evidence *evidence) average(scores map[uint32]*score) finding {
	var sum logSum
	result, largest := finding{}, math.Inf(-1)
	add := func(route uint32, weight float64) {
		score := scores[route]
		for measure := range measureCount {
			for i := range parts {
				logarithm := 0.0
				if score != nil {
					logarithm = score[measure][i]
				}
				logarithm += math.Log(weight * measure.weight() / float64(len(parts)))
				if sum.add(logarithm); logarithm > largest {
					largest, result.route, result.measure = logarithm, route, measure
				}
			}
		}
	}
	add(0, allRoutesWeight)
	for i, route := range evidence.routes {
		// The weights of any number of routes add up to less than 1.
		add(route, (1-allRoutesWeight)/float64((i+1)*(i+2)))
	}
	result.value = math.Exp(sum.log())
	return result
}

// targetSum is what a target of the new version gave in all blocks.
type targetSum struct {
	target        uint32
	compared, bad int
}

func (targetSum *targetSum) fraction() float64 {
	return float64(targetSum.bad) / float64(max(1, targetSum.compared))
}

// cautious returns the share of bad answers, lower for targets with few answers.
func (targetSum *targetSum) cautious() float64 {
	return float64(targetSum.bad) / float64(targetSum.compared+soundAnswers)
}

// weigh returns which parts of the bad answers of targets count: none of those at which nearly
// all answers are bad while most are not at others, and of the worst of the rest as many as of
// the next one.
func (evidence *evidence) weigh() *trust {
	trust := &trust{}
	for measure := range measureCount {
		sums := evidence.targetSums(measure)
		parts := map[uint32]float64{}
		trust[measure] = parts
		isSound := slices.ContainsFunc(sums, func(sum targetSum) bool {
			return sum.compared >= minTargetAnswers && sum.fraction() <= soundFraction
		})
		sums = slices.DeleteFunc(sums, func(sum targetSum) bool {
			isIsolated := isSound && sum.compared >= minTargetAnswers && sum.fraction() >= isolatedFraction
			if isIsolated {
				parts[sum.target] = 0
			}
			return isIsolated
		})
		if len(sums) < 2 {
			continue
		}
		slices.SortFunc(sums, func(one, other targetSum) int {
			return cmp.Or(cmp.Compare(other.cautious(), one.cautious()), cmp.Compare(one.target, other.target))
		})
		worst := max(1, int(troubledFraction*float64(len(sums))))
		next := sums[worst].cautious()
		for _, sum := range sums[:worst] {
			if sum.bad > 0 {
				parts[sum.target] = next / sum.cautious()
			}
		}
	}
	return trust
}

// targetSums returns what each target of the new version gave in all blocks.
func (evidence *evidence) targetSums(measure measure) []targetSum {
	byTarget := map[uint32]*targetSum{}
	for i := range evidence.blocks {
		for _, sample := range evidence.blocks[i].samples {
			if byTarget[sample.target] == nil {
				byTarget[sample.target] = &targetSum{target: sample.target}
			}
			byTarget[sample.target].compared += sample.compared[measure]
			byTarget[sample.target].bad += sample.bad[measure]
		}
	}
	var sums []targetSum
	for _, sum := range byTarget {
		sums = append(sums, *sum)
	}
	slices.SortFunc(sums, func(one, other targetSum) int { return cmp.Compare(one.target, other.target) })
	return sums
}

// count sets the numbers of answers of a finding.
func (evidence *evidence) count(finding *finding, trust *trust) {
	for i := range evidence.blocks {
		block := &evidence.blocks[i]
		if finding.route != 0 && block.stratum.route != finding.route {
			continue
		}
		for _, sample := range block.samples {
			if part, isReduced := trust.part(finding.measure, sample.target); !isReduced || part > 0 {
				finding.compared += sample.compared[finding.measure]
				finding.bad += sample.bad[finding.measure]
			}
		}
	}
	for _, stratum := range evidence.strata {
		if finding.route == 0 || stratum.route == finding.route {
			finding.oldCompared += stratum.comparedOld[finding.measure]
			finding.oldBad += stratum.badOld[finding.measure]
		}
	}
}

// answered returns the answers of the new version so far, and of them those that failed.
func (evidence *evidence) answered() (answers, failed int) {
	for _, sum := range evidence.targetSums(failures) {
		answers += sum.compared
		failed += sum.bad
	}
	return answers, failed
}

// slowAfter returns the time on a route after which a first event of the new version is slow by
// any measure: one that has not come by then need not be waited for. It is 0 if not known.
func (evidence *evidence) slowAfter(route uint32) time.Duration {
	slow := time.Duration(0)
	for _, stratum := range evidence.strata {
		if bucket := stratum.thresholds()[firstTail]; bucket > 0 && stratum.route == route {
			slow = max(slow, upperBound(bucket))
		}
	}
	return slow
}

// longest returns the time within which nearly all answers of the old version on a route have
// ended, 0 if it is not known.
func (evidence *evidence) longest(route uint32) time.Duration {
	var took histogram
	for _, stratum := range evidence.strata {
		if stratum.route == route {
			took.add(&stratum.old.took)
			took.add(&stratum.pendingOld.took)
		}
	}
	if took.total() == 0 {
		return 0
	}
	return upperBound(took.quantile(longestQuantile))
}

// longestQuantile is the part of the answers within the longest time. A single one that hung
// is not among them.
const longestQuantile = 0.99

// routeParts returns the parts of the old version's answers on each route.
func (evidence *evidence) routeParts() map[uint32]float64 {
	parts, all := map[uint32]float64{}, 0.0
	for _, stratum := range evidence.strata {
		answers := float64(stratum.old.answers + stratum.pendingOld.answers)
		parts[stratum.route] += answers
		all += answers
	}
	for route := range parts {
		parts[route] /= max(1, all)
	}
	return parts
}
