package peer

import (
	"bytes"
	"sync"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/request"
)

// decoder decodes the envelopes of one stream from another host.
type decoder struct {
	// stream is the number that the sender gave the stream.
	stream uint64
	// sender is the id of the sending host, self that of this host.
	sender string
	self   string
	// outgoing returns the encoder of this host's latest stream to the sender,
	// nil if there was none.
	outgoing func() *encoder

	names  []string
	deltas grantDeltas
	// referencedStream is this host's stream to the sender whose tickets the
	// grants refer to, as last received in Envelope.answers.
	referencedStream uint64

	// mutex guards tickets, which the encoder of grants to the sender also uses.
	mutex   sync.Mutex
	tickets ticketHistory
}

// decode expands a compact envelope in place. It fails if the envelope violates
// the wire format.
func (decoder *decoder) decode(compact *peerpb.Envelope) error {
	if err := decoder.updateState(compact); err != nil {
		return err
	}
	for _, ticket := range compact.GetTickets() {
		if err := decoder.decodeTicket(ticket); err != nil {
			return err
		}
	}
	if err := decoder.decodeGrants(compact); err != nil {
		return err
	}
	for _, progress := range compact.GetProgress() {
		if err := decoder.decodeProgress(progress); err != nil {
			return err
		}
	}
	for _, release := range compact.GetReleases() {
		if err := decoder.decodeRelease(release); err != nil {
			return err
		}
	}
	for _, holdings := range compact.GetHoldings() {
		if err := decoder.resolveName(&holdings.Pool, &holdings.PoolNumber); err != nil {
			return err
		}
		decodeDeltas(holdings.GetNumbers())
	}
	return nil
}

// updateState applies the dictionary changes and the referenced stream of an
// envelope to the decoder.
func (decoder *decoder) updateState(compact *peerpb.Envelope) error {
	if compact.GetForget() {
		decoder.names = nil
		decoder.deltas = grantDeltas{}
	}
	if len(decoder.names)+len(compact.GetNames()) > maxNames {
		return Garbled.New("dictionary has more than %d names", maxNames)
	}
	for _, name := range compact.GetNames() {
		if name == "" || len(name) > maxNameBytes {
			return Garbled.New("name has %d bytes", len(name))
		}
	}
	decoder.names = append(decoder.names, compact.GetNames()...)
	if compact.GetAnswers() != 0 {
		decoder.referencedStream = compact.GetAnswers()
	}
	compact.Names = nil
	return nil
}

// resolveName replaces a dictionary number by its name.
func (decoder *decoder) resolveName(name *string, number *uint32) error {
	if *number == 0 {
		return nil
	}
	if *name != "" || uint64(*number) > uint64(len(decoder.names)) {
		return Garbled.New("name number %d is not in the dictionary of %d names", *number, len(decoder.names))
	}
	*name = decoder.names[*number-1]
	*number = 0
	return nil
}

// resolveTarget resolves a target's name and replaces the encoded delta of a
// grant number by the number.
func (decoder *decoder) resolveTarget(name *string, number *uint32, grant *uint64) error {
	nameNumber := *number
	if err := decoder.resolveName(name, number); err != nil {
		return err
	}
	*grant = decoder.deltas.decode(nameNumber, *grant)
	return nil
}

// resolveScheduler resolves a scheduler's name, which is the default name if the
// message has neither number nor name.
func (decoder *decoder) resolveScheduler(name *string, number *uint32, defaultName string) error {
	if *number == 0 && *name == "" {
		*name = defaultName
		return nil
	}
	return decoder.resolveName(name, number)
}

func (decoder *decoder) decodeTicket(ticket *peerpb.Ticket) error {
	if err := checkID(ticket.GetId()); err != nil {
		return err
	}
	if err := decoder.resolveName(&ticket.Pool, &ticket.PoolNumber); err != nil {
		return err
	}
	if err := decoder.resolveName(&ticket.Workspace, &ticket.WorkspaceNumber); err != nil {
		return err
	}
	tokens, err := restoreGridTokens(ticket.GetPrefixTokens(), len(ticket.GetPrefixHashes()))
	if err != nil {
		return err
	}
	ticket.PrefixTokens = tokens
	ticket.Remaining = fromMillis(ticket.GetRemaining())
	ticket.Round = swapRoundPairs(ticket.GetRound())
	if held := ticket.GetHeld(); held != nil {
		if held.GetReference() != 0 {
			return Garbled.New("held grant has a reference")
		}
		if err := decoder.decodeGrant(held); err != nil {
			return err
		}
	}
	decoder.mutex.Lock()
	defer decoder.mutex.Unlock()
	decoder.tickets.add(newSentTicket(ticket))
	return nil
}

// decodeGrants decodes the grants. It drops a grant that refers to a ticket of an
// older stream of this host, or to one that is no longer in the history or has
// another first grant; the entry host sends such tickets again.
func (decoder *decoder) decodeGrants(compact *peerpb.Envelope) error {
	kept := compact.GetGrants()[:0]
	for _, grant := range compact.GetGrants() {
		if err := decoder.decodeGrant(grant); err != nil {
			return err
		}
		if grant.GetReference() == 0 || decoder.resolveGrant(grant) {
			kept = append(kept, grant)
		} else {
			linkCounts.Add("stale", 1)
		}
	}
	compact.Grants = kept
	return nil
}

func (decoder *decoder) decodeGrant(grant *peerpb.Grant) error {
	if grant.GetReference() == 0 {
		if err := checkID(grant.GetId()); err != nil {
			return err
		}
	}
	if err := decoder.resolveName(&grant.Pool, &grant.PoolNumber); err != nil {
		return err
	}
	if err := decoder.resolveTarget(&grant.Target, &grant.TargetNumber, &grant.Number); err != nil {
		return err
	}
	grant.Round = swapRoundPairs(grant.GetRound())
	grant.Lifetime = fromMillis(grant.GetLifetime())
	return decoder.resolveScheduler(&grant.Scheduler, &grant.SchedulerNumber, decoder.sender)
}

// resolveGrant replaces a grant's reference by the id and pool of this host's
// ticket that it refers to. It reports whether the ticket was found and the grant
// is its first.
func (decoder *decoder) resolveGrant(grant *peerpb.Grant) bool {
	encoder := decoder.outgoing()
	if encoder == nil || encoder.stream != decoder.referencedStream {
		return false
	}
	encoder.mutex.Lock()
	defer encoder.mutex.Unlock()
	ticket := encoder.tickets.get(grant.GetReference())
	if ticket == nil || !ticket.grant.setOrMatch(grant.GetTarget(), grant.GetNumber()) {
		return false
	}
	encoder.confirm(ticket.sequence)
	grant.Id = bytes.Clone(ticket.id[:])
	grant.Pool = ticket.pool
	grant.Reference = 0
	return true
}

// ticketAt returns the ticket that the sender refers to. It fails if the ticket
// has no grant. The reference shows that the sender received the grant, so the
// envelope with the grant is confirmed.
func (decoder *decoder) ticketAt(reference uint64) (*sentTicket, error) {
	var ticket *sentTicket
	if reference <= decoder.tickets.count {
		ticket = decoder.tickets.get(decoder.tickets.count - reference + 1)
	}
	if ticket == nil {
		return nil, Garbled.New("reference %d is not among the %d tickets of the stream", reference, decoder.tickets.count)
	}
	if ticket.grant.target == "" {
		return nil, Garbled.New("reference %d is to a ticket without a grant", reference)
	}
	if encoder := decoder.outgoing(); encoder != nil && encoder.stream == ticket.grant.stream {
		encoder.confirm(ticket.grant.sequence)
	}
	return ticket, nil
}

func (decoder *decoder) decodeProgress(progress *peerpb.Progress) error {
	millis := progress.GetFirstToken()
	progress.FirstToken = fromMillis(millis)
	reference := progress.GetReference()
	if reference == 0 {
		if err := checkID(progress.GetId()); err != nil {
			return err
		}
		if err := decoder.resolveName(&progress.Pool, &progress.PoolNumber); err != nil {
			return err
		}
		return decoder.resolveTarget(&progress.Target, &progress.TargetNumber, &progress.Number)
	}
	decoder.mutex.Lock()
	defer decoder.mutex.Unlock()
	ticket, err := decoder.ticketAt(reference)
	if err != nil {
		return err
	}
	ticket.firstToken = millis
	progress.Id, progress.Pool, progress.PoolNumber = bytes.Clone(ticket.id[:]), ticket.pool, 0
	progress.Target, progress.TargetNumber, progress.Number = ticket.grant.target, 0, ticket.grant.number
	progress.Reference = 0
	return nil
}

func (decoder *decoder) decodeRelease(release *peerpb.Release) error {
	release.FirstToken = fromMillis(release.GetFirstToken())
	release.Total = fromMillis(release.GetTotal())
	reference := release.GetReference()
	if reference == 0 {
		return decoder.decodeFullRelease(release)
	}
	decoder.mutex.Lock()
	defer decoder.mutex.Unlock()
	ticket, err := decoder.ticketAt(reference)
	if err != nil {
		return err
	}
	release.Id, release.Pool, release.PoolNumber = bytes.Clone(ticket.id[:]), ticket.pool, 0
	release.Target, release.TargetNumber, release.Number = ticket.grant.target, 0, ticket.grant.number
	release.Scheduler, release.SchedulerNumber = decoder.self, 0
	release.Fingerprint, release.Reference = ticket.fingerprint, 0
	if release.GetFirstToken() == 0 {
		release.FirstToken = fromMillis(ticket.firstToken)
	}
	return nil
}

func (decoder *decoder) decodeFullRelease(release *peerpb.Release) error {
	if err := checkID(release.GetId()); err != nil {
		return err
	}
	if err := decoder.resolveName(&release.Pool, &release.PoolNumber); err != nil {
		return err
	}
	if err := decoder.resolveTarget(&release.Target, &release.TargetNumber, &release.Number); err != nil {
		return err
	}
	return decoder.resolveScheduler(&release.Scheduler, &release.SchedulerNumber, decoder.self)
}

// checkID returns an error for a request id of the wrong length.
func checkID(raw []byte) error {
	if len(raw) != len(request.ID{}) {
		return Garbled.New("request id has %d bytes", len(raw))
	}
	return nil
}
