package simulation

import (
	"time"

	"nutmegfield.example/load"
	"nutmegfield.example/prefix"
	"nutmegfield.example/request"
	"nutmegfield.example/standin"
)

// flight is a request on its way, over all the times its caller sends it.
type flight struct {
	request *load.Request
	chain   []uint64
	arrived time.Time
	result  *load.Result

	// The rest is of the present attempt.
	host   *host
	ticket *request.Ticket
	state  request.State
	grant  request.Grant
	sent   time.Time
	first  time.Duration
}

// resendPause is how long a caller waits whose host is gone.
const resendPause = time.Second

func newFlight(arrived *load.Request) *flight {
	return &flight{
		request: arrived,
		chain:   arrived.Chain(),
		arrived: time.Now(),
		result:  &load.Result{Request: arrived},
	}
}

func (flight *flight) deadline() time.Time {
	return flight.arrived.Add(flight.request.Class.Deadline)
}

// send is the caller's sending of a request, for the first time or again.
func (simulation *Simulation) send(flight *flight) {
	flight.host = simulation.balance()
	flight.state = request.Waiting
	flight.result.Attempts++
	flight.ticket = simulation.newTicket(flight)
	simulation.flights[flight.ticket.ID] = flight
	ticket := flight.ticket
	simulation.after(simulation.Scenario.Delays.Caller, func() {
		if simulation.flights[ticket.ID] == flight {
			simulation.accept(flight)
		}
	})
}

// balance picks one host at random; a zone that was just lost is not known
// to be.
func (simulation *Simulation) balance() *host {
	for {
		host := simulation.hosts[simulation.random.IntN(len(simulation.hosts))]
		if !simulation.knownLost(host.zone) {
			return host
		}
	}
}

func (simulation *Simulation) knownLost(zone string) bool {
	since := time.Since(simulation.started)
	lag := simulation.Scenario.Delays.Lost
	for _, failing := range simulation.Scenario.Faults {
		if failing.Zone == zone && since >= failing.At+lag && since < failing.At+failing.For+lag {
			return true
		}
	}
	return false
}

func (simulation *Simulation) newTicket(flight *flight) *request.Ticket {
	class := flight.request.Class
	return &request.Ticket{
		ID:          simulation.newID(),
		Pool:        class.Pool,
		Entry:       flight.host.id,
		Workspace:   flight.request.Workspace,
		Tier:        request.Tier(flight.request.Tier),
		Sheddable:   class.Sheddable,
		Deadline:    flight.deadline(),
		Size:        request.Size{PromptTokens: flight.request.PromptTokens(), OutputTokens: class.Output.Median},
		Prefixes:    prefix.Sample(flight.chain),
		Fingerprint: simulation.fingerprint(flight.request),
		Round:       1,
	}
}

// fingerprint returns the hash of a request's body. Only crashing requests are sent
// again under other numbers.
func (simulation *Simulation) fingerprint(sent *load.Request) uint64 {
	if sent.Crashing != nil {
		return sent.Prompt[0].Seed
	}
	return uint64(sent.Number) + 1
}

// accept is the entry host's acceptance.
func (simulation *Simulation) accept(flight *flight) {
	if simulation.lost[flight.host.zone] {
		simulation.hostGone(flight)
		return
	}
	if simulation.HostsAlone {
		simulation.dispatchAlone(flight)
		return
	}
	ticket := flight.ticket
	simulation.submit(flight)
	simulation.agenda.at(flight.deadline(), func() { simulation.expire(flight, ticket.ID) })
}

// submit sends the ticket to the scheduler of the host's zone.
func (simulation *Simulation) submit(flight *flight) {
	place := simulation.placeOf(flight)
	ticket := flight.ticket
	simulation.after(simulation.Scenario.Delays.Message, func() {
		if simulation.flights[ticket.ID] == flight && simulation.placeOf(flight) == place {
			place.scheduler.Submit(ticket)
		}
	})
}

func (simulation *Simulation) placeOf(flight *flight) *place {
	return simulation.places[placeKey{flight.host.zone, flight.request.Class.Pool}]
}

// expire gives a request up that still waits at its deadline.
func (simulation *Simulation) expire(flight *flight, id request.ID) {
	if simulation.flights[id] != flight || flight.ticket.ID != id || flight.state >= request.Dispatched {
		return
	}
	cancel := request.Cancel{Ticket: id, Round: flight.ticket.Round, Pool: flight.ticket.Pool}
	place := simulation.placeOf(flight)
	simulation.after(simulation.Scenario.Delays.Message, func() { place.scheduler.Cancel(cancel) })
	simulation.finish(flight, request.NotRun, request.ReasonDeadline)
}

// hostGone is the caller's broken connection. It sends a request again that
// may be repeated or was not dispatched.
func (simulation *Simulation) hostGone(flight *flight) {
	if flight.state >= request.Dispatched && !flight.request.Class.Idempotent {
		simulation.finish(flight, request.Unknown, request.ReasonHostStopped)
		return
	}
	simulation.resend(flight, resendPause, request.Unknown, request.ReasonHostStopped)
}

// refused is a scheduler's refusal on its way to the host and the caller.
func (simulation *Simulation) refused(place *place, refusal request.Refusal) {
	delays := &simulation.Scenario.Delays
	simulation.after(delays.Message+delays.Caller, func() {
		flight := simulation.flights[refusal.Ticket]
		if flight == nil || flight.ticket.ID != refusal.Ticket || flight.state != request.Waiting || simulation.lost[place.key.zone] {
			return
		}
		simulation.resend(flight, refusal.RetryAfter, request.NotRun, refusal.Reason)
	})
}

// resend lets the caller send again after a pause, or give up.
func (simulation *Simulation) resend(flight *flight, pause time.Duration, outcome request.Outcome, reason request.Reason) {
	again := time.Now().Add(pause)
	if flight.result.Attempts > simulation.Scenario.Delays.Patience || !again.Before(flight.deadline()) {
		simulation.finish(flight, outcome, reason)
		return
	}
	delete(simulation.flights, flight.ticket.ID)
	flight.host = nil
	simulation.agenda.at(again, func() { simulation.send(flight) })
}

// granted is a grant on its way to the entry host.
func (simulation *Simulation) granted(place *place, grant request.Grant) {
	simulation.after(simulation.Scenario.Delays.Message, func() {
		flight := simulation.flights[grant.Ticket]
		if simulation.lost[place.key.zone] {
			return
		}
		if flight == nil || flight.state != request.Waiting || flight.ticket.ID != grant.Ticket || flight.ticket.Round != grant.Round {
			simulation.release(place, request.Release{Ticket: grant.Ticket, Target: grant.Target, Number: grant.Number, End: request.EndUnused})
			return
		}
		flight.grant = grant
		flight.state = request.Granted
		simulation.after(simulation.Scenario.Delays.Message, func() { simulation.dispatch(flight, place, grant) })
	})
}

// dispatch is the request's arrival at the target.
func (simulation *Simulation) dispatch(flight *flight, place *place, grant request.Grant) {
	if simulation.flights[grant.Ticket] != flight || flight.grant.Number != grant.Number {
		return
	}
	target := simulation.byName[grant.Target]
	if target.down() {
		simulation.release(place, request.Release{Ticket: grant.Ticket, Target: grant.Target, Number: grant.Number, End: request.EndUnreachable})
		again := *flight.ticket
		again.Round++
		flight.ticket = &again
		flight.state = request.Waiting
		simulation.submit(flight)
		return
	}
	simulation.run(flight, target, func(release request.Release) {
		release.Ticket, release.Target, release.Number = grant.Ticket, grant.Target, grant.Number
		simulation.release(place, release)
	}, func() {
		progress := request.Progress{
			Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target, Number: grant.Number,
			FirstToken: time.Since(flight.sent),
		}
		simulation.after(simulation.Scenario.Delays.Message, func() { place.scheduler.Progress(progress) })
	})
}

// dispatchAlone is a host's choice and dispatch without a scheduler.
func (simulation *Simulation) dispatchAlone(flight *flight) {
	chooser := simulation.chooserOf(flight.host, flight.request.Class.Pool)
	choice := chooser.policy.Choose(flight.ticket, chooser.candidates)
	target := chooser.targets[max(0, int(choice))]
	ticket := flight.ticket
	simulation.after(simulation.Scenario.Delays.Message, func() {
		if simulation.flights[ticket.ID] != flight {
			return
		}
		if target.down() {
			simulation.resend(flight, resendPause, request.NotRun, request.ReasonNoTarget)
			return
		}
		simulation.run(flight, target, func(request.Release) {}, func() {})
	})
}

// release tells the scheduler of a grant's end.
func (simulation *Simulation) release(place *place, release request.Release) {
	release.Pool = place.key.pool
	release.Scheduler = place.key.zone
	simulation.after(simulation.Scenario.Delays.Message, func() { place.scheduler.Release(release) })
}

// run runs a request on a target.
func (simulation *Simulation) run(flight *flight, target *target, release func(request.Release), progress func()) {
	flight.state = request.Dispatched
	flight.sent = time.Now()
	flight.first = 0
	id := flight.ticket.ID
	if target.model == nil {
		target.call(func(done bool) {
			end := request.EndDone
			if !done {
				end = request.EndTargetLost
			}
			release(request.Release{End: end, FirstToken: time.Since(flight.sent), Total: time.Since(flight.sent)})
			simulation.answered(flight, id, done)
		})
		return
	}
	job := &standin.Job{
		ID: id.String(), PromptTokens: flight.request.PromptTokens(), OutputTokens: flight.request.Output, Blocks: flight.chain,
		Poison: flight.request.Crashing != nil,
	}
	job.OnPrefill = func(cached int) { simulation.measure(flight, target, cached) }
	job.OnFirstToken = func() {
		flight.first = time.Since(flight.sent)
		if simulation.flights[id] == flight {
			flight.result.FirstToken = time.Since(flight.arrived)
		}
		progress()
	}
	job.OnEnd = func(end standin.JobEnd) {
		if flight.request.Crashing != nil && end.Kind == standin.JobCrashed {
			simulation.crashes = append(simulation.crashes, time.Now())
			simulation.after(flight.request.Crashing.Down, target.restart)
		}
		flight.result.Computed += end.ComputedTokens
		done := end.Kind == standin.JobDone
		kind := request.EndDone
		if !done {
			kind = request.EndTargetLost
		}
		release(request.Release{End: kind, Usage: end.Usage, FirstToken: flight.first, Total: time.Since(flight.sent)})
		simulation.answered(flight, id, done)
	}
	if target.isLimited {
		simulation.limitedRequests = append(simulation.limitedRequests, time.Now())
	}
	target.model.Submit(job)
	target.touch()
}

// measure notes what is computed again though another target holds it.
func (simulation *Simulation) measure(flight *flight, chosen *target, cached int) {
	anywhere, ownZone := cached, cached
	for _, other := range simulation.targets {
		if other.pool != chosen.pool || other.model == nil || other == chosen {
			continue
		}
		held := other.model.CachedTokens(flight.chain)
		anywhere = max(anywhere, held)
		if other.zone == chosen.zone {
			ownZone = max(ownZone, held)
		}
	}
	flight.result.Recomputed += anywhere - cached
	flight.result.OwnZone += ownZone - cached
}

// answered is the end of the answer on its way to the caller.
func (simulation *Simulation) answered(flight *flight, id request.ID, done bool) {
	if simulation.flights[id] != flight {
		return
	}
	outcome, reason := request.Done, request.Reason("")
	if !done {
		outcome, reason = request.Unknown, request.ReasonTargetSilent
	}
	simulation.finish(flight, outcome, reason)
}

// finish notes what became of a request, once.
func (simulation *Simulation) finish(flight *flight, outcome request.Outcome, reason request.Reason) {
	delete(simulation.flights, flight.ticket.ID)
	simulation.open--
	flight.result.Outcome = outcome
	flight.result.Reason = reason
	flight.result.End = time.Since(flight.arrived)
	simulation.results = append(simulation.results, flight.result)
}
