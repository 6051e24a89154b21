package peer

import (
	"slices"
	"time"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/prefix"
	"nutmegfield.example/request"
)

// The compact form of a stream: names are sent once and then as numbers, a
// request's id is in its ticket and a reference to the ticket stands for it and
// for the grant that it got in what follows, and times are in milliseconds. All
// state ends with the stream.

const (
	// wireFormat is the number of this form; a host refuses any other.
	wireFormat = 1
	// maxNames bounds the dictionary of a stream, nameBytes a name in it.
	maxNames     = 4096
	maxNameBytes = 256
	// maxTickets is how many tickets of a stream can be referred to.
	maxTickets = 1024
	// maxPrefixes bounds the prefixes of a ticket.
	maxPrefixes = 64
)

// sentTicket is what a reference stands for.
type sentTicket struct {
	id          request.ID
	pool        string
	fingerprint uint64
	// sequence is the envelope of the stream that the ticket went in.
	sequence uint64
	// grant is the first one that referred to the ticket. Both ends know it
	// before anything of the ticket can go without naming its grant.
	grant sentGrant
	// firstToken was reported, in milliseconds.
	firstToken int64
}

// sentGrant is a grant of the receiver of the ticket.
type sentGrant struct {
	target string
	number uint64
	// stream and sequence are the envelope that it went in last, kept by its
	// sender.
	stream   uint64
	sequence uint64
}

func (sentGrant *sentGrant) equals(target string, number uint64) bool {
	return sentGrant.target != "" && sentGrant.target == target && sentGrant.number == number
}

// setOrMatch keeps the first grant; false for another one.
func (sentGrant *sentGrant) setOrMatch(target string, number uint64) bool {
	if sentGrant.target == "" {
		sentGrant.target, sentGrant.number = target, number
	}
	return sentGrant.equals(target, number)
}

// ticketHistory are the last tickets of a stream, counted from 1.
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

// get returns the ticket of a number, nil if it is not among the last.
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

// swapRoundPairs swaps rounds 0 and 1, 2 and 3 and so on: the first round of a
// request, the commonest, becomes the value that takes no bytes.
func swapRoundPairs(round uint32) uint32 { return round ^ 1 }

// toMillis turns microseconds into milliseconds, what is not zero into at
// least 1.
func toMillis(count int64) int64 {
	const unit = int64(time.Millisecond / time.Microsecond)
	if count > 0 && count < unit {
		return 1
	}
	return count / unit
}

// fromMillis turns milliseconds into microseconds; more than any request
// takes is cut, so that no sum overflows.
func fromMillis(count int64) int64 {
	const most = int64(365 * 24 * time.Hour / time.Millisecond)
	return min(max(count, -most), most) * int64(time.Millisecond/time.Microsecond)
}

func newSentTicket(message *peerpb.Ticket) sentTicket {
	return sentTicket{id: requestID(message.GetId()), pool: message.GetPool(), fingerprint: message.GetFingerprint()}
}

// gridTokens returns the tokens of the grid's lengths up to the given one.
func gridTokens(last uint32, count int) []uint32 {
	if last%prefix.BlockTokens != 0 {
		return nil
	}
	lengths := prefix.Grid(int(last/prefix.BlockTokens), count)
	tokens := make([]uint32, 0, len(lengths))
	for _, length := range lengths {
		tokens = append(tokens, uint32(length*prefix.BlockTokens))
	}
	return tokens
}

// omitGridTokens leaves out what follows from the last of them.
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

// restoreGridTokens undoes thinTokens.
func restoreGridTokens(tokens []uint32, hashes int) ([]uint32, error) {
	if hashes > maxPrefixes {
		return nil, Garbled.New("%d prefixes", hashes)
	}
	full := tokens
	if len(tokens) == 1 && hashes > 1 {
		full = gridTokens(tokens[0], hashes)
	}
	if len(full) != hashes {
		return nil, Garbled.New("%d lengths of %d prefixes", len(tokens), hashes)
	}
	return full, nil
}
