package peer

import (
	"sync"
	"sync/atomic"

	"nutmegfield.example/peer/peerpb"
)

// outward writes the envelopes of one stream in the compact form.
type outward struct {
	// stream tells the host's streams to the receiver apart.
	stream   uint64
	self     Host
	receiver string
	// heard returns what came on the receiver's stream to this host, nil
	// before any.
	heard func() *inward

	mutex sync.Mutex
	names map[string]uint32
	// steps counts grants from the last of the same target.
	steps    steps
	tickets  sentTickets
	begun    bool
	answered uint64
	// sequence counts the envelopes.
	sequence uint64
	// confirmed is the last envelope that is known to have arrived by what the
	// receiver sent in answer.
	confirmed atomic.Uint64
}

// confirm notes that an envelope and all before it have arrived.
func (outward *outward) confirm(sequence uint64) {
	for {
		old := outward.confirmed.Load()
		if sequence <= old || outward.confirmed.CompareAndSwap(old, sequence) {
			return
		}
	}
}

// envelope returns the compact form; what it is given stays as it is.
func (outward *outward) envelope(plain *peerpb.Envelope) *peerpb.Envelope {
	outward.mutex.Lock()
	defer outward.mutex.Unlock()
	outward.sequence++
	compact := &peerpb.Envelope{}
	join(compact, plain)
	compact.Beat = plain.GetBeat()
	outward.begin(compact)
	if len(outward.names) >= streamNames-batch {
		outward.names = nil
		outward.steps = steps{}
		compact.Forget = true
	}
	for i, ticket := range compact.GetTickets() {
		compact.Tickets[i] = outward.ticket(compact, ticket)
	}
	outward.grants(compact)
	for i, progress := range compact.GetProgress() {
		compact.Progress[i] = outward.progress(compact, progress)
	}
	for i, release := range compact.GetReleases() {
		compact.Releases[i] = outward.release(compact, release)
	}
	for i, holdings := range compact.GetHoldings() {
		number := outward.name(compact, holdings.GetPool())
		if number != 0 {
			compact.Holdings[i] = &peerpb.Holdings{PoolNumber: number}
		} else {
			compact.Holdings[i] = &peerpb.Holdings{Pool: holdings.GetPool()}
		}
		compact.Holdings[i].Numbers = differences(holdings.GetNumbers())
	}
	return compact
}

func (outward *outward) begin(compact *peerpb.Envelope) {
	if outward.begun {
		return
	}
	outward.begun = true
	compact.From = outward.self.ID
	compact.Zone = outward.self.Zone
	compact.Incarnation = outward.self.Incarnation
	compact.Format = wireFormat
	compact.Stream = outward.stream
}

// name returns the number of a name, added if there is room; 0 stands for a
// name that is written out.
func (outward *outward) name(compact *peerpb.Envelope, name string) uint32 {
	if number := outward.names[name]; number != 0 {
		return number
	}
	if name == "" || len(name) > nameBytes || len(outward.names) >= streamNames {
		return 0
	}
	if outward.names == nil {
		outward.names = map[string]uint32{}
	}
	number := uint32(len(outward.names) + 1)
	outward.names[name] = number
	compact.Names = append(compact.Names, name)
	return number
}

// named returns the number of a name, or the name itself where it has none.
func (outward *outward) named(compact *peerpb.Envelope, name string) (uint32, string) {
	if number := outward.name(compact, name); number != 0 {
		return number, ""
	}
	return 0, name
}

func (outward *outward) ticket(compact *peerpb.Envelope, plain *peerpb.Ticket) *peerpb.Ticket {
	written := &peerpb.Ticket{
		Id: plain.GetId(), Tier: plain.GetTier(), Sheddable: plain.GetSheddable(),
		Remaining: plain.GetRemaining() / 1000, PromptTokens: plain.GetPromptTokens(),
		OutputTokens: plain.GetOutputTokens(), PrefixHashes: plain.GetPrefixHashes(),
		PrefixTokens: thinTokens(plain.GetPrefixTokens()), Fingerprint: plain.GetFingerprint(),
		Round: turnRound(plain.GetRound()),
	}
	written.PoolNumber, written.Pool = outward.named(compact, plain.GetPool())
	written.WorkspaceNumber, written.Workspace = outward.named(compact, plain.GetWorkspace())
	if held := plain.GetHeld(); held != nil {
		written.Held = outward.grant(compact, held, nil)
	}
	sent := ticketOf(plain)
	sent.sequence = outward.sequence
	outward.tickets.add(sent)
	return written
}

// grants refers to the tickets of the receiver's stream.
func (outward *outward) grants(compact *peerpb.Envelope) {
	if len(compact.GetGrants()) == 0 {
		return
	}
	heard := outward.heard()
	if heard != nil {
		heard.mutex.Lock()
		defer heard.mutex.Unlock()
		if heard.stream != outward.answered {
			outward.answered = heard.stream
			compact.Answers = heard.stream
		}
	}
	for i, grant := range compact.GetGrants() {
		compact.Grants[i] = outward.grant(compact, grant, heard)
	}
}

func (outward *outward) grant(compact *peerpb.Envelope, plain *peerpb.Grant, heard *inward) *peerpb.Grant {
	written := &peerpb.Grant{
		Round:        turnRound(plain.GetRound()),
		CachedTokens: plain.GetCachedTokens(), Lifetime: plain.GetLifetime() / 1000,
	}
	if heard != nil && plain.GetScheduler() == outward.self.ID {
		written.Reference = outward.answer(plain, heard)
	}
	if written.Reference == 0 {
		written.Id = plain.GetId()
		written.PoolNumber, written.Pool = outward.named(compact, plain.GetPool())
	}
	written.TargetNumber, written.Target = outward.named(compact, plain.GetTarget())
	written.Number = outward.steps.write(written.GetTargetNumber(), plain.GetNumber())
	if plain.GetScheduler() != outward.self.ID {
		written.SchedulerNumber, written.Scheduler = outward.named(compact, plain.GetScheduler())
	}
	return written
}

// answer returns the number of the ticket that a grant is for, 0 if the grant
// must be written out, as one that is not the first for the ticket.
func (outward *outward) answer(plain *peerpb.Grant, heard *inward) uint64 {
	number := heard.tickets.find(plain.GetId())
	ticket := heard.tickets.at(number)
	if ticket == nil || ticket.pool != plain.GetPool() || !ticket.grant.take(plain.GetTarget(), plain.GetNumber()) {
		return 0
	}
	ticket.grant.stream = outward.stream
	ticket.grant.sequence = outward.sequence
	return number
}

// refer returns the reference to a request's ticket, 0 and nil where all must
// be written out. What is not of the ticket's first grant is written out too.
func (outward *outward) refer(id []byte, pool, target string, grant uint64) (uint64, *sentTicket) {
	number := outward.tickets.find(id)
	ticket := outward.tickets.at(number)
	if ticket == nil || ticket.pool != pool || !ticket.grant.is(target, grant) {
		return 0, nil
	}
	return outward.tickets.count - number + 1, ticket
}

func (outward *outward) progress(compact *peerpb.Envelope, plain *peerpb.Progress) *peerpb.Progress {
	written := &peerpb.Progress{FirstToken: toMillis(plain.GetFirstToken())}
	reference, ticket := outward.refer(plain.GetId(), plain.GetPool(), plain.GetTarget(), plain.GetNumber())
	if ticket != nil {
		written.Reference = reference
		ticket.firstToken = written.GetFirstToken()
		return written
	}
	written.Id = plain.GetId()
	written.PoolNumber, written.Pool = outward.named(compact, plain.GetPool())
	written.TargetNumber, written.Target = outward.named(compact, plain.GetTarget())
	written.Number = outward.steps.write(written.GetTargetNumber(), plain.GetNumber())
	return written
}

func (outward *outward) release(compact *peerpb.Envelope, plain *peerpb.Release) *peerpb.Release {
	written := &peerpb.Release{
		End:          plain.GetEnd(),
		PromptTokens: plain.GetPromptTokens(), CachedTokens: plain.GetCachedTokens(),
		OutputTokens: plain.GetOutputTokens(),
		FirstToken:   toMillis(plain.GetFirstToken()), Total: toMillis(plain.GetTotal()),
	}
	reference, ticket := outward.refer(plain.GetId(), plain.GetPool(), plain.GetTarget(), plain.GetNumber())
	if ticket != nil && plain.GetScheduler() == outward.receiver && ticket.fingerprint == plain.GetFingerprint() &&
		(written.GetFirstToken() != 0 || ticket.firstToken == 0) {
		written.Reference = reference
		if written.GetFirstToken() == ticket.firstToken {
			written.FirstToken = 0
		}
		return written
	}
	written.Id = plain.GetId()
	written.Fingerprint = plain.GetFingerprint()
	written.PoolNumber, written.Pool = outward.named(compact, plain.GetPool())
	written.TargetNumber, written.Target = outward.named(compact, plain.GetTarget())
	written.Number = outward.steps.write(written.GetTargetNumber(), plain.GetNumber())
	if plain.GetScheduler() != outward.receiver {
		written.SchedulerNumber, written.Scheduler = outward.named(compact, plain.GetScheduler())
	}
	return written
}
