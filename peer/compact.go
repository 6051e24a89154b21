package peer

import (
	"slices"
	"time"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/prefix"
	"nutmegfield.example/request"
)

// The compact format of a stream: a name is sent once and then as its number in
// the stream's dictionary. A request's id is sent with its ticket; later messages
// hold a reference to the ticket in place of the id, the pool and the grant.
// Times are in milliseconds. The dictionary and the tickets of a stream are
// discarded when it ends.

const (
	// wireFormat is the version of this format; envelopes in any other version
	// are refused.
	wireFormat = 1
	// maxNames is the most names in the dictionary of a stream, and
	// maxNameBytes the longest name in it.
	maxNames     = 4096
	maxNameBytes = 256
	// maxTickets is how many of the latest tickets of a stream can be referred
	// to.
	maxTickets = 1024
	// maxPrefixes is the most prefixes of a ticket.
	maxPrefixes = 64
)

// sentTicket holds the values that a reference to a ticket stands for.
type sentTicket struct {
	id          request.ID
	pool        string
	fingerprint uint64
	// sequence is the number of the envelope that carried the ticket.
	sequence uint64
	// grant is the first grant for the ticket, zero if there is none yet.
	// Messages about the ticket may leave out the grant only once both ends have
	// it.
	grant sentGrant
	// firstToken is the reported time to the first token, in milliseconds.
	firstToken int64
}

// sentGrant is a grant that the receiver of the ticket gave.
type sentGrant struct {
	target string
	number uint64
	// stream and sequence identify the last envelope that carried the grant.
	// Only the sender of the grant sets them.
	stream   uint64
	sequence uint64
}

func (sentGrant *sentGrant) equals(target string, number uint64) bool {
	return sentGrant.target != "" && sentGrant.target == target && sentGrant.number == number
}

// setOrMatch stores the given grant if none is stored yet, and reports whether
// the stored grant is the given one.
func (sentGrant *sentGrant) setOrMatch(target string, number uint64) bool {
	if sentGrant.target == "" {
		sentGrant.target, sentGrant.number = target, number
	}
	return sentGrant.equals(target, number)
}

// ticketHistory holds the latest tickets of a stream, numbered from 1.
type ticketHistory struct {
	count   uint64
	ring    []sentTicket
	numbers map[request.ID]uint64
}

func (ticketHistory *ticketHistory) add(ticket sentTicket) {
	if ticketHistory.numbers == nil {
		ticketHistory.numbers = map[request.ID]uint64{}
	}
	ticketHistory.count++
	if len(ticketHistory.ring) < maxTickets {
		ticketHistory.ring = append(ticketHistory.ring, ticket)
	} else {
		at := (ticketHistory.count - 1) % maxTickets
		if old := ticketHistory.ring[at]; ticketHistory.numbers[old.id] == ticketHistory.count-maxTickets {
			delete(ticketHistory.numbers, old.id)
		}
		ticketHistory.ring[at] = ticket
	}
	ticketHistory.numbers[ticket.id] = ticketHistory.count
}

// get returns the ticket of a number, or nil if it is no longer held.
func (ticketHistory *ticketHistory) get(number uint64) *sentTicket {
	if number == 0 || number > ticketHistory.count || ticketHistory.count-number >= maxTickets {
		return nil
	}
	return &ticketHistory.ring[(number-1)%maxTickets]
}

// lookUp returns the number of a request's last ticket, 0 for none.
func (ticketHistory *ticketHistory) lookUp(raw []byte) uint64 {
	if len(raw) != len(request.ID{}) {
		return 0
	}
	return ticketHistory.numbers[requestID(raw)]
}

// swapRoundPairs swaps rounds 0 and 1, 2 and 3 and so on. Round 1, the first and
// most common round of a request, so becomes 0, which protobuf does not encode.
// A second call reverses the first.
func swapRoundPairs(round uint32) uint32 { return round ^ 1 }

// toMillis converts microseconds to milliseconds, rounded down but to at least
// 1 if the count is positive.
func toMillis(count int64) int64 {
	const unit = int64(time.Millisecond / time.Microsecond)
	if count > 0 && count < unit {
		return 1
	}
	return count / unit
}

// fromMillis converts milliseconds to microseconds. The result is limited to a
// year, positive or negative, so that sums don't overflow; no request takes
// longer.
func fromMillis(count int64) int64 {
	const maxMillis = int64(365 * 24 * time.Hour / time.Millisecond)
	return min(max(count, -maxMillis), maxMillis) * int64(time.Millisecond/time.Microsecond)
}

func newSentTicket(message *peerpb.Ticket) sentTicket {
	return sentTicket{id: requestID(message.GetId()), pool: message.GetPool(), fingerprint: message.GetFingerprint()}
}

// gridTokens returns the lengths in tokens, up to count of them, that
// prefix.Sample gives to the prefixes of a prompt whose longest prefix has the
// given length. It returns nil if that length is not a multiple of a block.
func gridTokens(last uint32, count int) []uint32 {
	if last%prefix.BlockTokens != 0 {
		return nil
	}
	lengths := prefix.SampleLengths(int(last/prefix.BlockTokens), count)
	tokens := make([]uint32, 0, len(lengths))
	for _, length := range lengths {
		tokens = append(tokens, uint32(length*prefix.BlockTokens))
	}
	return tokens
}

// omitGridTokens returns only the last length if gridTokens can restore the
// others from it, and all of them otherwise.
func omitGridTokens(tokens []uint32) []uint32 {
	if len(tokens) < 2 {
		return tokens
	}
	last := tokens[len(tokens)-1:]
	if slices.Equal(tokens, gridTokens(last[0], len(tokens))) {
		return last
	}
	return tokens
}

// restoreGridTokens reverses omitGridTokens.
func restoreGridTokens(tokens []uint32, hashes int) ([]uint32, error) {
	if hashes > maxPrefixes {
		return nil, Garbled.New("ticket has %d prefixes", hashes)
	}
	full := tokens
	if len(tokens) == 1 && hashes > 1 {
		full = gridTokens(tokens[0], hashes)
	}
	if len(full) != hashes {
		return nil, Garbled.New("ticket has %d prefix lengths for %d prefixes", len(tokens), hashes)
	}
	return full, nil
}
