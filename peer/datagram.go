package peer

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/timeline"
)

// Kinds of datagram. The first record in each is the sender's own.
const (
	// kindPing asks the target for an answer.
	kindPing = iota + 1
	// kindAnswer answers a ping of the same number.
	kindAnswer
	// kindIndirect asks the receiver to ping the target.
	kindIndirect
	// kindAskTable asks for the whole table, unless its digest is the number.
	kindAskTable
	// kindTable is a part of the whole table.
	kindTable
)

// post puts a probe in the outbox, with the own record and news.
func (prober *Prober) post(address string, probe *peerpb.Probe) {
	probe.From = prober.self.id
	probe.ConfigurationVersion = prober.Members.Version()
	probe.Hosts = append([]*peerpb.Host{prober.self.message()}, probe.Hosts...)
	if probe.Kind != kindTable {
		room := datagramBytes - proto.Size(probe)
		probe.Hosts = append(probe.Hosts, prober.table.tell(room)...)
	}
	prober.outbox = append(prober.outbox, letter{address, probe})
}

func (prober *Prober) send(letter letter) {
	datagram, err := proto.Marshal(letter.probe)
	if err != nil {
		// Only text that is no UTF-8 can't be written; settings may hold it.
		return
	}
	datagram = prober.seal(datagram)
	datagramsSent.Add(1)
	datagramBytesSent.Add(int64(len(datagram)))
	prober.Send(letter.address, datagram)
}

// Receive handles a datagram. One without the right keyed hash, that is no
// probe, or comes from a host that
// does not say who it is, is refused and counted.
func (prober *Prober) Receive(sealed []byte) {
	datagram, ok := prober.open(sealed)
	if !ok {
		prober.refuse()
		return
	}
	probe := &peerpb.Probe{}
	sender := record{}
	ok = false
	if err := proto.Unmarshal(datagram, probe); err == nil && len(probe.GetHosts()) > 0 {
		sender, ok = readRecord(probe.GetHosts()[0])
	}
	if !ok || sender.id != probe.GetFrom() {
		prober.refuse()
		return
	}
	if sender.id == prober.Members.Self.ID {
		prober.do(func(time.Time) { prober.hearOfSelf(sender) })
		return
	}
	prober.do(func(now time.Time) { prober.handle(sender, probe, now) })
	if sender.state != stateLeft {
		prober.Members.hear(sender.id, probe.GetConfigurationVersion())
	}
}

func (prober *Prober) refuse() {
	datagramsRefused.Add(1)
	prober.mutex.Lock()
	first := !prober.refusedOnce
	prober.refusedOnce = true
	prober.mutex.Unlock()
	if first {
		prober.Events.Record(eventBadDatagram, timeline.Event{})
	}
}

func (prober *Prober) handle(sender record, probe *peerpb.Probe, now time.Time) {
	prober.hearOf(sender, true, now)
	for _, message := range probe.GetHosts()[1:] {
		if record, ok := readRecord(message); ok {
			prober.hearOf(record, probe.GetKind() != kindTable, now)
		}
	}
	switch probe.GetKind() {
	case kindPing:
		prober.answer(sender, probe)
	case kindAnswer:
		prober.answered(sender, probe.GetNumber())
	case kindIndirect:
		prober.relay(sender, probe, now)
	case kindAskTable:
		prober.sendTable(sender, probe.GetNumber(), now)
	}
}

// answer answers a ping that is meant for this host, and says what it
// believes of the sender so that it can refute it.
func (prober *Prober) answer(sender record, probe *peerpb.Probe) {
	if probe.GetTarget() != prober.self.id {
		return
	}
	answer := &peerpb.Probe{Kind: kindAnswer, Number: probe.GetNumber(), Target: sender.id}
	if known := prober.table.records[sender.id]; known != nil && known.state != stateAlive {
		answer.Hosts = append(answer.Hosts, known.message())
	}
	prober.post(sender.address, answer)
}

func (prober *Prober) answered(sender record, number uint64) {
	if relayed, ok := prober.relayed[number]; ok {
		delete(prober.relayed, number)
		// The own record comes first in a relayed answer; the number says
		// whose answer it is.
		prober.post(relayed.address, &peerpb.Probe{Kind: kindAnswer, Number: relayed.number, Target: sender.id})
		return
	}
	id, ok := prober.awaited[number]
	if !ok {
		return
	}
	delete(prober.awaited, number)
	if record := prober.table.records[id]; record != nil {
		record.unanswered = 0
	}
}

func (prober *Prober) relay(sender record, probe *peerpb.Probe, now time.Time) {
	if prober.table.records[probe.GetTarget()] == nil || len(prober.relayed) >= relayedProbes {
		return
	}
	prober.number++
	prober.relayed[prober.number] = relayedProbe{address: sender.address, number: probe.GetNumber(), at: now}
	prober.ping(probe.GetTarget(), prober.number)
}

// hearOf takes in a record if it is newer than the known one.
func (prober *Prober) hearOf(heard record, tell bool, now time.Time) {
	if heard.id == prober.self.id {
		prober.hearOfSelf(heard)
		return
	}
	known := prober.table.records[heard.id]
	if known == nil && (!heard.present() || len(prober.table.records) >= maxRecords) {
		return
	}
	if known != nil && !heard.newerThan(known) {
		return
	}
	heard.changed = now
	prober.table.set(&heard, tell)
	prober.report(known, &heard, now)
	prober.changeView()
}

// report records what a new record means.
func (prober *Prober) report(known, heard *record, now time.Time) {
	event := timeline.Event{Peer: heard.id, Detail: heard.zone + " " + heard.address}
	switch {
	case heard.state == stateLeft:
		prober.Events.Record(eventHostLeft, event)
	case heard.state == stateDead && known.present():
		prober.Events.Record(eventHostDead, event)
	case heard.present() && known == nil:
		prober.Events.Record(eventHostJoined, event)
	case heard.present() && !known.present():
		prober.Events.Record(eventHostJoined, event)
		prober.revived(heard, now)
	case heard.state == stateAlive && known.state == stateSuspect:
		falseSuspicions.Add(1)
	}
}

// revived looks for the others of a part that was cut off.
func (prober *Prober) revived(record *record, now time.Time) {
	prober.revivedAt = now
	prober.askTable(record.id, now)
}

// hearOfSelf refutes what others believe of this host, and ends it if a newer
// one runs under its id.
func (prober *Prober) hearOfSelf(heard record) {
	twin := heard.address != prober.self.address
	if twin && heard.present() && heard.incarnation>>lifeShift > prober.self.incarnation>>lifeShift {
		select {
		case prober.replaced <- heard.address:
		default:
		}
		return
	}
	if twin && heard.present() && !prober.twinOnce {
		prober.twinOnce = true
		prober.Events.Record(eventOlderTwin, timeline.Event{Peer: heard.id, Detail: heard.address})
		// It may not hear of this host from others for a while.
		prober.askAddress(heard.address)
	}
	if prober.self.state == stateLeft || !heard.newerThan(&prober.self) {
		return
	}
	prober.self.incarnation = heard.incarnation + 1
	prober.spreadSelf()
}

// spreadSelf tells some hosts at once; each datagram carries the own record.
func (prober *Prober) spreadSelf() {
	present := prober.table.ids((*record).present)
	for _, id := range sample(present, indirectProbes) {
		prober.number++
		prober.ping(id, prober.number)
	}
}

// askTable asks a host for its table, not too often.
func (prober *Prober) askTable(id string, now time.Time) {
	if now.Sub(prober.syncedAt) < askPause {
		return
	}
	prober.syncedAt = now
	prober.askAddress(prober.table.records[id].address)
}

func (prober *Prober) askAddress(address string) {
	prober.post(address, &peerpb.Probe{Kind: kindAskTable, Number: prober.wholeDigest()})
}

// wholeDigest is that of the table with this host in it.
func (prober *Prober) wholeDigest() uint64 {
	self := table{records: map[string]*record{prober.self.id: &prober.self}}
	return prober.table.digest() ^ self.digest()
}

// sendTable sends the whole table in parts, unless the asker has the same or
// one was sent just before.
func (prober *Prober) sendTable(asker record, digest uint64, now time.Time) {
	if digest == prober.wholeDigest() || now.Sub(prober.answeredAt) < answerPause {
		return
	}
	prober.answeredAt = now
	part := &peerpb.Probe{Kind: kindTable, Target: asker.id}
	room := prober.tableRoom(asker)
	for _, id := range prober.table.ids(func(record *record) bool { return record.state != stateLeft }) {
		message := prober.table.records[id].message()
		if room < recordBytes(message) {
			prober.post(asker.address, part)
			part = &peerpb.Probe{Kind: kindTable, Target: asker.id}
			room = prober.tableRoom(asker)
		}
		room -= recordBytes(message)
		part.Hosts = append(part.Hosts, message)
	}
	prober.post(asker.address, part)
}

// tableRoom is the number of bytes for records in a part of the table.
func (prober *Prober) tableRoom(asker record) int {
	head := &peerpb.Probe{
		Kind:                 kindTable,
		From:                 prober.self.id,
		Target:               asker.id,
		Hosts:                []*peerpb.Host{prober.self.message()},
		ConfigurationVersion: math.MaxInt64,
	}
	return datagramBytes - proto.Size(head)
}
