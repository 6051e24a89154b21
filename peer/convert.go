package peer

import (
	"time"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/request"
)

// TicketMessage converts a ticket to its wire message. The deadline becomes the
// remaining time. Only the low 32 bits of each prefix hash are sent, as these are
// the keys of the prefix index.
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

// Ticket converts a wire message to a ticket; entry is the host that sent it.
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

// GrantMessage converts a grant to its wire message.
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

// Grant converts a wire message to a grant.
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

// RefusalMessage converts a refusal to its wire message.
func RefusalMessage(refusal *request.Refusal) *peerpb.Refusal {
	return &peerpb.Refusal{
		Id:         refusal.Ticket[:],
		Pool:       refusal.Pool,
		Round:      refusal.Round,
		Reason:     string(refusal.Reason),
		RetryAfter: refusal.RetryAfter.Microseconds(),
	}
}

// Refusal converts a wire message to a refusal.
func Refusal(message *peerpb.Refusal) request.Refusal {
	return request.Refusal{
		Ticket:     requestID(message.GetId()),
		Pool:       message.GetPool(),
		Round:      message.GetRound(),
		Reason:     request.Reason(message.GetReason()),
		RetryAfter: micros(message.GetRetryAfter()),
	}
}

// CancelMessage converts a cancel to its wire message.
func CancelMessage(cancel *request.Cancel) *peerpb.Cancel {
	return &peerpb.Cancel{Id: cancel.Ticket[:], Pool: cancel.Pool, Round: cancel.Round}
}

// Cancel converts a wire message to a cancel.
func Cancel(message *peerpb.Cancel) request.Cancel {
	return request.Cancel{
		Ticket: requestID(message.GetId()),
		Pool:   message.GetPool(),
		Round:  message.GetRound(),
	}
}

// ReleaseMessage converts a release to its wire message.
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

// Release converts a wire message to a release.
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

// ProgressMessage converts a progress report to its wire message.
func ProgressMessage(progress *request.Progress) *peerpb.Progress {
	return &peerpb.Progress{
		Id:         progress.Ticket[:],
		Pool:       progress.Pool,
		Target:     progress.Target,
		Number:     progress.Number,
		FirstToken: progress.FirstToken.Microseconds(),
	}
}

// Progress converts a wire message to a progress report.
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
