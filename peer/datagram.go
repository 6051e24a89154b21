package peer

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/timeline"
)

// Kinds of datagram. The first record in each is the sender's.
const (
	// kindPing asks the target for an answer.
	kindPing = iota + 1
	// kindAnswer answers a ping of the same number.
	kindAnswer
	// kindIndirectPing asks the receiver to ping the target.
	kindIndirectPing
	// kindTableRequest asks for the whole table, unless its digest equals that
	// of the sender's table, which the number holds.
	kindTableRequest
	// kindTable is a part of the whole table.
	kindTable
)

// enqueue adds a probe to the outbox, with this host's record and as many
// updates as fit.
func (prober *Prober) enqueue(address string, probe *peerpb.Probe) {
	probe.From = prober.self.id
	probe.ConfigurationVersion = prober.Members.Version()
	probe.Hosts = append([]*peerpb.Host{prober.self.message()}, probe.Hosts...)
	if probe.Kind != kindTable {
		freeBytes := maxDatagramBytes - proto.Size(probe)
		probe.Hosts = append(probe.Hosts, prober.table.takeUpdates(freeBytes)...)
	}
	prober.outbox = append(prober.outbox, outgoingProbe{address, probe})
}

func (prober *Prober) send(outgoingProbe outgoingProbe) {
	datagram, err := proto.Marshal(outgoingProbe.probe)
	if err != nil {
		// Marshalling fails only on invalid UTF-8, which settings may contain.
		return
	}
	datagram = prober.appendTag(datagram)
	datagramsSent.Add(1)
	datagramBytesSent.Add(int64(len(datagram)))
	prober.Send(outgoingProbe.address, datagram)
}

// Receive handles a datagram. It refuses and counts one that has no valid tag, is
// not a probe, or whose first record is not the sender's.
func (prober *Prober) Receive(tagged []byte) {
	datagram, ok := prober.verifyTag(tagged)
	if !ok {
		prober.refuse()
		return
	}
	probe := &peerpb.Probe{}
	sender := record{}
	ok = false
	if err := proto.Unmarshal(datagram, probe); err == nil && len(probe.GetHosts()) > 0 {
		sender, ok = parseRecord(probe.GetHosts()[0])
	}
	if !ok || sender.id != probe.GetFrom() {
		prober.refuse()
		return
	}
	if sender.id == prober.Members.Self.ID {
		prober.withLock(func(time.Time) { prober.handleSelfRecord(sender) })
		return
	}
	prober.withLock(func(now time.Time) { prober.handle(sender, probe, now) })
	if sender.state != stateLeft {
		prober.Members.notifyVersion(sender.id, probe.GetConfigurationVersion())
	}
}

// refuse counts a refused datagram and records an event for the first one.
func (prober *Prober) refuse() {
	datagramsRefused.Add(1)
	prober.mutex.Lock()
	first := !prober.refusalRecorded
	prober.refusalRecorded = true
	prober.mutex.Unlock()
	if first {
		prober.Events.Record(eventBadDatagram, timeline.Event{})
	}
}

func (prober *Prober) handle(sender record, probe *peerpb.Probe, now time.Time) {
	prober.mergeRecord(sender, true, now)
	for _, message := range probe.GetHosts()[1:] {
		if record, ok := parseRecord(message); ok {
			prober.mergeRecord(record, probe.GetKind() != kindTable, now)
		}
	}
	switch probe.GetKind() {
	case kindPing:
		prober.answerPing(sender, probe)
	case kindAnswer:
		prober.handleAnswer(sender, probe.GetNumber())
	case kindIndirectPing:
		prober.relayPing(sender, probe, now)
	case kindTableRequest:
		prober.sendTable(sender, probe.GetNumber(), now)
	}
}

// answerPing answers a ping for this host. If this host's record of the sender is
// not alive, the answer carries that record so that the sender can refute it.
func (prober *Prober) answerPing(sender record, probe *peerpb.Probe) {
	if probe.GetTarget() != prober.self.id {
		return
	}
	answer := &peerpb.Probe{Kind: kindAnswer, Number: probe.GetNumber(), Target: sender.id}
	if known := prober.table.records[sender.id]; known != nil && known.state != stateAlive {
		answer.Hosts = append(answer.Hosts, known.message())
	}
	prober.enqueue(sender.address, answer)
}

// handleAnswer passes on the answer to a relayed probe, or marks this
// host's own probe with that number as answered.
func (prober *Prober) handleAnswer(sender record, number uint64) {
	if relayed, ok := prober.relayedProbes[number]; ok {
		delete(prober.relayedProbes, number)
		// The first record of a relayed answer is this host's; the receiver
		// identifies the host that answered by the number.
		prober.enqueue(relayed.address, &peerpb.Probe{Kind: kindAnswer, Number: relayed.number, Target: sender.id})
		return
	}
	id, ok := prober.pendingProbes[number]
	if !ok {
		return
	}
	delete(prober.pendingProbes, number)
	if record := prober.table.records[id]; record != nil {
		record.unanswered = 0
	}
}

// relayPing pings a host on behalf of the sender.
func (prober *Prober) relayPing(sender record, probe *peerpb.Probe, now time.Time) {
	if prober.table.records[probe.GetTarget()] == nil || len(prober.relayedProbes) >= maxRelayedProbes {
		return
	}
	prober.lastProbeNumber++
	prober.relayedProbes[prober.lastProbeNumber] = relayedProbe{address: sender.address, number: probe.GetNumber(), sentAt: now}
	prober.ping(probe.GetTarget(), prober.lastProbeNumber)
}

// mergeRecord stores a record if it supersedes the stored one. If spread is set,
// it is also sent to other hosts as an update.
func (prober *Prober) mergeRecord(received record, spread bool, now time.Time) {
	if received.id == prober.self.id {
		prober.handleSelfRecord(received)
		return
	}
	known := prober.table.records[received.id]
	if known == nil && (!received.isPresent() || len(prober.table.records) >= maxRecords) {
		return
	}
	if known != nil && !received.supersedes(known) {
		return
	}
	received.changedAt = now
	prober.table.set(&received, spread)
	prober.recordChange(known, &received, now)
	prober.scheduleViewUpdate()
}

// recordChange records the event or metric of a changed record and handles a
// dead host that came back. The known record is nil for a new host.
func (prober *Prober) recordChange(known, received *record, now time.Time) {
	event := timeline.Event{Peer: received.id, Detail: received.zone + " " + received.address}
	switch {
	case received.state == stateLeft:
		prober.Events.Record(eventHostLeft, event)
	case received.state == stateDead && known.isPresent():
		prober.Events.Record(eventHostDead, event)
	case received.isPresent() && known == nil:
		prober.Events.Record(eventHostJoined, event)
	case received.isPresent() && !known.isPresent():
		prober.Events.Record(eventHostJoined, event)
		prober.handleRevival(received, now)
	case received.state == stateAlive && known.state == stateSuspect:
		falseSuspicions.Add(1)
	}
}

// handleRevival requests the table of a dead host that came back, to find others
// that were unreachable together with it.
func (prober *Prober) handleRevival(record *record, now time.Time) {
	prober.revivedAt = now
	prober.requestTable(record.id, now)
}

// handleSelfRecord handles a record with this host's id. If a newer host at
// another address uses the id, it makes Run fail; if an older one does, it records
// an event and contacts that host. It refutes a record that supersedes this
// host's own, such as a suspicion.
func (prober *Prober) handleSelfRecord(received record) {
	isDuplicate := received.address != prober.self.address
	if isDuplicate && received.isPresent() && received.incarnation>>refutationBits > prober.self.incarnation>>refutationBits {
		select {
		case prober.replacedBy <- received.address:
		default:
		}
		return
	}
	if isDuplicate && received.isPresent() && !prober.duplicateRecorded {
		prober.duplicateRecorded = true
		prober.Events.Record(eventOlderDuplicate, timeline.Event{Peer: received.id, Detail: received.address})
		// The older host may not learn of this one from others for a while.
		prober.requestTableFrom(received.address)
	}
	if prober.self.state == stateLeft || !received.supersedes(&prober.self) {
		return
	}
	prober.self.incarnation = received.incarnation + 1
	prober.sendRefutation()
}

// sendRefutation pings up to indirectProbes present hosts without waiting for the
// next round; each datagram carries this host's record.
func (prober *Prober) sendRefutation() {
	present := prober.table.ids((*record).isPresent)
	for _, id := range sample(present, indirectProbes) {
		prober.lastProbeNumber++
		prober.ping(id, prober.lastProbeNumber)
	}
}

// requestTable asks a host for its table, at most once per
// minTableRequestInterval.
func (prober *Prober) requestTable(id string, now time.Time) {
	if now.Sub(prober.tableRequestedAt) < minTableRequestInterval {
		return
	}
	prober.tableRequestedAt = now
	prober.requestTableFrom(prober.table.records[id].address)
}

func (prober *Prober) requestTableFrom(address string) {
	prober.enqueue(address, &peerpb.Probe{Kind: kindTableRequest, Number: prober.digest()})
}

// digest returns the digest of the table and this host's own record.
func (prober *Prober) digest() uint64 {
	self := table{records: map[string]*record{prober.self.id: &prober.self}}
	return prober.table.digest() ^ self.digest()
}

// sendTable sends the whole table in parts, unless the asker has the same one
// or a table was sent within minTableSendInterval.
func (prober *Prober) sendTable(asker record, digest uint64, now time.Time) {
	if digest == prober.digest() || now.Sub(prober.tableSentAt) < minTableSendInterval {
		return
	}
	prober.tableSentAt = now
	part := &peerpb.Probe{Kind: kindTable, Target: asker.id}
	freeBytes := prober.freeTableBytes(asker)
	for _, id := range prober.table.ids(func(record *record) bool { return record.state != stateLeft }) {
		message := prober.table.records[id].message()
		if freeBytes < recordBytes(message) {
			prober.enqueue(asker.address, part)
			part = &peerpb.Probe{Kind: kindTable, Target: asker.id}
			freeBytes = prober.freeTableBytes(asker)
		}
		freeBytes -= recordBytes(message)
		part.Hosts = append(part.Hosts, message)
	}
	prober.enqueue(asker.address, part)
}

// freeTableBytes returns the number of bytes that one part of the table has for
// records besides the sender's.
func (prober *Prober) freeTableBytes(asker record) int {
	head := &peerpb.Probe{
		Kind:                 kindTable,
		From:                 prober.self.id,
		Target:               asker.id,
		Hosts:                []*peerpb.Host{prober.self.message()},
		ConfigurationVersion: math.MaxInt64,
	}
	return maxDatagramBytes - proto.Size(head)
}
