package exchange

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/pause"
	"nutmegfield.example/quarantine"
	"nutmegfield.example/timeline"
)

const (
	// The first byte of a datagram with suspicions. No report begins with it, as no
	// field has the number 0.
	suspicionsMarker = 1
	// Suspicions are sent to suspicionRecipients random hosts at most once per
	// suspicionInterval: what is new and, in one of repeatRounds rounds, the quarantined
	// contents in turn, of which the first comes before what is new and the others after it.
	// A host that learns something new passes it on.
	suspicionInterval   = 250 * time.Millisecond
	repeatRounds        = 2
	suspicionRecipients = 2
	// Bounds the size of a datagram with suspicions, so that a host sends at most
	// 2,000 bytes a second with datagramOverhead for the headers of IP and UDP.
	maxSuspicionBytes = 222
	datagramOverhead  = 28
	// Bounds what is accepted from other hosts.
	maxReceivedSuspects = 16
	maxReceivedEndings  = 16
	maxSuspicionAge     = 36 * time.Hour
)

var eventSuspicionsRejected = timeline.Define(timeline.Kind{
	Number: 6105, Name: "suspicions rejected", Level: timeline.Warn,
	Meaning: "Suspicions from the address in the detail were invalid, or came from a host that sends no reports; they are ignored.",
	Action:  "if it continues, look for a host of another release, or for another sender",
})

// RunSuspicions sends suspicions to other hosts until the context ends. It returns
// nil.
func (exchange *Exchange) RunSuspicions(ctx context.Context) error {
	suspects := exchange.Suspects
	for round := 1; pause.For(ctx, suspicionInterval); round++ {
		message := &exchangepb.Suspicions{Address: exchange.Address}
		repeats := round%repeatRounds == 0
		if repeats {
			suspects.NextQuarantined(1, addTo(message))
		}
		suspects.TakeChanges(addTo(message))
		if repeats {
			suspects.NextQuarantined(maxReceivedSuspects, addTo(message))
		}
		if len(message.GetSuspects()) == 0 {
			// What changes next is sent at once.
			suspects.WaitForChange(ctx, suspicionInterval)
			suspects.TakeChanges(addTo(message))
		}
		if len(message.GetSuspects()) > 0 {
			exchange.sendSuspicions(message)
		}
	}
	return nil
}

// addTo returns a function that adds suspects to a message, each once. It returns false for
// the first that doesn't fit.
func addTo(message *exchangepb.Suspicions) func(suspect *quarantine.Suspect) bool {
	return func(suspect *quarantine.Suspect) bool {
		before := message.GetSuspects()
		if slices.ContainsFunc(before, func(added *exchangepb.Suspect) bool { return added.GetContent() == uint64(suspect.Trait) }) {
			return true
		}
		message.Suspects = append(before, encodeSuspect(suspect, time.Now()))
		if 1+proto.Size(message) > maxSuspicionBytes {
			message.Suspects = before
			return false
		}
		return true
	}
}

// sendSuspicions sends a message to random hosts.
func (exchange *Exchange) sendSuspicions(message *exchangepb.Suspicions) {
	encoded, err := proto.MarshalOptions{}.MarshalAppend([]byte{suspicionsMarker}, message)
	if err != nil {
		// Only text that isn't valid UTF-8 can't be encoded, and addresses are valid.
		return
	}
	for _, address := range exchange.randomPeers(suspicionRecipients) {
		metrics.GetOrCreateCounter("nutmegfield_suspicion_bytes_total").Add(len(encoded) + datagramOverhead)
		exchange.Send(address, encoded)
	}
}

// randomPeers returns the addresses of up to count random live peers.
func (exchange *Exchange) randomPeers(count int) []string {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	alive := exchange.livePeerAddresses()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(count, len(alive))]
}

// receiveSuspicions applies the suspicions in a datagram without its marker, if they
// are valid and come from a live peer.
func (exchange *Exchange) receiveSuspicions(encoded []byte) {
	message := &exchangepb.Suspicions{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		exchange.rejectSuspicions("", err.Error())
		return
	}
	peer := exchange.livePeer(message.GetAddress())
	if peer == "" {
		exchange.rejectSuspicions(message.GetAddress(), "not a live host")
		return
	}
	if len(message.GetSuspects()) > maxReceivedSuspects {
		exchange.rejectSuspicions(message.GetAddress(), "too many suspects")
		return
	}
	now := time.Now()
	for _, suspect := range message.GetSuspects() {
		decoded, err := decodeSuspect(suspect, now)
		if err != nil {
			exchange.rejectSuspicions(message.GetAddress(), err.Error())
			return
		}
		exchange.Suspects.Learn(peer, decoded)
	}
}

// livePeer returns the id of the live host at an address, empty if there is none.
func (exchange *Exchange) livePeer(address string) string {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if peer := exchange.peers[address]; peer != nil && peer.alive {
		return peer.host
	}
	return ""
}

func (exchange *Exchange) rejectSuspicions(address, reason string) {
	metrics.GetOrCreateCounter("nutmegfield_suspicions_rejected_total").Inc()
	exchange.Events.Record(eventSuspicionsRejected, timeline.Event{Detail: address + ": " + reason})
}

func encodeSuspect(suspect *quarantine.Suspect, now time.Time) *exchangepb.Suspect {
	message := &exchangepb.Suspect{
		Content: uint64(suspect.Trait), Depth: uint32(suspect.Depth), ServedBefore: suspect.ServedBefore,
	}
	for i, ending := range suspect.Endings {
		message.Targets = append(message.Targets, uint32(ending.Target))
		message.Ages = append(message.Ages, age(ending.At, now))
		if !ending.Certain {
			message.Uncertain |= 1 << i
		}
	}
	if !suspect.ClearedAt.IsZero() {
		message.ClearedAge = 1 + age(suspect.ClearedAt, now)
	}
	return message
}

// age returns the milliseconds since a time.
func age(at, now time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

func decodeSuspect(message *exchangepb.Suspect, now time.Time) (*quarantine.Suspect, error) {
	if message.GetDepth() > math.MaxUint8 {
		return nil, fmt.Errorf("suspect %x has the depth %d", message.GetContent(), message.GetDepth())
	}
	suspect := &quarantine.Suspect{
		Trait: quarantine.Trait(message.GetContent()), Depth: uint8(message.GetDepth()), ServedBefore: message.GetServedBefore(),
	}
	targets, ages := message.GetTargets(), message.GetAges()
	if len(targets) != len(ages) || len(targets) > maxReceivedEndings || len(targets) == 0 && message.GetClearedAge() == 0 {
		return nil, fmt.Errorf("suspect %s has %d targets and %d ages", suspect.Trait, len(targets), len(ages))
	}
	for i, target := range targets {
		elapsed := time.Duration(ages[i]) * time.Millisecond
		if elapsed > maxSuspicionAge {
			return nil, fmt.Errorf("suspect %s has an ending %s ago", suspect.Trait, elapsed)
		}
		suspect.Endings = append(suspect.Endings, quarantine.Ending{
			Target: quarantine.Incarnation(target), At: now.Add(-elapsed), Certain: message.GetUncertain()&(1<<i) == 0,
		})
	}
	if clearedAge := message.GetClearedAge(); clearedAge > 0 {
		suspect.ClearedAt = now.Add(-time.Duration(clearedAge-1) * time.Millisecond)
	}
	if slices.Sort(targets); len(slices.Compact(targets)) != len(ages) {
		return nil, fmt.Errorf("suspect %s has a target twice", suspect.Trait)
	}
	return suspect, nil
}
