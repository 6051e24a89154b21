package peer

import (
	"math/bits"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegfield.example/peer/peerpb"
)

const (
	// deadRetention is how long a dead host is remembered, and tried now and
	// then in case it was only cut off.
	deadRetention = time.Hour
	// maxDatagramBytes is the longest datagram sent, below any usual MTU.
	maxDatagramBytes = 1200
	// maxRecords is the most hosts that are remembered.
	maxRecords = 4096
)

// table holds the records of the other hosts and the news among them that
// is still to be told.
type table struct {
	records map[string]*record
	// updates counts how often a record was told since its last change.
	updates map[string]int
	// presentCount is the number of records that are present.
	presentCount int
}

func newTable() table {
	return table{records: map[string]*record{}, updates: map[string]int{}}
}

// set stores a record, which is to be told on if it is news.
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

// setState changes the state of a record, as news.
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

// maxTransmissions is how often each piece of news is told: enough that by chance
// none is missed, growing with the logarithm of the hosts as in SWIM.
func (table *table) maxTransmissions() int { return 3 + bits.Len(uint(table.presentCount)) }

// takeUpdates returns the news told least often that fit in a number of bytes.
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

// recordBytes is the size of a record within a message: its own and that of
// its tag and length.
func recordBytes(message *peerpb.Host) int { return proto.Size(message) + 3 }

// ids returns the ids of the records that a filter takes, in any order.
func (table *table) ids(filter func(*record) bool) []string {
	var ids []string
	for id, record := range table.records {
		if filter(record) {
			ids = append(ids, id)
		}
	}
	return ids
}

// digest is equal for equal tables.
func (table *table) digest() uint64 {
	var sum uint64
	for id, record := range table.records {
		if record.isPresent() {
			sum ^= Score(id, string(rune(record.state))) + record.incarnation*0x9e3779b97f4a7c15
		}
	}
	return sum
}

// removeExpired removes the hosts that are dead for long.
func (table *table) removeExpired(now time.Time) {
	for id, record := range table.records {
		if !record.isPresent() && now.Sub(record.changedAt) > deadRetention {
			table.remove(id)
		}
	}
}
