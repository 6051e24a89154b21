package peer

import (
	"math/bits"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegfield.example/peer/peerpb"
)

const (
	// deadRetention is how long the record of a dead host, or of one that has
	// left, is kept. Until then dead hosts are still probed, in case they were
	// only unreachable.
	deadRetention = time.Hour
	// maxDatagramBytes is the size of the largest datagram sent, below any
	// usual MTU.
	maxDatagramBytes = 1200
	// maxRecords is the most records that the table holds.
	maxRecords = 4096
)

// table holds the records of the other hosts and tracks which of them still have
// to be sent to other hosts as updates.
type table struct {
	records map[string]*record
	// updates counts, by host id, how often a changed record was sent since its
	// change. A record sent maxTransmissions times is removed from it.
	updates map[string]int
	// presentCount is the number of records of present hosts.
	presentCount int
}

func newTable() table {
	return table{records: map[string]*record{}, updates: map[string]int{}}
}

// set stores a record. If spread is set, the record is also sent to other hosts
// as an update.
func (table *table) set(record *record, spread bool) {
	if before := table.records[record.id]; before != nil && before.isPresent() {
		table.presentCount--
	}
	if record.isPresent() {
		table.presentCount++
	}
	table.records[record.id] = record
	if spread {
		table.updates[record.id] = 0
	}
}

// setState changes the state of a record and spreads it as an update.
func (table *table) setState(record *record, state state, now time.Time) {
	changed := *record
	changed.state = state
	changed.changedAt = now
	table.set(&changed, true)
}

func (table *table) remove(id string) {
	record := table.records[id]
	if record != nil && record.isPresent() {
		table.presentCount--
	}
	delete(table.records, id)
	delete(table.updates, id)
}

// maxTransmissions returns how often each update is sent. As in SWIM it grows
// with the logarithm of the number of hosts, so that hardly any host misses an
// update although the receivers are random.
func (table *table) maxTransmissions() int { return 3 + bits.Len(uint(table.presentCount)) }

// takeUpdates returns the least often sent updates that fit in the given number
// of bytes, and counts them as sent.
func (table *table) takeUpdates(freeBytes int) []*peerpb.Host {
	ids := make([]string, 0, len(table.updates))
	for id := range table.updates {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return table.updates[ids[i]] < table.updates[ids[j]] })
	var messages []*peerpb.Host
	for _, id := range ids {
		message := table.records[id].message()
		freeBytes -= recordBytes(message)
		if freeBytes < 0 {
			break
		}
		messages = append(messages, message)
		table.updates[id]++
		if table.updates[id] >= table.maxTransmissions() {
			delete(table.updates, id)
		}
	}
	return messages
}

// recordBytes returns an upper bound of the encoded size of a record within a
// message: its own size and 3 bytes for the field's tag and length.
func recordBytes(message *peerpb.Host) int { return proto.Size(message) + 3 }

// ids returns the ids of the records that the filter accepts, in any order.
func (table *table) ids(filter func(*record) bool) []string {
	var ids []string
	for id, record := range table.records {
		if filter(record) {
			ids = append(ids, id)
		}
	}
	return ids
}

// digest returns a value that is equal for tables with the same present hosts.
func (table *table) digest() uint64 {
	var sum uint64
	for id, record := range table.records {
		if record.isPresent() {
			sum ^= Score(id, string(rune(record.state))) + record.incarnation*0x9e3779b97f4a7c15
		}
	}
	return sum
}

// removeExpired removes the hosts that have been dead, or have left, for longer
// than deadRetention.
func (table *table) removeExpired(now time.Time) {
	for id, record := range table.records {
		if !record.isPresent() && now.Sub(record.changedAt) > deadRetention {
			table.remove(id)
		}
	}
}
