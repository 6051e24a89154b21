package balance

import "time"

const (
	// lossPrice is the time by which a first event may come later if that keeps one request in
	// time. In the load of TestPresentSpeed 100 ms saves fewer, 1 s makes more first events late.
	lossPrice = 400 * time.Millisecond
	// safeRatio and lostRatio are the parts of a limit that an expected time may take before
	// requests miss the limit, and from which all do. Times vary by about half.
	safeRatio = 0.6
	lostRatio = 1.6
)

// lossCost returns the price of the requests that are expected to be late if a target gets a
// ticket: the ticket's own, by its first event or by pauses between its events, and those that
// run there, whose engine reads the ticket's prompt between two events of theirs. Long prompts
// therefore go where they are read within the pause or where few requests run, short ones also
// to slow targets. It is 0 in pools whose targets don't tell how long work takes.
func (balancer *Balancer) lossCost(
	dispatchRound *dispatchRound, targetState *targetState, ticket *Ticket, estimate time.Duration,
) time.Duration {
	if !dispatchRound.averages.tells || !dispatchRound.pool.isEngine || ticket.EventGap == 0 {
		return 0
	}
	timePerToken := targetState.timePerToken()
	if timePerToken == 0 {
		timePerToken = dispatchRound.averages.timePerToken
	}
	tokenTime := float64(timePerToken) * targetState.present.promptFactor(dispatchRound.now)
	interval, gap := float64(targetState.eventInterval()), float64(ticket.EventGap)
	backlog := backlogFraction * float64(targetState.backlogTokens+targetState.othersBacklogTokens)
	pause := interval + backlog*tokenTime
	pauseWithPrompt := pause + float64(ticket.PromptTokens)*tokenTime
	losses := float64(targetState.totalInFlight()) * (lateProbability(pauseWithPrompt/gap) - lateProbability(pause/gap))
	if ticket.ExpectedEvents >= minPacedEvents {
		losses += lateProbability(longestGapFactor * interval / gap)
	}
	if left := ticket.Due.Sub(dispatchRound.now); left > 0 {
		losses += lateProbability(float64(estimate) / float64(left))
	}
	return time.Duration(losses * float64(lossPrice))
}

// lateProbability returns the probability that a limit is missed by the ratio of the expected
// time to the limit.
func lateProbability(ratio float64) float64 {
	return min(max(0, (ratio-safeRatio)/(lostRatio-safeRatio)), 1)
}
