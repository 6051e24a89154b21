package exchange

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/limit"
	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

const (
	// The first byte of a datagram about limits. No report begins with it, as no field
	// has the number 0.
	limitsMarker = 2
	// Messages are made after a change, but at most once per minLimitsInterval, and
	// once per maxLimitsInterval while a limit is known.
	minLimitsInterval = 5 * time.Millisecond
	maxLimitsInterval = 20 * time.Millisecond
	// maxLimitItems is the number of asks, grants and news in a datagram.
	maxLimitItems = 30
	// Bounds what is accepted from other hosts.
	maxReceivedLimitItems = 4 * maxLimitItems
	maxReceivedPermits    = 1 << 16
	maxReceivedTier       = limit.ExpectedTier
)

var eventLimitsRejected = timeline.Define(timeline.Kind{
	Number: 6106, Name: "message about limits rejected", Level: timeline.Warn,
	Meaning: "A datagram about the limits of targets from the address in the detail was invalid, or came from a host that sends no reports; it is ignored.",
	Action:  "if it continues, look for a host of another release, or for another sender",
})

// Members returns the hosts that share the limits of targets.
func (exchange *Exchange) Members() *limit.Members {
	if members := exchange.members.Load(); members != nil {
		return members
	}
	return &limit.Members{Known: 1}
}

// RunLimits exchanges messages about limits with the other hosts until the context ends.
// It returns nil.
func (exchange *Exchange) RunLimits(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	changed := exchange.Limiter.Changed()
	for pause.For(ctx, minLimitsInterval) {
		// Without a limit only a change has to be waited for.
		var elapsed <-chan time.Time
		if !exchange.Limiter.IsEmpty() {
			timer.Reset(maxLimitsInterval - minLimitsInterval)
			elapsed = timer.C
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-elapsed:
		}
		for address, message := range exchange.Limiter.Messages() {
			exchange.sendLimits(address, message)
		}
	}
	return nil
}

// sendLimits sends a message in as many datagrams as it needs.
func (exchange *Exchange) sendLimits(address string, message *limit.Message) {
	asks, grants, news := message.Asks, message.Grants, message.News
	for len(asks)+len(grants)+len(news) > 0 {
		encoded := &exchangepb.Limits{Address: exchange.Address}
		for ; len(asks) > 0 && len(encoded.GetAsks()) < maxLimitItems; asks = asks[1:] {
			encoded.Asks = append(encoded.Asks, encodeAsk(&asks[0]))
		}
		for ; len(grants) > 0 && len(encoded.GetGrants()) < maxLimitItems; grants = grants[1:] {
			encoded.Grants = append(encoded.Grants, &exchangepb.LimitGrant{Target: uint32(grants[0].Target), Permits: uint32(grants[0].Permits)})
		}
		for ; len(news) > 0 && len(encoded.GetNews()) < maxLimitItems; news = news[1:] {
			encoded.News = append(encoded.News, encodeNews(&news[0]))
		}
		datagram, err := proto.MarshalOptions{}.MarshalAppend([]byte{limitsMarker}, encoded)
		if err != nil {
			// Only text that isn't valid UTF-8 can't be encoded, and addresses are valid.
			return
		}
		metrics.GetOrCreateCounter("nutmegfield_limit_bytes_total").Add(len(datagram) + datagramOverhead)
		exchange.Send(address, datagram)
	}
}

// receiveLimits applies a datagram about limits without its marker, if it is valid and
// comes from a live peer.
func (exchange *Exchange) receiveLimits(encoded []byte) {
	message := &exchangepb.Limits{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		exchange.rejectLimits("", err.Error())
		return
	}
	switch {
	case exchange.livePeer(message.GetAddress()) == "":
		exchange.rejectLimits(message.GetAddress(), "not a live host")
	case len(message.GetAsks())+len(message.GetGrants())+len(message.GetNews()) > maxReceivedLimitItems:
		exchange.rejectLimits(message.GetAddress(), "too many items")
	default:
		decoded, ok := decodeLimits(message)
		if !ok {
			exchange.rejectLimits(message.GetAddress(), "a number is out of range")
			return
		}
		exchange.Limiter.Receive(message.GetAddress(), decoded)
	}
}

func (exchange *Exchange) rejectLimits(address, reason string) {
	metrics.GetOrCreateCounter("nutmegfield_limit_messages_rejected_total").Inc()
	exchange.Events.Record(eventLimitsRejected, timeline.Event{Detail: address + ": " + reason})
}

func encodeNews(news *limit.News) *exchangepb.LimitNews {
	return &exchangepb.LimitNews{Target: uint32(news.Target), Rate: news.Rate, Age: uint32(max(0, news.Age.Milliseconds()))}
}

func encodeAsk(ask *limit.Ask) *exchangepb.LimitAsk {
	return &exchangepb.LimitAsk{
		News: encodeNews(&ask.News), Own: ask.IsOwn, Sequence: ask.Sequence, Wanted: uint32(ask.Wanted),
		Held: uint32(ask.Held), Tier: uint32(ask.Tier), Received: ask.Received, Returned: uint32(ask.Returned),
		Unanswered: uint32(ask.Unanswered), Sent: ask.Sent, Answered: ask.Answered,
	}
}

// decodeLimits returns the message in a datagram, false if a number is out of range.
func decodeLimits(encoded *exchangepb.Limits) (*limit.Message, bool) {
	message := &limit.Message{}
	for _, news := range encoded.GetNews() {
		if !isValidRate(news.GetRate()) {
			return nil, false
		}
		message.News = append(message.News, decodeNews(news))
	}
	for _, ask := range encoded.GetAsks() {
		if !isValidRate(ask.GetNews().GetRate()) || ask.GetTier() > maxReceivedTier ||
			max(ask.GetWanted(), ask.GetHeld(), ask.GetReturned(), ask.GetUnanswered()) > maxReceivedPermits {
			return nil, false
		}
		message.Asks = append(message.Asks, limit.Ask{
			News: decodeNews(ask.GetNews()), IsOwn: ask.GetOwn(), Sequence: ask.GetSequence(), Wanted: int(ask.GetWanted()),
			Held: int(ask.GetHeld()), Tier: int(ask.GetTier()), Received: ask.GetReceived(), Returned: int(ask.GetReturned()),
			Unanswered: int(ask.GetUnanswered()), Sent: ask.GetSent(), Answered: ask.GetAnswered(),
		})
	}
	for _, grant := range encoded.GetGrants() {
		if grant.GetPermits() > maxReceivedPermits {
			return nil, false
		}
		message.Grants = append(message.Grants, limit.Grant{Target: limit.Target(grant.GetTarget()), Permits: int(grant.GetPermits())})
	}
	return message, true
}

func decodeNews(news *exchangepb.LimitNews) limit.News {
	return limit.News{Target: limit.Target(news.GetTarget()), Rate: news.GetRate(), Age: time.Duration(news.GetAge()) * time.Millisecond}
}

// isValidRate reports whether a rate is a number that a target may name; a comparison
// with one that isn't a number is false.
func isValidRate(rate float64) bool { return rate >= 0 && rate <= limit.MaxRate }
