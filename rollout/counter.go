package rollout

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCells limits the cells that a host counts for a rollout, and maxHostCells those
	// that the deciding host keeps of another one.
	maxCells     = 4096
	maxHostCells = maxCells
	// tellings is the number of reports that have a changed cell, as reports may be lost.
	tellings = 3
)

// Key identifies a cell: the answers of one target of the new version, or of all targets of
// the other versions, on a route.
type Key struct {
	Route uint32
	// Target is 0 for the targets of the other versions.
	Target uint32
	// IsFar is set if the target is in another zone than the host that asked it.
	IsFar bool
}

// compare orders keys.
func (key Key) compare(other Key) int {
	if key.IsFar != other.IsFar {
		if key.IsFar {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(key.Target, other.Target), cmp.Compare(key.Route, other.Route))
}

// isNew reports whether the cell is one of a target of the new version.
func (key Key) isNew() bool { return key.Target != 0 }

// hashName returns the number by which hosts name a route or a target, not 0.
func hashName(name string) uint32 {
	return max(1, uint32(xxhash.Sum64String(name)))
}

// Bin is the number of times in a bucket.
type Bin struct {
	Bucket uint8
	Count  uint32
}

// Cell holds what targets have answered since the rollout began. All numbers only grow.
type Cell struct {
	Key
	// Answers counts all answers, and Failures those that were none or errors.
	Answers, Failures uint32
	// First are the times to the first event of a stream or to another whole answer, Gap the
	// average times between the events of each stream, Took the times to the end, which are
	// counted for the other versions only.
	First, Gap, Took []Bin
}

// counter counts the answers to this host's requests for a rollout.
type counter struct {
	// requests counts the requests of callers for the pool, sent those that were sent to
	// targets of the new version.
	requests, sent atomic.Uint64
	cells          sync.Map
	count          atomic.Int32
}

// countedCell is a Cell that requests change.
type countedCell struct {
	answers, failures atomic.Uint32
	first, gap, took  [bucketCount]atomic.Uint32
	// untold is the number of reports that the cell still has to be in.
	untold atomic.Int32
}

// cell returns the cell with a key, nil if there are too many.
func (counter *counter) cell(key Key) *countedCell {
	found, ok := counter.cells.Load(key)
	if !ok {
		if counter.count.Load() >= maxCells {
			return nil
		}
		if found, ok = counter.cells.LoadOrStore(key, &countedCell{}); !ok {
			counter.count.Add(1)
		}
	}
	return found.(*countedCell)
}

// tell puts the cell into the next reports.
func (cell *countedCell) tell() { cell.untold.Store(tellings) }

func countTime(buckets *[bucketCount]atomic.Uint32, duration time.Duration) {
	if duration > 0 {
		buckets[bucketOf(duration)].Add(1)
	}
}

// retell puts all cells into the next reports, as they go to another host.
func (counter *counter) retell() {
	counter.cells.Range(func(_, found any) bool {
		found.(*countedCell).untold.Store(tellings)
		return true
	})
}

// take returns the cells to report, as far as they have room. Those that changed since they
// were last reported come first.
func (counter *counter) take(room int) []Cell {
	var keys []Key
	untold := map[Key]*countedCell{}
	counter.cells.Range(func(key, found any) bool {
		if cell := found.(*countedCell); cell.untold.Load() > 0 {
			keys = append(keys, key.(Key))
			untold[key.(Key)] = cell
		}
		return true
	})
	slices.SortFunc(keys, func(one, other Key) int {
		return cmp.Or(cmp.Compare(untold[other].untold.Load(), untold[one].untold.Load()), one.compare(other))
	})
	var cells []Cell
	for _, key := range keys {
		counted := untold[key]
		before := counted.untold.Load()
		cell := counted.load(key)
		if room -= cell.size(); room < 0 && len(cells) > 0 {
			break
		}
		cells = append(cells, cell)
		// An answer that was counted meanwhile has set it anew.
		counted.untold.CompareAndSwap(before, before-1)
	}
	return cells
}

// load returns the present state of a cell.
func (cell *countedCell) load(key Key) Cell {
	return Cell{
		Key: key, Answers: cell.answers.Load(), Failures: cell.failures.Load(),
		First: binsOf(&cell.first), Gap: binsOf(&cell.gap), Took: binsOf(&cell.took),
	}
}

func binsOf(buckets *[bucketCount]atomic.Uint32) []Bin {
	var bins []Bin
	for bucket := range buckets {
		if count := buckets[bucket].Load(); count > 0 {
			bins = append(bins, Bin{Bucket: uint8(bucket), Count: count})
		}
	}
	return bins
}

// Sizes of the parts of a cell in a message.
const (
	cellBytes = 20
	binBytes  = 3
)

// size returns about the bytes of a cell in a message.
func (cell *Cell) size() int {
	return cellBytes + binBytes*(len(cell.First)+len(cell.Gap)+len(cell.Took))
}

// tally is a Cell as the deciding host adds it up.
type tally struct {
	answers, failures uint32
	first, gap, took  histogram
}

// addDifference adds what a cell has more than an earlier one of the same host. It ignores
// numbers that have become smaller.
func (tally *tally) addDifference(cell, earlier *Cell) {
	tally.answers += grown(cell.Answers, earlier.Answers)
	tally.failures += grown(cell.Failures, earlier.Failures)
	tally.first.addDifference(cell.First, earlier.First)
	tally.gap.addDifference(cell.Gap, earlier.Gap)
	tally.took.addDifference(cell.Took, earlier.Took)
}

func (histogram *histogram) addDifference(bins, earlier []Bin) {
	before := map[uint8]uint32{}
	for _, bin := range earlier {
		before[bin.Bucket] = bin.Count
	}
	for _, bin := range bins {
		if int(bin.Bucket) < bucketCount {
			histogram[bin.Bucket] += grown(bin.Count, before[bin.Bucket])
		}
	}
}

func grown(now, before uint32) uint32 {
	if now < before {
		return 0
	}
	return now - before
}

// add adds another tally.
func (tally *tally) add(other *tally) {
	tally.answers += other.answers
	tally.failures += other.failures
	tally.first.add(&other.first)
	tally.gap.add(&other.gap)
	tally.took.add(&other.took)
}
