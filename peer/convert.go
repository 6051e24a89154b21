package peer

import (
	"time"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/request"
)

// TicketMessage writes a ticket for the wire; the deadline becomes the time
// that remains, and of a prefix's hash go the low 32 bits, by which the index
// of prefixes goes.
func TicketMessage(ticket *request.Ticket) *peerpb.Ticket {
	message := &peerpb.Ticket{
		Id:           ticket.ID[:],
		Pool:         ticket.Pool,
		Workspace:    ticket.Workspace,
		Tier:         uint32(ticket.Tier),
		Sheddable:    ticket.Sheddable,
		Remaining:    time.Until(ticket.Deadline).Microseconds(),
		PromptTokens: uint32(ticket.Size.PromptTokens),
		OutputTokens: uint32(ticket.Size.OutputTokens),
		Fingerprint:  ticket.Fingerprint,
		Round:        ticket.Round,
	}
	for _, prefix := range ticket.Prefixes {
		message.PrefixHashes = append(message.PrefixHashes, uint32(prefix.Hash))
		message.PrefixTokens = append(message.PrefixTokens, uint32(prefix.Tokens))
	}
	if ticket.HeldGrant != nil {
		message.Held = GrantMessage(ticket.HeldGrant)
	}
	return message
}

// Ticket reads a ticket from the wire; entry is the host that sent it.
func Ticket(entry string, message *peerpb.Ticket) *request.Ticket {
	ticket := &request.Ticket{
		ID:          requestID(message.GetId()),
		Pool:        message.GetPool(),
		Entry:       entry,
		Workspace:   message.GetWorkspace(),
		Tier:        request.Tier(message.GetTier()),
		Sheddable:   message.GetSheddable(),
		Deadline:    time.Now().Add(micros(message.GetRemaining())),
		Fingerprint: message.GetFingerprint(),
		Round:       message.GetRound(),
		Size: request.Size{
			PromptTokens: int(message.GetPromptTokens()),
			OutputTokens: int(message.GetOutputTokens()),
		},
	}
	tokens := message.GetPrefixTokens()
	for i, hash := range message.GetPrefixHashes() {
		if i < len(tokens) {
			ticket.Prefixes = append(ticket.Prefixes, request.Prefix{Hash: uint64(hash), Tokens: int(tokens[i])})
		}
	}
	if message.GetHeld() != nil {
		held := Grant(message.GetHeld())
		ticket.HeldGrant = &held
	}
	return ticket
}

// GrantMessage writes a grant for the wire.
func GrantMessage(grant *request.Grant) *peerpb.Grant {
	return &peerpb.Grant{
		Id:           grant.Ticket[:],
		Pool:         grant.Pool,
		Round:        grant.Round,
		Target:       grant.Target,
		Scheduler:    grant.Scheduler,
		Number:       grant.Number,
		CachedTokens: uint32(grant.CachedTokens),
		Lifetime:     grant.Lifetime.Microseconds(),
	}
}

// Grant reads a grant from the wire.
func Grant(message *peerpb.Grant) request.Grant {
	return request.Grant{
		Ticket:       requestID(message.GetId()),
		Pool:         message.GetPool(),
		Round:        message.GetRound(),
		Target:       message.GetTarget(),
		Scheduler:    message.GetScheduler(),
		Number:       message.GetNumber(),
		CachedTokens: int(message.GetCachedTokens()),
		Lifetime:     micros(message.GetLifetime()),
	}
}

// RefusalMessage writes a refusal for the wire.
func RefusalMessage(refusal *request.Refusal) *peerpb.Refusal {
	return &peerpb.Refusal{
		Id:         refusal.Ticket[:],
		Pool:       refusal.Pool,
		Round:      refusal.Round,
		Reason:     string(refusal.Reason),
		RetryAfter: refusal.RetryAfter.Microseconds(),
	}
}

// Refusal reads a refusal from the wire.
func Refusal(message *peerpb.Refusal) request.Refusal {
	return request.Refusal{
		Ticket:     requestID(message.GetId()),
		Pool:       message.GetPool(),
		Round:      message.GetRound(),
		Reason:     request.Reason(message.GetReason()),
		RetryAfter: micros(message.GetRetryAfter()),
	}
}

// CancelMessage writes a cancel for the wire.
func CancelMessage(cancel *request.Cancel) *peerpb.Cancel {
	return &peerpb.Cancel{Id: cancel.Ticket[:], Pool: cancel.Pool, Round: cancel.Round}
}

// Cancel reads a cancel from the wire.
func Cancel(message *peerpb.Cancel) request.Cancel {
	return request.Cancel{
		Ticket: requestID(message.GetId()),
		Pool:   message.GetPool(),
		Round:  message.GetRound(),
	}
}

// ReleaseMessage writes a release for the wire.
func ReleaseMessage(release *request.Release) *peerpb.Release {
	return &peerpb.Release{
		Id:           release.Ticket[:],
		Pool:         release.Pool,
		Target:       release.Target,
		Number:       release.Number,
		Scheduler:    release.Scheduler,
		End:          uint32(release.End),
		PromptTokens: uint32(release.Usage.PromptTokens),
		CachedTokens: uint32(release.Usage.CachedTokens),
		OutputTokens: uint32(release.Usage.OutputTokens),
		FirstToken:   release.FirstToken.Microseconds(),
		Total:        release.Total.Microseconds(),
		Fingerprint:  release.Fingerprint,
	}
}

// Release reads a release from the wire.
func Release(message *peerpb.Release) request.Release {
	return request.Release{
		Ticket:      requestID(message.GetId()),
		Pool:        message.GetPool(),
		Target:      message.GetTarget(),
		Number:      message.GetNumber(),
		Scheduler:   message.GetScheduler(),
		End:         request.End(message.GetEnd()),
		FirstToken:  micros(message.GetFirstToken()),
		Total:       micros(message.GetTotal()),
		Fingerprint: message.GetFingerprint(),
		Usage: request.Usage{
			PromptTokens: int(message.GetPromptTokens()),
			CachedTokens: int(message.GetCachedTokens()),
			OutputTokens: int(message.GetOutputTokens()),
		},
	}
}

// ProgressMessage writes a progress report for the wire.
func ProgressMessage(progress *request.Progress) *peerpb.Progress {
	return &peerpb.Progress{
		Id:         progress.Ticket[:],
		Pool:       progress.Pool,
		Target:     progress.Target,
		Number:     progress.Number,
		FirstToken: progress.FirstToken.Microseconds(),
	}
}

// Progress reads a progress report from the wire.
func Progress(message *peerpb.Progress) request.Progress {
	return request.Progress{
		Ticket:     requestID(message.GetId()),
		Pool:       message.GetPool(),
		Target:     message.GetTarget(),
		Number:     message.GetNumber(),
		FirstToken: micros(message.GetFirstToken()),
	}
}

func requestID(raw []byte) request.ID {
	var id request.ID
	copy(id[:], raw)
	return id
}

func micros(count int64) time.Duration { return time.Duration(count) * time.Microsecond }
