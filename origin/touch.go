package origin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

const (
	// mostLifetime is how long a host remembers that it knew more hosts than it does now. A host
	// that is cut off from others forgets them after a minute.
	mostLifetime = time.Hour
	// platformInterval is the shortest time between two reads of the platform by which a host
	// finds out whether a pool has had one version, platformTimeout limits a read.
	platformInterval = 500 * time.Millisecond
	platformTimeout  = time.Second
)

var eventPlatformUnread = timeline.Define(timeline.Kind{
	Number: 1149, Name: "versions not read", Level: timeline.Info,
	Meaning: "A caller took a stream up at this host, which may be out of step, and the targets or the marks of pools with several versions could not be read from the platform; the detail is the error. They are read again while such streams wait, which do not go on without.",
})

// touch is how well a host hears the others: how many, of how many that it knew lately.
type touch struct{ heard, known int }

// isEnough reports whether the host and those that it hears are more than half of all.
func (touch touch) isEnough() bool { return 2*(touch.heard+1) > touch.known+1 }

// mostKnown is the most hosts that were known within mostLifetime.
type mostKnown struct {
	mutex sync.Mutex
	count int
	at    time.Time
}

func (mostKnown *mostKnown) update(count int, now time.Time) int {
	mostKnown.mutex.Lock()
	defer mostKnown.mutex.Unlock()
	if count >= mostKnown.count || now.Sub(mostKnown.at) > mostLifetime {
		mostKnown.count, mostKnown.at = count, now
	}
	return mostKnown.count
}

func (origins *Origins) touch() touch {
	heard := len(origins.Members())
	return touch{heard: heard, known: origins.most.update(max(heard, origins.Known()), time.Now())}
}

// platformReads are the reads of the platform by which a host finds out whether a pool has had
// one version. Takers wait for one that begins after they came; one is in progress at a time.
type platformReads struct {
	mutex sync.Mutex
	// begunAt is when the last read began, succeededAt when the last that succeeded did.
	begunAt, succeededAt time.Time
	err                  error
	// pending is closed at the end of the read in progress, nil for none.
	pending chan struct{}
}

// readPlatform reads the targets and the marks, unless that was begun after a time, until it
// succeeds or the context ends.
func (origins *Origins) readPlatform(ctx context.Context, since time.Time) error {
	reads := &origins.platform
	for {
		reads.mutex.Lock()
		if !reads.succeededAt.Before(since) {
			reads.mutex.Unlock()
			return nil
		}
		pending, err := reads.pending, reads.err
		if pending == nil {
			pending = make(chan struct{})
			reads.pending = pending
			go origins.readPlatformOnce(context.WithoutCancel(ctx), pending, reads.begunAt)
		}
		reads.mutex.Unlock()
		select {
		case <-pending:
		case <-ctx.Done():
			if err != nil {
				return err
			}
			return fmt.Errorf("wait for the platform: %w", ctx.Err())
		}
	}
}

// readPlatformOnce reads the targets and the marks once and closes pending.
func (origins *Origins) readPlatformOnce(ctx context.Context, pending chan<- struct{}, lastAt time.Time) {
	pause.For(ctx, time.Until(lastAt.Add(platformInterval)))
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	begunAt := time.Now()
	err := origins.ReadTargets(ctx, begunAt)
	if err != nil {
		err = fmt.Errorf("read targets: %w", err)
	} else {
		err = origins.readMarks(ctx)
	}
	countPlatformRead(err)
	if err != nil {
		origins.Events.Record(eventPlatformUnread, timeline.Event{Detail: err.Error()})
	}
	reads := &origins.platform
	reads.mutex.Lock()
	defer reads.mutex.Unlock()
	reads.begunAt, reads.err, reads.pending = begunAt, err, nil
	if err == nil {
		reads.succeededAt = begunAt
	}
	close(pending)
}
