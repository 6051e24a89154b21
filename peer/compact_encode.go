package peer

import (
	"sync"
	"sync/atomic"

	"nutmegfield.example/peer/peerpb"
)

// encoder encodes the envelopes of one stream to another host in the compact
// format.
type encoder struct {
	// stream distinguishes this host's streams to the receiver.
	stream   uint64
	self     Host
	receiver string
	// incoming returns the decoder of the receiver's latest stream to this
	// host, nil if there was none.
	incoming func() *decoder

	mutex sync.Mutex
	names map[string]uint32
	// deltas encodes a grant's number relative to the last grant of the same
	// target.
	deltas     grantDeltas
	tickets    ticketHistory
	headerSent bool
	// referencedStream is the receiver's stream whose tickets the grants refer
	// to, as last sent in Envelope.answers.
	referencedStream uint64
	// sequence is the number of envelopes encoded.
	sequence uint64
	// confirmed is the sequence number of the latest envelope that the receiver
	// has referred to, and so has received.
	confirmed atomic.Uint64
}

// confirm records that the envelope with the given sequence number and all
// before it have arrived.
func (encoder *encoder) confirm(sequence uint64) {
	for {
		old := encoder.confirmed.Load()
		if sequence <= old || encoder.confirmed.CompareAndSwap(old, sequence) {
			return
		}
	}
}

// encode returns the envelope in the compact format and leaves its argument
// unchanged.
func (encoder *encoder) encode(plain *peerpb.Envelope) *peerpb.Envelope {
	encoder.mutex.Lock()
	defer encoder.mutex.Unlock()
	encoder.sequence++
	compact := &peerpb.Envelope{}
	appendMessages(compact, plain)
	compact.Beat = plain.GetBeat()
	encoder.writeHeader(compact)
	if len(encoder.names) >= maxNames-maxBatch {
		encoder.names = nil
		encoder.deltas = grantDeltas{}
		compact.Forget = true
	}
	for i, ticket := range compact.GetTickets() {
		compact.Tickets[i] = encoder.encodeTicket(compact, ticket)
	}
	encoder.encodeGrants(compact)
	for i, progress := range compact.GetProgress() {
		compact.Progress[i] = encoder.encodeProgress(compact, progress)
	}
	for i, release := range compact.GetReleases() {
		compact.Releases[i] = encoder.encodeRelease(compact, release)
	}
	for i, holdings := range compact.GetHoldings() {
		number := encoder.nameNumber(compact, holdings.GetPool())
		if number != 0 {
			compact.Holdings[i] = &peerpb.Holdings{PoolNumber: number}
		} else {
			compact.Holdings[i] = &peerpb.Holdings{Pool: holdings.GetPool()}
		}
		compact.Holdings[i].Numbers = encodeDeltas(holdings.GetNumbers())
	}
	return compact
}

// writeHeader sets the fields that only the first envelope of a stream carries.
func (encoder *encoder) writeHeader(compact *peerpb.Envelope) {
	if encoder.headerSent {
		return
	}
	encoder.headerSent = true
	compact.From = encoder.self.ID
	compact.Zone = encoder.self.Zone
	compact.Incarnation = encoder.self.Incarnation
	compact.Format = wireFormat
	compact.Stream = encoder.stream
}

// nameNumber returns the dictionary number of a name, which it adds if it fits.
// It returns 0 for a name that must be written out.
func (encoder *encoder) nameNumber(compact *peerpb.Envelope, name string) uint32 {
	if number := encoder.names[name]; number != 0 {
		return number
	}
	if name == "" || len(name) > maxNameBytes || len(encoder.names) >= maxNames {
		return 0
	}
	if encoder.names == nil {
		encoder.names = map[string]uint32{}
	}
	number := uint32(len(encoder.names) + 1)
	encoder.names[name] = number
	compact.Names = append(compact.Names, name)
	return number
}

// numberOrName returns the dictionary number of a name, or the name itself if
// it has none.
func (encoder *encoder) numberOrName(compact *peerpb.Envelope, name string) (uint32, string) {
	if number := encoder.nameNumber(compact, name); number != 0 {
		return number, ""
	}
	return 0, name
}

func (encoder *encoder) encodeTicket(compact *peerpb.Envelope, plain *peerpb.Ticket) *peerpb.Ticket {
	written := &peerpb.Ticket{
		Id: plain.GetId(), Tier: plain.GetTier(), Sheddable: plain.GetSheddable(),
		Remaining: plain.GetRemaining() / 1000, PromptTokens: plain.GetPromptTokens(),
		OutputTokens: plain.GetOutputTokens(), PrefixHashes: plain.GetPrefixHashes(),
		PrefixTokens: omitGridTokens(plain.GetPrefixTokens()), Fingerprint: plain.GetFingerprint(),
		Round: swapRoundPairs(plain.GetRound()),
	}
	written.PoolNumber, written.Pool = encoder.numberOrName(compact, plain.GetPool())
	written.WorkspaceNumber, written.Workspace = encoder.numberOrName(compact, plain.GetWorkspace())
	if held := plain.GetHeld(); held != nil {
		written.Held = encoder.encodeGrant(compact, held, nil)
	}
	sent := newSentTicket(plain)
	sent.sequence = encoder.sequence
	encoder.tickets.add(sent)
	return written
}

// encodeGrants encodes the grants, with references to tickets that the receiver
// sent over its latest stream.
func (encoder *encoder) encodeGrants(compact *peerpb.Envelope) {
	if len(compact.GetGrants()) == 0 {
		return
	}
	decoder := encoder.incoming()
	if decoder != nil {
		decoder.mutex.Lock()
		defer decoder.mutex.Unlock()
		if decoder.stream != encoder.referencedStream {
			encoder.referencedStream = decoder.stream
			compact.Answers = decoder.stream
		}
	}
	for i, grant := range compact.GetGrants() {
		compact.Grants[i] = encoder.encodeGrant(compact, grant, decoder)
	}
}

func (encoder *encoder) encodeGrant(compact *peerpb.Envelope, plain *peerpb.Grant, decoder *decoder) *peerpb.Grant {
	written := &peerpb.Grant{
		Round:        swapRoundPairs(plain.GetRound()),
		CachedTokens: plain.GetCachedTokens(), Lifetime: plain.GetLifetime() / 1000,
	}
	if decoder != nil && plain.GetScheduler() == encoder.self.ID {
		written.Reference = encoder.grantReference(plain, decoder)
	}
	if written.Reference == 0 {
		written.Id = plain.GetId()
		written.PoolNumber, written.Pool = encoder.numberOrName(compact, plain.GetPool())
	}
	written.TargetNumber, written.Target = encoder.numberOrName(compact, plain.GetTarget())
	written.Number = encoder.deltas.encode(written.GetTargetNumber(), plain.GetNumber())
	if plain.GetScheduler() != encoder.self.ID {
		written.SchedulerNumber, written.Scheduler = encoder.numberOrName(compact, plain.GetScheduler())
	}
	return written
}

// grantReference returns the number of the ticket that a grant is for, and stores
// the grant in the ticket if it is the first. It returns 0 if the grant must be
// written out: the ticket is no longer in the history, or the grant is not the
// ticket's first.
func (encoder *encoder) grantReference(plain *peerpb.Grant, decoder *decoder) uint64 {
	number := decoder.tickets.lookUp(plain.GetId())
	ticket := decoder.tickets.get(number)
	if ticket == nil || ticket.pool != plain.GetPool() || !ticket.grant.setOrMatch(plain.GetTarget(), plain.GetNumber()) {
		return 0
	}
	ticket.grant.stream = encoder.stream
	ticket.grant.sequence = encoder.sequence
	return number
}

// ticketReference returns the reference to a request's ticket. It returns 0 and
// nil if the message must be written out: the ticket is no longer in the history,
// or the grant is not the ticket's first.
func (encoder *encoder) ticketReference(id []byte, pool, target string, grant uint64) (uint64, *sentTicket) {
	number := encoder.tickets.lookUp(id)
	ticket := encoder.tickets.get(number)
	if ticket == nil || ticket.pool != pool || !ticket.grant.equals(target, grant) {
		return 0, nil
	}
	return encoder.tickets.count - number + 1, ticket
}

func (encoder *encoder) encodeProgress(compact *peerpb.Envelope, plain *peerpb.Progress) *peerpb.Progress {
	written := &peerpb.Progress{FirstToken: toMillis(plain.GetFirstToken())}
	reference, ticket := encoder.ticketReference(plain.GetId(), plain.GetPool(), plain.GetTarget(), plain.GetNumber())
	if ticket != nil {
		written.Reference = reference
		ticket.firstToken = written.GetFirstToken()
		return written
	}
	written.Id = plain.GetId()
	written.PoolNumber, written.Pool = encoder.numberOrName(compact, plain.GetPool())
	written.TargetNumber, written.Target = encoder.numberOrName(compact, plain.GetTarget())
	written.Number = encoder.deltas.encode(written.GetTargetNumber(), plain.GetNumber())
	return written
}

func (encoder *encoder) encodeRelease(compact *peerpb.Envelope, plain *peerpb.Release) *peerpb.Release {
	written := &peerpb.Release{
		End:          plain.GetEnd(),
		PromptTokens: plain.GetPromptTokens(), CachedTokens: plain.GetCachedTokens(),
		OutputTokens: plain.GetOutputTokens(),
		FirstToken:   toMillis(plain.GetFirstToken()), Total: toMillis(plain.GetTotal()),
	}
	reference, ticket := encoder.ticketReference(plain.GetId(), plain.GetPool(), plain.GetTarget(), plain.GetNumber())
	if ticket != nil && plain.GetScheduler() == encoder.receiver && ticket.fingerprint == plain.GetFingerprint() &&
		(written.GetFirstToken() != 0 || ticket.firstToken == 0) {
		written.Reference = reference
		if written.GetFirstToken() == ticket.firstToken {
			written.FirstToken = 0
		}
		return written
	}
	written.Id = plain.GetId()
	written.Fingerprint = plain.GetFingerprint()
	written.PoolNumber, written.Pool = encoder.numberOrName(compact, plain.GetPool())
	written.TargetNumber, written.Target = encoder.numberOrName(compact, plain.GetTarget())
	written.Number = encoder.deltas.encode(written.GetTargetNumber(), plain.GetNumber())
	if plain.GetScheduler() != encoder.receiver {
		written.SchedulerNumber, written.Scheduler = encoder.numberOrName(compact, plain.GetScheduler())
	}
	return written
}
