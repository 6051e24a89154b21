package peer

import (
	"math/bits"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegfield.example/peer/peerpb"
)

const (
	// forgetAfter is how long a dead host is remembered, and tried now and
	// then in case it was only cut off.
	forgetAfter = time.Hour
	// datagramBytes is the longest datagram sent, below any usual MTU.
	datagramBytes = 1200
	// maxRecords is the most hosts that are remembered.
	maxRecords = 4096
)

// table holds the records of the other hosts and the news among them that
// is still to be told.
type table struct {
	records map[string]*record
	// news counts how often a record was told since its last change.
	news map[string]int
	// alive is the number of records that are present.
	alive int
}

func newTable() table {
	return table{records: map[string]*record{}, news: map[string]int{}}
}

// set stores a record, which is to be told on if it is news.
func (table *table) set(record *record, news bool) {
	if before := table.records[record.id]; before != nil && before.present() {
		table.alive--
	}
	if record.present() {
		table.alive++
	}
	table.records[record.id] = record
	if news {
		table.news[record.id] = 0
	}
}

// enter changes the state of a record, as news.
func (table *table) enter(record *record, state state, now time.Time) {
	changed := *record
	changed.state = state
	changed.changed = now
	table.set(&changed, true)
}

func (table *table) remove(id string) {
	record := table.records[id]
	if record != nil && record.present() {
		table.alive--
	}
	delete(table.records, id)
	delete(table.news, id)
}

// tellings is how often each piece of news is told: enough that by chance
// none is missed, growing with the logarithm of the hosts as in SWIM.
func (table *table) tellings() int { return 3 + bits.Len(uint(table.alive)) }

// tell returns the news told least often that fit in a number of bytes.
func (table *table) tell(room int) []*peerpb.Host {
	ids := make([]string, 0, len(table.news))
	for id := range table.news {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return table.news[ids[i]] < table.news[ids[j]] })
	var messages []*peerpb.Host
	for _, id := range ids {
		message := table.records[id].message()
		room -= recordBytes(message)
		if room < 0 {
			break
		}
		messages = append(messages, message)
		table.news[id]++
		if table.news[id] >= table.tellings() {
			delete(table.news, id)
		}
	}
	return messages
}

// recordBytes is the size of a record within a message: its own and that of
// its tag and length.
func recordBytes(message *peerpb.Host) int { return proto.Size(message) + 3 }

// ids returns the ids of the records that a filter takes, in any order.
func (table *table) ids(take func(*record) bool) []string {
	var ids []string
	for id, record := range table.records {
		if take(record) {
			ids = append(ids, id)
		}
	}
	return ids
}

// digest is equal for equal tables.
func (table *table) digest() uint64 {
	var sum uint64
	for id, record := range table.records {
		if record.present() {
			sum ^= Score(id, string(rune(record.state))) + record.incarnation*0x9e3779b97f4a7c15
		}
	}
	return sum
}

// forget removes the hosts that are dead for long.
func (table *table) forget(now time.Time) {
	for id, record := range table.records {
		if !record.present() && now.Sub(record.changed) > forgetAfter {
			table.remove(id)
		}
	}
}
