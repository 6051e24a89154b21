package memory

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestOrder runs testdata/*.script; the head of each names the load and whom it would harm.
// The lines are
//
//	short KIND part BYTES                  the kind that is short
//	NAME PHASE held BYTES [age D] [quiet D] [writing D] [remaining D]
//	     [received BYTES of BYTES] [of WORKSPACE] [proven] [late] [overdue]
//	gives NAME...                          those that give way, in order
//	gives                                  nobody
func TestOrder(t *testing.T) {
	files, err := filepath.Glob("testdata/*.script")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runScript(qt.New(t), file) })
	}
}

func runScript(c *qt.C, file string) {
	text, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	var names []string
	var candidates []Candidate
	var kind Kind
	var part int64
	for number, line := range strings.Split(string(text), "\n") {
		words := strings.Fields(line)
		comment := qt.Commentf("%s:%d: %s", file, number+1, line)
		if len(words) == 0 || strings.HasPrefix(line, "#") {
			continue
		}
		switch words[0] {
		case "short":
			kind, part = kindByName(c, words[1]), scanBytes(c, words[3], comment)
			names, candidates = nil, nil
		case "gives":
			gives := []string{}
			for _, i := range Order(kind, part, candidates) {
				gives = append(gives, names[i])
			}
			c.Check(gives, qt.DeepEquals, append([]string{}, words[1:]...), comment)
		default:
			names = append(names, words[0])
			candidates = append(candidates, scanCandidate(c, words[1:], comment))
		}
	}
}

func kindByName(c *qt.C, name string) Kind {
	for _, kind := range Kinds() {
		if kind.String() == name {
			return kind
		}
	}
	c.Fatalf("no kind %q", name)
	return 0
}

func scanBytes(c *qt.C, text string, comment qt.Comment) int64 {
	var bytes int64
	var unit string
	_, err := fmt.Sscanf(text+" ", "%d%s ", &bytes, &unit)
	if unit == "" {
		_, err = fmt.Sscan(text, &bytes)
	}
	c.Assert(err, qt.IsNil, comment)
	return bytes * map[string]int64{"": 1, "k": 1 << 10, "m": 1 << 20}[unit]
}

func scanCandidate(c *qt.C, words []string, comment qt.Comment) Candidate {
	candidate := Candidate{Remaining: time.Hour}
	for phase := Head; phase <= Gone; phase++ {
		if phase.String() == words[0] {
			candidate.Phase = phase
		}
	}
	c.Assert(candidate.Phase.String(), qt.Equals, words[0], comment)
	durations := map[string]*time.Duration{
		"age": &candidate.Age, "quiet": &candidate.Quiet, "writing": &candidate.Writing, "remaining": &candidate.Remaining,
	}
	for i := 1; i < len(words); i++ {
		if duration := durations[words[i]]; duration != nil {
			var err error
			*duration, err = time.ParseDuration(words[i+1])
			c.Assert(err, qt.IsNil, comment)
			i++
			continue
		}
		switch words[i] {
		case "held":
			candidate.Held = scanBytes(c, words[i+1], comment)
			i++
		case "received":
			candidate.Received, candidate.Declared = scanBytes(c, words[i+1], comment), scanBytes(c, words[i+3], comment)
			i += 3
		case "of":
			candidate.Workspace = words[i+1]
			i++
		case "proven":
			candidate.IsProven = true
		case "late":
			candidate.IsLate = true
		case "overdue":
			candidate.IsOverdue = true
		default:
			c.Fatalf("unknown word %q in %q", words[i], words)
		}
	}
	candidate.Age = max(candidate.Age, candidate.Quiet, candidate.Writing)
	if candidate.Phase == Idle {
		candidate.Quiet = candidate.Age
	}
	return candidate
}

// TestNothingStaysHeld guards against memory that is counted for good, or given back twice:
// after any sequence of connections that take, give, give way and end, nothing is held, and
// never more than the parts.
func TestNothingStaysHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := &Budget{}
		for kind := range budget.Parts {
			budget.Parts[kind] = rapid.Int64Range(1, 100).Draw(t, "part")
		}
		model := &model{T: t, budget: budget, taken: map[*Holder]map[Kind]int64{}}
		t.Repeat(map[string]func(*rapid.T){
			"":        model.check,
			"open":    model.open,
			"enter":   model.enter,
			"take":    model.take,
			"head":    model.head,
			"give":    model.give,
			"close":   model.close,
			"relieve": model.relieve,
		})
		for holder, taken := range model.taken {
			for kind, bytes := range taken {
				holder.Give(kind, bytes)
			}
			holder.Close()
			holder.Close()
		}
		for _, kind := range Kinds() {
			if held := budget.Held(kind); held != 0 {
				t.Fatalf("%d bytes of %s are still held", held, kind)
			}
		}
		if budget.Holders() != 0 {
			t.Fatalf("%d holders are left", budget.Holders())
		}
	})
}

// model is what a property test has taken.
type model struct {
	*rapid.T
	budget  *Budget
	holders []*Holder
	taken   map[*Holder]map[Kind]int64
}

func (model *model) pick(t *rapid.T) *Holder {
	if len(model.holders) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(model.holders).Draw(t, "holder")
}

func (model *model) check(t *rapid.T) {
	for _, kind := range Kinds() {
		if held := model.budget.Held(kind); held < 0 || held > model.budget.Parts[kind] {
			t.Fatalf("%d bytes of %s are held, of %d", held, kind, model.budget.Parts[kind])
		}
	}
}

func (model *model) open(t *rapid.T) {
	var holder *Holder
	hasInput := rapid.Bool().Draw(t, "hasInput")
	holder = model.budget.NewHolder(func(phase Phase) {
		// What a connection does then: at once, or once its request has noticed.
		if phase == Idle || phase == Head {
			holder.Close()
		}
	}, func() bool { return hasInput })
	if holder.Open(rapid.Int64Range(1, 20).Draw(t, "cost")) {
		model.holders = append(model.holders, holder)
		model.taken[holder] = map[Kind]int64{}
	}
}

func (model *model) enter(t *rapid.T) {
	holder := model.pick(t)
	holder.Enter(Phase(rapid.IntRange(int(Head), int(Closing)).Draw(t, "phase")))
	holder.Receive(rapid.IntRange(0, 10000).Draw(t, "received"))
	holder.began.Add(-int64(time.Minute))
	holder.progressAt.Add(-int64(rapid.IntRange(0, 60).Draw(t, "quiet")) * int64(time.Second))
}

func (model *model) take(t *rapid.T) {
	holder := model.pick(t)
	kind := rapid.SampledFrom([]Kind{Bodies, Requests, Answers}).Draw(t, "kind")
	bytes := rapid.Int64Range(1, 40).Draw(t, "bytes")
	if holder.Take(kind, bytes, rapid.SampledFrom([]Size{Small, Large}).Draw(t, "size")) {
		model.taken[holder][kind] += bytes
	}
}

func (model *model) head(t *rapid.T) {
	holder := model.pick(t)
	holder.TakeHead(rapid.Int64Range(1, 40).Draw(t, "bytes"))
	if rapid.Bool().Draw(t, "ends") {
		holder.GiveHeads()
	}
}

func (model *model) give(t *rapid.T) {
	holder := model.pick(t)
	for kind, bytes := range model.taken[holder] {
		holder.Give(kind, bytes)
		delete(model.taken[holder], kind)
	}
}

func (model *model) close(t *rapid.T) { model.pick(t).Close() }

func (model *model) relieve(t *rapid.T) {
	kind := rapid.SampledFrom(Kinds()).Draw(t, "kind")
	model.budget.relieved[kind].Store(0)
	model.budget.Relieve(kind, rapid.Int64Range(0, 40).Draw(t, "further"))
}

// TestNothingStaysHeldByMany guards against the same when connections end while their requests
// still take, as goroutines do.
func TestNothingStaysHeldByMany(t *testing.T) {
	c := qt.New(t)
	budget := &Budget{}
	for kind := range budget.Parts {
		budget.Parts[kind] = 400
	}
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 2000 {
				holder := budget.NewHolder(func(Phase) {}, nil)
				if !holder.Open(100) {
					continue
				}
				var inner sync.WaitGroup
				inner.Go(holder.Close)
				inner.Go(func() { holder.TakeHead(10) })
				if holder.Take(Bodies, 50, Small) {
					holder.Enter(Body)
					holder.Give(Bodies, 50)
				}
				inner.Wait()
			}
		})
	}
	group.Wait()
	for _, kind := range Kinds() {
		c.Check(budget.Held(kind), qt.Equals, int64(0), qt.Commentf("%s", kind))
	}
}

// TestPlan guards against a division by which the smallest machines can't serve the largest
// legal body, or by which the collector has no room.
func TestPlan(t *testing.T) {
	c := qt.New(t)
	const largestBody = 4 << 20
	for _, megabytes := range []int64{120, 134, 184, 1024, 65536} {
		plan := NewPlan(megabytes<<20, 4100)
		parts := plan.Callers.Parts
		large := parts[Bodies] / eighths * unprovenEighths
		c.Check(large >= largestBody, qt.IsTrue, qt.Commentf("%d MB: %d", megabytes, large))
		sum := plan.Peers.Parts[Bodies]
		for _, part := range parts {
			sum += part
		}
		c.Check(sum*8 <= plan.Heap*7, qt.IsTrue, qt.Commentf("%d MB: %d of %d", megabytes, sum>>20, plan.Heap>>20))
		c.Check(parts[Connections]/ConnectionCost <= (4100-reservedDescriptors)/2, qt.IsTrue)
		c.Check(parts[Connections]/ConnectionCost >= minConnections, qt.IsTrue)
	}
	c.Check(NewPlan(0, 0).Machine > 0, qt.IsTrue)
	for _, largest := range []int64{1, 8 << 20, 100<<20 + 3} {
		plan := NewPlan(134<<20, 4100)
		plan.FitBody(largest)
		c.Check(plan.Callers.Parts[Bodies]/eighths*unprovenEighths >= largest, qt.IsTrue, qt.Commentf("a body of %d", largest))
	}
}
