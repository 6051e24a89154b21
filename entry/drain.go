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
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("entry")
	// DrainCutShort is returned by a drain that ended before every request did.
	DrainCutShort = Errors.NewType("cut")
)

// jobSet is the set of the jobs that have no complete answer yet.
type jobSet struct {
	mutex sync.Mutex
	jobs  map[*job]struct{}
}

func (jobSet *jobSet) add(added *job) {
	jobSet.mutex.Lock()
	defer jobSet.mutex.Unlock()
	if jobSet.jobs == nil {
		jobSet.jobs = map[*job]struct{}{}
	}
	jobSet.jobs[added] = struct{}{}
}

func (jobSet *jobSet) remove(job *job) {
	jobSet.mutex.Lock()
	defer jobSet.mutex.Unlock()
	delete(jobSet.jobs, job)
}

func (jobSet *jobSet) list() []*job {
	jobSet.mutex.Lock()
	defer jobSet.mutex.Unlock()
	jobs := make([]*job, 0, len(jobSet.jobs))
	for job := range jobSet.jobs {
		jobs = append(jobs, job)
	}
	return jobs
}

// drainSignal returns the channel that is closed when draining is set.
func (entry *Entry) drainSignal() chan struct{} {
	entry.drainingBeganOnce.Do(func() { entry.drainingBegan = make(chan struct{}) })
	return entry.drainingBegan
}

// Drain makes the host unready and keeps serving for DrainSettings.Notice. Then it
// refuses new and waiting requests and returns when the dispatched ones have ended.
// It returns DrainCutShort if the context ends first.
func (entry *Entry) Drain(ctx context.Context) error {
	entry.Events.Record(eventDraining, timeline.Event{})
	entry.drainAnnounced.Store(true)
	pause.For(ctx, entry.DrainSettings.Notice)
	entry.admissionMutex.Lock()
	entry.draining.Store(true)
	entry.admissionMutex.Unlock()
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
		return entry.cutDrainShort()
	}
}

// cutDrainShort records the requests that a drain leaves unfinished and returns
// their number as an error.
func (entry *Entry) cutDrainShort() error {
	entry.drainCutShort.Store(true)
	unfinished := entry.activeRequests.Load()
	entry.Events.Record(eventDrainCutShort, timeline.Event{Detail: strconv.FormatInt(unfinished, 10)})
	for _, job := range entry.jobs.list() {
		entry.recordEvent(eventRequestCut, job, "")
	}
	return DrainCutShort.New("%d unfinished requests were cut off", unfinished)
}
