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
	stateLast = stateLeft
)

const (
	// leavingBit is set in the wire's state of a leaving host.
	leavingBit = 8
	// lifeShift parts the wire's incarnation: the upper bits are the host's
	// start, the lower ones count what it refuted since.
	lifeShift = 12
	// textBytes is the longest id, zone or address.
	textBytes = 128
	// clockSkew is how far ahead another host's clock may be; a start later
	// than that is no start, and would make its record last.
	clockSkew = 24 * time.Hour
)

// record is what is known of one host.
type record struct {
	id, zone, address string
	leaving           bool
	incarnation       uint64
	state             state
	// changed is when the state was last entered here.
	changed time.Time
	// unanswered counts the probes in a row without an answer.
	unanswered int
}

func (record *record) host() Host {
	return Host{
		ID:          record.id,
		Zone:        record.zone,
		Address:     record.address,
		Leaving:     record.leaving,
		Incarnation: record.incarnation >> lifeShift,
	}
}

// present reports whether the host belongs in the view.
func (record *record) present() bool { return record.state <= stateSuspect }

func (record *record) message() *peerpb.Host {
	state := uint32(record.state)
	if record.leaving {
		state |= leavingBit
	}
	return &peerpb.Host{
		Id:          record.id,
		Zone:        record.zone,
		Address:     record.address,
		Incarnation: record.incarnation,
		State:       state,
	}
}

// readRecord returns false for a message that is no record.
func readRecord(message *peerpb.Host) (record, bool) {
	read := record{
		id:          message.GetId(),
		zone:        message.GetZone(),
		address:     message.GetAddress(),
		leaving:     message.GetState()&leavingBit != 0,
		incarnation: message.GetIncarnation(),
		state:       state(message.GetState() &^ leavingBit),
	}
	whole := isText(read.id) && isText(read.zone) && isText(read.address)
	started := read.incarnation>>lifeShift <= uint64(time.Now().Add(clockSkew).UnixMicro())
	return read, whole && started && read.state >= stateAlive && read.state <= stateLast
}

func isText(text string) bool { return text != "" && len(text) <= textBytes }

// newerThan reports whether the record replaces another of the same host.
func (record *record) newerThan(other *record) bool {
	if record.incarnation != other.incarnation {
		return record.incarnation > other.incarnation
	}
	return record.state > other.state
}
