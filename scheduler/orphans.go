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
	// orphanInterval is the interval between searches for the grants of dead
	// hosts.
	orphanInterval = 5 * time.Second
	// orphanTimeout limits the calls to targets about one dead host's grants.
	orphanTimeout = 5 * time.Second
)

var eventOrphan = timeline.Define(timeline.Kind{
	Number: 2006, Name: "orphan freed", Level: timeline.Info,
	Meaning: "The entry host of a running request died. The target accepted a cancel of the request, or had ended it already, and the slot is free.",
})

// addEntryHost records a host that sent tickets and therefore may hold grants.
func (scheduler *Scheduler) addEntryHost(host string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.entryHosts == nil {
		scheduler.entryHosts = map[string]struct{}{}
	}
	scheduler.entryHosts[host] = struct{}{}
}

// freeOrphans frees the slots of dead entry hosts' grants at intervals until
// the context ends.
func (scheduler *Scheduler) freeOrphans(ctx context.Context) {
	for ctx.Err() == nil {
		for _, host := range scheduler.deadEntryHosts() {
			scheduler.freeOrphansOf(ctx, host)
		}
		pause.For(ctx, orphanInterval)
	}
}

// deadEntryHosts returns the entry hosts that are no longer in the membership.
// A host with a lost connection is not dead while it is a member.
func (scheduler *Scheduler) deadEntryHosts() []string {
	live := scheduler.Hosts()
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	var dead []string
	for host := range scheduler.entryHosts {
		if !slices.Contains(live, host) {
			dead = append(dead, host)
		}
	}
	return dead
}

// freeOrphansOf frees the slots of a dead host's grants that have ended or can
// be cancelled, and removes the host from entryHosts once no grant is left.
func (scheduler *Scheduler) freeOrphansOf(ctx context.Context, host string) {
	ctx, cancel := context.WithTimeout(ctx, orphanTimeout)
	defer cancel()
	remaining := 0
	for name, running := range scheduler.runningPools() {
		running.DropWaiting(host)
		for _, grant := range running.GrantsOf(host) {
			if scheduler.stopOrphan(ctx, name, grant) {
				scheduler.freeOrphan(running, grant, host)
			} else {
				remaining++
			}
		}
	}
	if remaining == 0 {
		scheduler.mutex.Lock()
		delete(scheduler.entryHosts, host)
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

// stopOrphan reports whether a target no longer runs a dead host's request: the
// target no longer lists the request's stream, or the stream has not been read
// for longer than protocol.MaxResumeTime and the target accepted a cancel. It
// returns false if the target can't be asked.
func (scheduler *Scheduler) stopOrphan(ctx context.Context, name string, grant request.Grant) bool {
	target, client := scheduler.findTarget(name, grant.Target)
	if target == nil || client == nil || client.Streams == nil || client.Cancel == nil {
		return false
	}
	streams, err := client.Streams(ctx, target.Address)
	if err != nil {
		return false
	}
	i := slices.IndexFunc(streams, func(stream protocol.Stream) bool { return stream.Request == grant.Ticket })
	if i < 0 {
		return true
	}
	unread := time.Duration(streams[i].UnreadSeconds * float64(time.Second))
	return unread > protocol.MaxResumeTime && client.Cancel(ctx, target.Address, grant.Ticket) == nil
}

func (scheduler *Scheduler) findTarget(name, targetName string) (*profile.Target, *protocol.Client) {
	snapshot := scheduler.Store.Current()
	if snapshot == nil || snapshot.Pool(name) == nil {
		return nil, nil
	}
	target := snapshot.Pool(name).Target(targetName)
	if target == nil {
		return nil, nil
	}
	return target, scheduler.Client(target.Protocol)
}
