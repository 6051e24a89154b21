package peer

import (
	"bytes"
	"sync"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/request"
)

// inward reads the envelopes of one stream.
type inward struct {
	// stream is the number that the sender gave its stream.
	stream uint64
	// from is the sender, self this host.
	from string
	self string
	// sent returns what this host last opened to the sender, nil before any.
	sent func() *outward

	names   []string
	steps   steps
	answers uint64

	// mutex keeps the tickets, which grants to the sender refer to.
	mutex   sync.Mutex
	tickets sentTickets
}

// envelope turns the compact form back, in place. An error means that the
// sender does not keep to the form.
func (inward *inward) envelope(compact *peerpb.Envelope) error {
	if err := inward.learn(compact); err != nil {
		return err
	}
	for _, ticket := range compact.GetTickets() {
		if err := inward.ticket(ticket); err != nil {
			return err
		}
	}
	if err := inward.grants(compact); err != nil {
		return err
	}
	for _, progress := range compact.GetProgress() {
		if err := inward.progress(progress); err != nil {
			return err
		}
	}
	for _, release := range compact.GetReleases() {
		if err := inward.release(release); err != nil {
			return err
		}
	}
	for _, holdings := range compact.GetHoldings() {
		if err := inward.name(&holdings.Pool, &holdings.PoolNumber); err != nil {
			return err
		}
		sums(holdings.GetNumbers())
	}
	return nil
}

// learn takes what the envelope says of the stream itself.
func (inward *inward) learn(compact *peerpb.Envelope) error {
	if compact.GetForget() {
		inward.names = nil
		inward.steps = steps{}
	}
	if len(inward.names)+len(compact.GetNames()) > streamNames {
		return Garbled.New("more than %d names", streamNames)
	}
	for _, name := range compact.GetNames() {
		if name == "" || len(name) > nameBytes {
			return Garbled.New("a name of %d bytes", len(name))
		}
	}
	inward.names = append(inward.names, compact.GetNames()...)
	if compact.GetAnswers() != 0 {
		inward.answers = compact.GetAnswers()
	}
	compact.Names = nil
	return nil
}

// name replaces a number by its name.
func (inward *inward) name(name *string, number *uint32) error {
	if *number == 0 {
		return nil
	}
	if *name != "" || uint64(*number) > uint64(len(inward.names)) {
		return Garbled.New("name %d of %d", *number, len(inward.names))
	}
	*name = inward.names[*number-1]
	*number = 0
	return nil
}

// target is like name; the number of a grant is counted from the last of the
// same target.
func (inward *inward) target(name *string, number *uint32, grant *uint64) error {
	place := *number
	if err := inward.name(name, number); err != nil {
		return err
	}
	*grant = inward.steps.read(place, *grant)
	return nil
}

// scheduler is like name; without either it is the host that both know.
func (inward *inward) scheduler(name *string, number *uint32, otherwise string) error {
	if *number == 0 && *name == "" {
		*name = otherwise
		return nil
	}
	return inward.name(name, number)
}

func (inward *inward) ticket(ticket *peerpb.Ticket) error {
	if err := checkID(ticket.GetId()); err != nil {
		return err
	}
	if err := inward.name(&ticket.Pool, &ticket.PoolNumber); err != nil {
		return err
	}
	if err := inward.name(&ticket.Workspace, &ticket.WorkspaceNumber); err != nil {
		return err
	}
	tokens, err := fullTokens(ticket.GetPrefixTokens(), len(ticket.GetPrefixHashes()))
	if err != nil {
		return err
	}
	ticket.PrefixTokens = tokens
	ticket.Remaining = fromMillis(ticket.GetRemaining())
	ticket.Round = turnRound(ticket.GetRound())
	if held := ticket.GetHeld(); held != nil {
		if held.GetReference() != 0 {
			return Garbled.New("a held grant with a reference")
		}
		if err := inward.grant(held); err != nil {
			return err
		}
	}
	inward.mutex.Lock()
	defer inward.mutex.Unlock()
	inward.tickets.add(ticketOf(ticket))
	return nil
}

// grants reads the grants; those for tickets of an older stream of this host,
// or for too old ones, are left out: such tickets are sent again.
func (inward *inward) grants(compact *peerpb.Envelope) error {
	kept := compact.GetGrants()[:0]
	for _, grant := range compact.GetGrants() {
		if err := inward.grant(grant); err != nil {
			return err
		}
		if grant.GetReference() == 0 || inward.resolve(grant) {
			kept = append(kept, grant)
		} else {
			linkCounts.Add("stale", 1)
		}
	}
	compact.Grants = kept
	return nil
}

func (inward *inward) grant(grant *peerpb.Grant) error {
	if grant.GetReference() == 0 {
		if err := checkID(grant.GetId()); err != nil {
			return err
		}
	}
	if err := inward.name(&grant.Pool, &grant.PoolNumber); err != nil {
		return err
	}
	if err := inward.target(&grant.Target, &grant.TargetNumber, &grant.Number); err != nil {
		return err
	}
	grant.Round = turnRound(grant.GetRound())
	grant.Lifetime = fromMillis(grant.GetLifetime())
	return inward.scheduler(&grant.Scheduler, &grant.SchedulerNumber, inward.from)
}

// resolve looks a grant's ticket up among those that this host sent.
func (inward *inward) resolve(grant *peerpb.Grant) bool {
	sent := inward.sent()
	if sent == nil || sent.stream != inward.answers {
		return false
	}
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	ticket := sent.tickets.at(grant.GetReference())
	if ticket == nil || !ticket.grant.take(grant.GetTarget(), grant.GetNumber()) {
		return false
	}
	sent.confirm(ticket.sequence)
	grant.Id = bytes.Clone(ticket.id[:])
	grant.Pool = ticket.pool
	grant.Reference = 0
	return true
}

// refer returns the ticket that a reference of the sender means, with its
// grant, which the sender has had.
func (inward *inward) refer(reference uint64) (*sentTicket, error) {
	var ticket *sentTicket
	if reference <= inward.tickets.count {
		ticket = inward.tickets.at(inward.tickets.count - reference + 1)
	}
	if ticket == nil {
		return nil, Garbled.New("reference %d of %d tickets", reference, inward.tickets.count)
	}
	if ticket.grant.target == "" {
		return nil, Garbled.New("reference %d to a ticket without a grant", reference)
	}
	if sent := inward.sent(); sent != nil && sent.stream == ticket.grant.stream {
		sent.confirm(ticket.grant.sequence)
	}
	return ticket, nil
}

func (inward *inward) progress(progress *peerpb.Progress) error {
	millis := progress.GetFirstToken()
	progress.FirstToken = fromMillis(millis)
	reference := progress.GetReference()
	if reference == 0 {
		if err := checkID(progress.GetId()); err != nil {
			return err
		}
		if err := inward.name(&progress.Pool, &progress.PoolNumber); err != nil {
			return err
		}
		return inward.target(&progress.Target, &progress.TargetNumber, &progress.Number)
	}
	inward.mutex.Lock()
	defer inward.mutex.Unlock()
	ticket, err := inward.refer(reference)
	if err != nil {
		return err
	}
	ticket.firstToken = millis
	progress.Id, progress.Pool, progress.PoolNumber = bytes.Clone(ticket.id[:]), ticket.pool, 0
	progress.Target, progress.TargetNumber, progress.Number = ticket.grant.target, 0, ticket.grant.number
	progress.Reference = 0
	return nil
}

func (inward *inward) release(release *peerpb.Release) error {
	release.FirstToken = fromMillis(release.GetFirstToken())
	release.Total = fromMillis(release.GetTotal())
	reference := release.GetReference()
	if reference == 0 {
		return inward.fullRelease(release)
	}
	inward.mutex.Lock()
	defer inward.mutex.Unlock()
	ticket, err := inward.refer(reference)
	if err != nil {
		return err
	}
	release.Id, release.Pool, release.PoolNumber = bytes.Clone(ticket.id[:]), ticket.pool, 0
	release.Target, release.TargetNumber, release.Number = ticket.grant.target, 0, ticket.grant.number
	release.Scheduler, release.SchedulerNumber = inward.self, 0
	release.Fingerprint, release.Reference = ticket.fingerprint, 0
	if release.GetFirstToken() == 0 {
		release.FirstToken = fromMillis(ticket.firstToken)
	}
	return nil
}

func (inward *inward) fullRelease(release *peerpb.Release) error {
	if err := checkID(release.GetId()); err != nil {
		return err
	}
	if err := inward.name(&release.Pool, &release.PoolNumber); err != nil {
		return err
	}
	if err := inward.target(&release.Target, &release.TargetNumber, &release.Number); err != nil {
		return err
	}
	return inward.scheduler(&release.Scheduler, &release.SchedulerNumber, inward.self)
}

// checkID refuses an id of a wrong length.
func checkID(raw []byte) error {
	if len(raw) != len(request.ID{}) {
		return Garbled.New("an id of %d bytes", len(raw))
	}
	return nil
}
