package scheduler

import (
	"context"
	"slices"
	"time"

	"nutmegfield.example/pause"
	"nutmegfield.example/pool"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
	"nutmegfield.example/timeline"
)

const (
	// orphanInterval is the interval at which the grants of dead hosts are
	// looked at.
	orphanInterval = 5 * time.Second
	// orphanTimeout bounds the calls to a target about one host's grants.
	orphanTimeout = 5 * time.Second
)

var eventOrphan = timeline.Define(timeline.Kind{
	Number: 2006, Name: "orphan freed", Level: timeline.Info,
	Meaning: "The entry host of a running request died; the target was told to cancel it, or had ended it, and its slot is free.",
})

// heardFrom notes a host that may hold grants.
func (scheduler *Scheduler) heardFrom(host string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.entries == nil {
		scheduler.entries = map[string]struct{}{}
	}
	scheduler.entries[host] = struct{}{}
}

// reap frees the slots of entry hosts that the membership says are dead,
// until the context ends.
func (scheduler *Scheduler) reap(ctx context.Context) {
	for ctx.Err() == nil {
		for _, host := range scheduler.dead() {
			scheduler.reapHost(ctx, host)
		}
		pause.For(ctx, orphanInterval)
	}
}

// dead returns the hosts that were heard from and are not in the list now. A
// broken link makes no host dead.
func (scheduler *Scheduler) dead() []string {
	live := scheduler.Hosts()
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	var dead []string
	for host := range scheduler.entries {
		if !slices.Contains(live, host) {
			dead = append(dead, host)
		}
	}
	return dead
}

func (scheduler *Scheduler) reapHost(ctx context.Context, host string) {
	ctx, cancel := context.WithTimeout(ctx, orphanTimeout)
	defer cancel()
	left := 0
	for name, running := range scheduler.running() {
		running.DropWaiting(host)
		for _, grant := range running.GrantsOf(host) {
			if scheduler.orphaned(ctx, name, grant) {
				scheduler.freeOrphan(running, grant, host)
			} else {
				left++
			}
		}
	}
	if left == 0 {
		scheduler.mutex.Lock()
		delete(scheduler.entries, host)
		scheduler.mutex.Unlock()
	}
}

func (scheduler *Scheduler) freeOrphan(running *pool.Pool, grant request.Grant, host string) {
	running.Release(request.Release{
		Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target,
		Number: grant.Number, Scheduler: grant.Scheduler, End: request.EndCancelled,
	})
	scheduler.Events.Record(eventOrphan, timeline.Event{
		Request: grant.Ticket.String(), Pool: grant.Pool, Target: grant.Target, Peer: host,
	})
}

// orphaned reports whether the target no longer runs a dead host's request:
// it says that the request has ended, or that nobody has read it for longer
// than a resume may take, and took the cancel. A target that can't be asked
// keeps the slot taken.
func (scheduler *Scheduler) orphaned(ctx context.Context, name string, grant request.Grant) bool {
	described, client := scheduler.lookup(name, grant.Target)
	if described == nil || client == nil || client.Streams == nil || client.Cancel == nil {
		return false
	}
	streams, err := client.Streams(ctx, described.Address)
	if err != nil {
		return false
	}
	i := slices.IndexFunc(streams, func(stream protocol.Stream) bool { return stream.Request == grant.Ticket })
	if i < 0 {
		return true
	}
	unread := time.Duration(streams[i].Unread * float64(time.Second))
	return unread > protocol.ResumeSpan && client.Cancel(ctx, described.Address, grant.Ticket) == nil
}

func (scheduler *Scheduler) lookup(name, targetName string) (*profile.Target, *protocol.Client) {
	snapshot := scheduler.Store.Current()
	if snapshot == nil || snapshot.Pool(name) == nil {
		return nil, nil
	}
	described := snapshot.Pool(name).Target(targetName)
	if described == nil {
		return nil, nil
	}
	return described, scheduler.Client(described.Protocol)
}
