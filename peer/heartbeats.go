package peer

import (
	"slices"
	"time"

	"nutmegfield.example/peer/peerpb"
)

// heartbeats schedules the heartbeats of a link. While the arrival of an envelope
// is awaited, a silent link is detected within silenceTimeout; an idle link sends
// few heartbeats. A stream keeps its order, so the answer to a heartbeat confirms
// everything sent before it. A message from the receiver that refers to an
// envelope confirms that envelope and everything before it.
type heartbeats struct {
	lastNumber uint64
	// awaited is the number of the unanswered heartbeat, 0 for none, and
	// answerDeadline the time by which its answer must arrive.
	awaited        uint64
	answerDeadline time.Time
	// idleDue is when the next heartbeat is sent if no envelope needs an
	// earlier one.
	idleDue time.Time
	// unconfirmed are the envelopes sent since the last heartbeat whose arrival
	// is not confirmed, oldest first.
	unconfirmed []unconfirmedEnvelope
}

// unconfirmedEnvelope is the sequence number of an envelope and the time at
// which a heartbeat is due unless its arrival is confirmed before.
type unconfirmedEnvelope struct {
	sequence uint64
	due      time.Time
}

const (
	// maxHeartbeatNumber is the largest number that a varint encodes in one
	// byte; the numbers then start again at 1.
	maxHeartbeatNumber = 127
	// maxUnconfirmed is the most entries in the list of unconfirmed envelopes;
	// further envelopes are merged into its last entry.
	maxUnconfirmed = 64
)

// newHeartbeats returns the state after the first heartbeat, number 1, was sent.
func newHeartbeats(now time.Time) *heartbeats {
	return &heartbeats{lastNumber: 1, awaited: 1, answerDeadline: now.Add(silenceTimeout), idleDue: now.Add(idleHeartbeatInterval)}
}

// start begins to wait for the answer to a new heartbeat and returns its number;
// the caller must send it.
func (heartbeats *heartbeats) start(now time.Time) uint64 {
	heartbeats.lastNumber = heartbeats.lastNumber%maxHeartbeatNumber + 1
	heartbeats.awaited = heartbeats.lastNumber
	heartbeats.answerDeadline = now.Add(heartbeatTimeout)
	heartbeats.idleDue = now.Add(idleHeartbeatInterval)
	heartbeats.unconfirmed = nil
	return heartbeats.lastNumber
}

// recordSent adds an envelope that was sent without a heartbeat.
func (heartbeats *heartbeats) recordSent(now time.Time, envelope *peerpb.Envelope, sequence uint64) {
	wait := urgentHeartbeatDelay
	if hasNoUrgentMessages(envelope) {
		wait = nonUrgentHeartbeatDelay
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

// confirm records that the envelope with the given sequence number and all
// before it have arrived.
func (heartbeats *heartbeats) confirm(sequence uint64) {
	heartbeats.unconfirmed = slices.DeleteFunc(heartbeats.unconfirmed, func(unconfirmed unconfirmedEnvelope) bool { return unconfirmed.sequence <= sequence })
}

// recordAnswer records the answer to a heartbeat; answers to older heartbeats
// are ignored.
func (heartbeats *heartbeats) recordAnswer(number uint64) {
	if number == heartbeats.awaited {
		heartbeats.awaited = 0
	}
}

// isDue reports whether a heartbeat is to be sent now.
func (heartbeats *heartbeats) isDue(now time.Time) bool {
	return heartbeats.awaited == 0 && !now.Before(heartbeats.nextDue())
}

// isAnswerOverdue reports whether the answer to a heartbeat did not arrive in
// time.
func (heartbeats *heartbeats) isAnswerOverdue(now time.Time) bool {
	return heartbeats.awaited != 0 && !now.Before(heartbeats.answerDeadline)
}

// nextCheck returns when isDue or isAnswerOverdue may next become true.
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

// hasNoUrgentMessages reports whether an envelope holds only messages whose arrival
// nobody waits for, such as releases, progress and lists of held grants.
func hasNoUrgentMessages(envelope *peerpb.Envelope) bool {
	return len(envelope.GetTickets()) == 0 && len(envelope.GetGrants()) == 0 &&
		len(envelope.GetRefusals()) == 0 && len(envelope.GetCancels()) == 0 &&
		len(envelope.GetRecordCalls()) == 0 && len(envelope.GetRecordReplies()) == 0 &&
		len(envelope.GetHandovers()) == 0 && len(envelope.GetConfigurations()) == 0 &&
		len(envelope.GetTargets()) == 0 && len(envelope.GetSuspects()) == 0
}
