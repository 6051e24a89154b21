package peer

import (
	"time"

	"nutmegfield.example/peer/peerpb"
)

// state is what is believed of a host. Of two records of the same incarnation
// the one with the higher state holds.
type state uint32

const (
	stateAlive state = iota + 1
	stateSuspect
	stateDead
	// stateLeft is a host's own word that it has ended.
	stateLeft
	maxState = stateLeft
)

const (
	// leavingFlag is set in the wire's state of a leaving host.
	leavingFlag = 8
	// refutationBits parts the wire's incarnation: the upper bits are the host's
	// start, the lower ones count what it refuted since.
	refutationBits = 12
	// maxTextBytes is the longest id, zone or address.
	maxTextBytes = 128
	// maxClockSkew is how far ahead another host's clock may be; a start later
	// than that is no start, and would make its record last.
	maxClockSkew = 24 * time.Hour
)

// record is what is known of one host.
type record struct {
	id, zone, address string
	leaving           bool
	incarnation       uint64
	state             state
	// changedAt is when the state was last entered here.
	changedAt time.Time
	// unanswered counts the probes in a row without an answer.
	unanswered int
}

func (record *record) host() Host {
	return Host{
		ID:          record.id,
		Zone:        record.zone,
		Address:     record.address,
		Leaving:     record.leaving,
		Incarnation: record.incarnation >> refutationBits,
	}
}

// isPresent reports whether the host belongs in the view.
func (record *record) isPresent() bool { return record.state <= stateSuspect }

func (record *record) message() *peerpb.Host {
	state := uint32(record.state)
	if record.leaving {
		state |= leavingFlag
	}
	return &peerpb.Host{
		Id:          record.id,
		Zone:        record.zone,
		Address:     record.address,
		Incarnation: record.incarnation,
		State:       state,
	}
}

// parseRecord returns false for a message that is no record.
func parseRecord(message *peerpb.Host) (record, bool) {
	read := record{
		id:          message.GetId(),
		zone:        message.GetZone(),
		address:     message.GetAddress(),
		leaving:     message.GetState()&leavingFlag != 0,
		incarnation: message.GetIncarnation(),
		state:       state(message.GetState() &^ leavingFlag),
	}
	validText := isValidText(read.id) && isValidText(read.zone) && isValidText(read.address)
	validStart := read.incarnation>>refutationBits <= uint64(time.Now().Add(maxClockSkew).UnixMicro())
	return read, validText && validStart && read.state >= stateAlive && read.state <= maxState
}

func isValidText(text string) bool { return text != "" && len(text) <= maxTextBytes }

// supersedes reports whether the record replaces another of the same host.
func (record *record) supersedes(other *record) bool {
	if record.incarnation != other.incarnation {
		return record.incarnation > other.incarnation
	}
	return record.state > other.state
}
