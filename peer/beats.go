package peer

import (
	"slices"
	"time"

	"nutmegfield.example/peer/peerpb"
)

// beats decides when a link sends a heartbeat, so that a link that went silent
// is noticed within the time of silence while something sent over it is
// awaited, and an idle one costs little. An answer shows that all that was sent
// before the heartbeat has arrived, as a stream keeps its order; so does what
// the receiver sends in answer to an envelope.
type beats struct {
	number uint64
	// awaited is the heartbeat without an answer, 0 for none, and deadline the
	// time its answer must come by.
	awaited  uint64
	deadline time.Time
	// idle is when the next heartbeat is sent if nothing else asks for one.
	idle time.Time
	// open are the envelopes not known to have arrived, the oldest first.
	open []openEnvelope
}

// openEnvelope is the sequence of an envelope, and when a heartbeat must ask
// whether it arrived.
type openEnvelope struct {
	sequence uint64
	due      time.Time
}

const (
	// mostBeat is the largest number of a heartbeat, one byte long; 1 follows.
	mostBeat = 127
	// mostOpen bounds the open envelopes; later ones are joined to the last.
	mostOpen = 64
)

// newBeats is the state after the first heartbeat of a stream.
func newBeats(now time.Time) *beats {
	return &beats{number: 1, awaited: 1, deadline: now.Add(silence), idle: now.Add(idleBeat)}
}

// beat returns the number of a new heartbeat, to be sent now.
func (beats *beats) beat(now time.Time) uint64 {
	beats.number = beats.number%mostBeat + 1
	beats.awaited = beats.number
	beats.deadline = now.Add(answerWait)
	beats.idle = now.Add(idleBeat)
	beats.open = nil
	return beats.number
}

// sent notes an envelope that went without a heartbeat.
func (beats *beats) sent(now time.Time, envelope *peerpb.Envelope, sequence uint64) {
	wait := urgentBeat
	if onlyReports(envelope) {
		wait = reportBeat
	}
	added := openEnvelope{sequence, now.Add(wait)}
	if len(beats.open) < mostOpen {
		beats.open = append(beats.open, added)
		return
	}
	last := &beats.open[mostOpen-1]
	last.sequence = sequence
	if added.due.Before(last.due) {
		last.due = added.due
	}
}

// confirmed notes that an envelope and all before it have arrived.
func (beats *beats) confirmed(sequence uint64) {
	beats.open = slices.DeleteFunc(beats.open, func(open openEnvelope) bool { return open.sequence <= sequence })
}

// answered notes the answer to a heartbeat.
func (beats *beats) answered(number uint64) {
	if number == beats.awaited {
		beats.awaited = 0
	}
}

// isDue reports whether a heartbeat is to be sent now.
func (beats *beats) isDue(now time.Time) bool {
	return beats.awaited == 0 && !now.Before(beats.due())
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
	return beats.due()
}

func (beats *beats) due() time.Time {
	due := beats.idle
	for _, open := range beats.open {
		if open.due.Before(due) {
			due = open.due
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
