package entry

import (
	"context"
	"strconv"
	"sync"

	"github.com/joomcode/errorx"

	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("entry")
	// Cut is returned by a drain that ended before every running answer did.
	Cut = Errors.NewType("cut")
)

// jobSet is the requests that this host has not answered yet.
type jobSet struct {
	mutex sync.Mutex
	jobs  map[*job]struct{}
}

func (set *jobSet) add(added *job) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if set.jobs == nil {
		set.jobs = map[*job]struct{}{}
	}
	set.jobs[added] = struct{}{}
}

func (set *jobSet) remove(job *job) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	delete(set.jobs, job)
}

func (set *jobSet) list() []*job {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	listed := make([]*job, 0, len(set.jobs))
	for job := range set.jobs {
		listed = append(listed, job)
	}
	return listed
}

func (entry *Entry) drainSignal() chan struct{} {
	entry.once.Do(func() { entry.drained = make(chan struct{}) })
	return entry.drained
}

// Drain makes the host unready and goes on serving for the notice. Then it
// takes nothing new, answers waiting requests notRun and returns when running
// answers have ended. It fails at the end of the context.
func (entry *Entry) Drain(ctx context.Context) error {
	entry.Events.Record(eventDraining, timeline.Event{})
	entry.leaving.Store(true)
	pause.For(ctx, entry.Drains.Notice)
	entry.admission.Lock()
	entry.draining.Store(true)
	entry.admission.Unlock()
	close(entry.drainSignal())
	ended := make(chan struct{})
	go func() {
		entry.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return entry.cut()
	}
}

// cut tells what a drain that was ended early leaves unanswered.
func (entry *Entry) cut() error {
	entry.forced.Store(true)
	left := entry.inFlight.Load()
	entry.Events.Record(eventCut, timeline.Event{Detail: strconv.FormatInt(left, 10)})
	for _, job := range entry.jobs.list() {
		entry.record(eventCutRequest, job, "")
	}
	return Cut.New("%d running answers were cut", left)
}
