package peer

import (
	"slices"
	"time"

	"nutmegfield.example/peer/peerpb"
)

// heartbeats decides when a link sends a heartbeat, so that a link that went silent
// is noticed within the time of silence while something sent over it is
// awaited, and an idle one costs little. An answer shows that all that was sent
// before the heartbeat has arrived, as a stream keeps its order; so does what
// the receiver sends in answer to an envelope.
type heartbeats struct {
	lastNumber uint64
	// awaited is the heartbeat without an answer, 0 for none, and deadline the
	// time its answer must come by.
	awaited        uint64
	answerDeadline time.Time
	// idleDue is when the next heartbeat is sent if nothing else asks for one.
	idleDue time.Time
	// unconfirmed are the envelopes not known to have arrived, the oldest first.
	unconfirmed []unconfirmedEnvelope
}

// unconfirmedEnvelope is the sequence of an envelope, and when a heartbeat must ask
// whether it arrived.
type unconfirmedEnvelope struct {
	sequence uint64
	due      time.Time
}

const (
	// maxHeartbeatNumber is the largest number of a heartbeat, one byte long; 1 follows.
	maxHeartbeatNumber = 127
	// maxUnconfirmed bounds the open envelopes; later ones are joined to the last.
	maxUnconfirmed = 64
)

// newHeartbeats is the state after the first heartbeat of a stream.
func newHeartbeats(now time.Time) *heartbeats {
	return &heartbeats{lastNumber: 1, awaited: 1, answerDeadline: now.Add(silenceTimeout), idleDue: now.Add(idleHeartbeatInterval)}
}

// start returns the number of a new heartbeat, to be sent now.
func (heartbeats *heartbeats) start(now time.Time) uint64 {
	heartbeats.lastNumber = heartbeats.lastNumber%maxHeartbeatNumber + 1
	heartbeats.awaited = heartbeats.lastNumber
	heartbeats.answerDeadline = now.Add(heartbeatTimeout)
	heartbeats.idleDue = now.Add(idleHeartbeatInterval)
	heartbeats.unconfirmed = nil
	return heartbeats.lastNumber
}

// recordSent notes an envelope that went without a heartbeat.
func (heartbeats *heartbeats) recordSent(now time.Time, envelope *peerpb.Envelope, sequence uint64) {
	wait := urgentHeartbeatDelay
	if onlyReports(envelope) {
		wait = reportHeartbeatDelay
	}
	added := unconfirmedEnvelope{sequence, now.Add(wait)}
	if len(heartbeats.unconfirmed) < maxUnconfirmed {
		heartbeats.unconfirmed = append(heartbeats.unconfirmed, added)
		return
	}
	last := &heartbeats.unconfirmed[maxUnconfirmed-1]
	last.sequence = sequence
	if added.due.Before(last.due) {
		last.due = added.due
	}
}

// confirm notes that an envelope and all before it have arrived.
func (heartbeats *heartbeats) confirm(sequence uint64) {
	heartbeats.unconfirmed = slices.DeleteFunc(heartbeats.unconfirmed, func(unconfirmed unconfirmedEnvelope) bool { return unconfirmed.sequence <= sequence })
}

// recordAnswer notes the answer to a heartbeat.
func (heartbeats *heartbeats) recordAnswer(number uint64) {
	if number == heartbeats.awaited {
		heartbeats.awaited = 0
	}
}

// isDue reports whether a heartbeat is to be sent now.
func (heartbeats *heartbeats) isDue(now time.Time) bool {
	return heartbeats.awaited == 0 && !now.Before(heartbeats.nextDue())
}

// isAnswerOverdue reports whether an answer is overdue.
func (heartbeats *heartbeats) isAnswerOverdue(now time.Time) bool {
	return heartbeats.awaited != 0 && !now.Before(heartbeats.answerDeadline)
}

// nextCheck is when one of the two may become true.
func (heartbeats *heartbeats) nextCheck() time.Time {
	if heartbeats.awaited != 0 {
		return heartbeats.answerDeadline
	}
	return heartbeats.nextDue()
}

func (heartbeats *heartbeats) nextDue() time.Time {
	due := heartbeats.idleDue
	for _, unconfirmed := range heartbeats.unconfirmed {
		if unconfirmed.due.Before(due) {
			due = unconfirmed.due
		}
	}
	return due
}

// onlyReports reports whether nobody waits for any of an envelope.
func onlyReports(envelope *peerpb.Envelope) bool {
	return len(envelope.GetTickets()) == 0 && len(envelope.GetGrants()) == 0 &&
		len(envelope.GetRefusals()) == 0 && len(envelope.GetCancels()) == 0 &&
		len(envelope.GetRecordCalls()) == 0 && len(envelope.GetRecordReplies()) == 0 &&
		len(envelope.GetHandovers()) == 0 && len(envelope.GetConfigurations()) == 0 &&
		len(envelope.GetTargets()) == 0 && len(envelope.GetSuspects()) == 0
}
