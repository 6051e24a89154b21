package peer

import (
	"time"

	"nutmegfield.example/peer/peerpb"
)

// beats decides when a link sends a heartbeat, so that a link that went silent
// is noticed within the time of silence while something sent over it is
// awaited, and an idle one costs little. An answer shows that all that was sent
// before the heartbeat has arrived, as a stream keeps its order.
type beats struct {
	number uint64
	// awaited is the heartbeat without an answer, 0 for none, and deadline the
	// time its answer must come by.
	awaited  uint64
	deadline time.Time
	// due is when the next heartbeat is sent.
	due time.Time
}

// mostBeat is the largest number of a heartbeat, one byte long; 1 follows it.
const mostBeat = 127

// newBeats is the state after the first heartbeat of a stream.
func newBeats(now time.Time) *beats {
	return &beats{number: 1, awaited: 1, deadline: now.Add(silence), due: now.Add(idleBeat)}
}

// sent notes an envelope about to be sent and returns the number of the
// heartbeat that goes with it, 0 for none.
func (beats *beats) sent(now time.Time, envelope *peerpb.Envelope) uint64 {
	if beats.isDue(now) {
		beats.number = beats.number%mostBeat + 1
		beats.awaited = beats.number
		beats.deadline = now.Add(answerWait)
		beats.due = now.Add(idleBeat)
		return beats.number
	}
	wait := urgentBeat
	if onlyReports(envelope) {
		wait = reportBeat
	}
	if due := now.Add(wait); due.Before(beats.due) {
		beats.due = due
	}
	return 0
}

// answered notes the answer to a heartbeat.
func (beats *beats) answered(number uint64) {
	if number == beats.awaited {
		beats.awaited = 0
	}
}

// isDue reports whether a heartbeat is to be sent now.
func (beats *beats) isDue(now time.Time) bool {
	return beats.awaited == 0 && !now.Before(beats.due)
}

// lost reports whether an answer is overdue.
func (beats *beats) lost(now time.Time) bool {
	return beats.awaited != 0 && !now.Before(beats.deadline)
}

// next is when one of the two may become true.
func (beats *beats) next() time.Time {
	if beats.awaited != 0 {
		return beats.deadline
	}
	return beats.due
}

// onlyReports reports whether nobody waits for any of an envelope.
func onlyReports(envelope *peerpb.Envelope) bool {
	return len(envelope.GetTickets()) == 0 && len(envelope.GetGrants()) == 0 &&
		len(envelope.GetRefusals()) == 0 && len(envelope.GetCancels()) == 0 &&
		len(envelope.GetRecordCalls()) == 0 && len(envelope.GetRecordReplies()) == 0 &&
		len(envelope.GetHandovers()) == 0 && len(envelope.GetConfigurations()) == 0 &&
		len(envelope.GetTargets()) == 0 && len(envelope.GetSuspects()) == 0
}
