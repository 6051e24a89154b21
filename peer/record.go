package peer

import (
	"time"

	"nutmegfield.example/peer/peerpb"
)

// state is the state of a host as this host sees it. Of two records of the same
// incarnation the one with the higher state takes precedence.
type state uint32

const (
	stateAlive state = iota + 1
	stateSuspect
	stateDead
	// stateLeft is announced by a host that has ended.
	stateLeft
	maxState = stateLeft
)

const (
	// leavingFlag is the bit of the state on the wire that marks a leaving host.
	leavingFlag = 8
	// refutationBits is the number of low bits of the incarnation on the wire
	// that count refutations; the bits above hold the host's start time.
	refutationBits = 12
	// maxTextBytes is the length of the longest id, zone or address.
	maxTextBytes = 128
	// maxClockSkew is how far ahead another host's clock may be. A record with
	// a later start time is invalid; nothing could supersede it.
	maxClockSkew = 24 * time.Hour
)

// record is this host's entry for one host in the membership.
type record struct {
	id, zone, address string
	leaving           bool
	incarnation       uint64
	state             state
	// changedAt is when this host recorded the current state.
	changedAt time.Time
	// unanswered counts consecutive probes without an answer.
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

// isPresent reports whether the host belongs in the view: it is alive or
// suspect.
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

// parseRecord converts a wire message to a record and reports whether it is
// valid.
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

// supersedes reports whether the record takes precedence over another one of the
// same host: by a higher incarnation or, if both are equal, by a higher state.
func (record *record) supersedes(other *record) bool {
	if record.incarnation != other.incarnation {
		return record.incarnation > other.incarnation
	}
	return record.state > other.state
}
