package exchange

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/balance"
	"nutmegfield.example/exchange/rolloutspb"
	"nutmegfield.example/rollout"
	"nutmegfield.example/timeline"
)

const (
	// The first byte of a datagram about rollouts. No report begins with it, as no field has
	// the number 0; hosts of earlier builds take it for no message of theirs.
	rolloutsMarker = 5
	// Bounds what is accepted from other hosts. maxReceivedRollouts limits the reports and
	// instructions in a datagram, maxReceivedCells the cells of a report, and
	// maxReceivedRoutes the routes of an instruction.
	maxReceivedRollouts = 256
	maxReceivedCells    = 1024
	maxReceivedRoutes   = 64
	// maxReceivedTime limits the times of rollouts.
	maxReceivedTime = 48 * time.Hour
)

var eventRolloutsRejected = timeline.Define(timeline.Kind{
	Number: 1160, Name: "message about rollouts rejected", Level: timeline.Warn,
	Meaning: "A datagram about rollouts from the address in the detail was invalid, or came from a host that sends no reports; it is ignored.",
	Action:  "if it continues, look for a host of another release, or for another sender",
})

// order is the order of the hosts that are heard, with this one.
type order struct {
	// all and zone are the addresses of all hosts and of those of this host's zone.
	all, zone []string
	// isQuorate is the result of IsQuorate.
	isQuorate bool
}

// Order returns the addresses of the hosts that are not silent, with this one, in the order of
// all. Hosts may disagree on it until they have received the same reports.
func (exchange *Exchange) Order() []string {
	if order := exchange.order.Load(); order != nil {
		return order.all
	}
	return []string{exchange.Address}
}

// ZoneOrder is Order for the hosts of this host's zone.
func (exchange *Exchange) ZoneOrder() []string {
	if order := exchange.order.Load(); order != nil {
		return order.zone
	}
	return []string{exchange.Address}
}

// IsQuorate reports whether no other part of the hosts can be so, too: this host hears more
// than half of those that may run, or half with the first of them by address.
func (exchange *Exchange) IsQuorate() bool {
	order := exchange.order.Load()
	return order == nil || order.isQuorate
}

// updateOrder updates the order of the hosts. The hosts are sorted, own is this one.
func (exchange *Exchange) updateOrder(hosts []*peer, own *peer, known int) {
	addresses := map[*peer]string{own: exchange.Address}
	first := exchange.Address
	now := time.Now()
	for address, peer := range exchange.peers {
		addresses[peer] = address
		if peer.mayRun(now) && address < first {
			first = address
		}
	}
	order := &order{isQuorate: 2*len(hosts) > known}
	for _, host := range hosts {
		order.all = append(order.all, addresses[host])
		if host.zone == exchange.Zone {
			order.zone = append(order.zone, addresses[host])
		}
		order.isQuorate = order.isQuorate || 2*len(hosts) == known && addresses[host] == first
	}
	exchange.order.Store(order)
}

// SendRollouts sends a message about rollouts to a host.
func (exchange *Exchange) SendRollouts(address string, message *rollout.Message) {
	encoded := &rolloutspb.Message{
		Address: exchange.Address, Decider: message.Decider, Question: message.Question,
	}
	for i := range message.Reports {
		encoded.Reports = append(encoded.Reports, encodeRolloutReport(&message.Reports[i]))
	}
	for i := range message.Instructions {
		encoded.Instructions = append(encoded.Instructions, encodeInstruction(&message.Instructions[i]))
	}
	if message.Knowledge != nil {
		encoded.Knowledge = &rolloutspb.Knowledge{Revision: message.Knowledge.Revision}
		for _, order := range message.Knowledge.Orders {
			encoded.Knowledge.Orders = append(encoded.Knowledge.Orders, &rolloutspb.KnownOrder{Pool: order.Pool, Version: uint32(order.Version)})
		}
	}
	datagram, err := proto.MarshalOptions{}.MarshalAppend([]byte{rolloutsMarker}, encoded)
	if err != nil {
		// Only text that isn't valid UTF-8 can't be encoded, and names are checked before.
		return
	}
	metrics.GetOrCreateCounter("nutmegfield_rollout_bytes_total").Add(len(datagram) + datagramOverhead)
	exchange.Send(address, datagram)
}

// receiveRollouts applies a datagram about rollouts without its marker, if it is valid and comes
// from a live peer.
func (exchange *Exchange) receiveRollouts(encoded []byte) {
	if exchange.Rollouts == nil {
		return
	}
	message := &rolloutspb.Message{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		exchange.rejectRollouts("", err.Error())
		return
	}
	if exchange.livePeer(message.GetAddress()) == "" {
		exchange.rejectRollouts(message.GetAddress(), "not a live host")
		return
	}
	decoded, reason := decodeRollouts(message)
	if reason != "" {
		exchange.rejectRollouts(message.GetAddress(), reason)
		return
	}
	exchange.Rollouts.Receive(message.GetAddress(), decoded)
}

func (exchange *Exchange) rejectRollouts(address, reason string) {
	metrics.GetOrCreateCounter("nutmegfield_rollout_messages_rejected_total").Inc()
	exchange.Events.Record(eventRolloutsRejected, timeline.Event{Detail: address + ": " + reason})
}

func encodeRolloutReport(report *rollout.Report) *rolloutspb.Report {
	encoded := &rolloutspb.Report{
		Rollout: report.Rollout, Life: report.Incarnation, Acknowledged: report.Acknowledged,
		Requests: report.Requests, Sent: report.Sent, RunningOld: uint32(max(0, report.RunningOld)),
	}
	for i := range report.Cells {
		cell := &report.Cells[i]
		encoded.Cells = append(encoded.Cells, &rolloutspb.Cell{
			Route: cell.Route, Target: cell.Target, Far: cell.IsFar, Answers: cell.Answers, Failures: cell.Failures,
			First: encodeBins(cell.First), Gap: encodeBins(cell.Gap), Took: encodeBins(cell.Took),
		})
	}
	return encoded
}

// encodeBins returns the bins as pairs of the number of buckets since the previous bin and of
// the count.
func encodeBins(bins []rollout.Bin) []uint32 {
	encoded := make([]uint32, 0, 2*len(bins))
	previous := uint8(0)
	for _, bin := range bins {
		encoded = append(encoded, uint32(bin.Bucket-previous), bin.Count)
		previous = bin.Bucket
	}
	return encoded
}

// decodeBins returns the bins of pairs, false if a bucket is out of range.
func decodeBins(encoded []uint32) ([]rollout.Bin, bool) {
	if len(encoded)%2 != 0 || len(encoded) > 2*rollout.Buckets {
		return nil, false
	}
	bucket := uint32(0)
	var bins []rollout.Bin
	for i := 0; i < len(encoded); i += 2 {
		if encoded[i] >= rollout.Buckets || i > 0 && encoded[i] == 0 {
			return nil, false
		}
		if bucket += encoded[i]; bucket >= rollout.Buckets {
			return nil, false
		}
		bins = append(bins, rollout.Bin{Bucket: uint8(bucket), Count: encoded[i+1]})
	}
	return bins, true
}

func encodeInstruction(instruction *rollout.Instruction) *rolloutspb.Instruction {
	encoded := &rolloutspb.Instruction{
		Rollout: instruction.Rollout, Pool: instruction.Pool, Version: instruction.Version,
		Sequence: instruction.Sequence, Stage: uint32(instruction.Stage), Share: float32(instruction.Share),
		AgeMs: uint64(max(0, instruction.Age.Milliseconds())), DurationMs: uint64(max(0, instruction.Duration.Milliseconds())),
		FocusIndex: uint32(max(0, instruction.FocusIndex)), FocusCount: uint32(max(0, instruction.FocusCount)),
		Requests: instruction.Requests, Sent: instruction.Sent, Life: instruction.Incarnation, Answers: instruction.Answers,
	}
	for _, route := range instruction.Routes {
		encoded.Routes = append(encoded.Routes, &rolloutspb.RouteInstruction{
			Route: route.Route, Share: float32(route.Share),
			LeadMs: uint32(route.Lead.Milliseconds()), SlowMs: uint32(route.SlowAfter.Milliseconds()),
		})
	}
	return encoded
}

// decodeRollouts returns the message in a datagram, or the reason why it can't be applied.
func decodeRollouts(message *rolloutspb.Message) (decoded *rollout.Message, reason string) {
	decoded = &rollout.Message{Decider: message.GetDecider(), Question: message.GetQuestion()}
	switch {
	case len(message.GetReports()) > maxReceivedRollouts || len(message.GetInstructions()) > maxReceivedRollouts ||
		len(message.GetKnowledge().GetOrders()) > maxReceivedRollouts:
		return nil, "too many items"
	case message.GetDecider() != "" && !isName(message.GetDecider()) || len(message.GetInstructions()) > 0 && message.GetDecider() == "":
		return nil, "decider"
	case message.GetQuestion() < 0 || message.GetKnowledge().GetRevision() < 0:
		return nil, "revision"
	}
	for _, report := range message.GetReports() {
		item, ok := decodeRolloutReport(report)
		if !ok {
			return nil, "report"
		}
		decoded.Reports = append(decoded.Reports, item)
	}
	for _, instruction := range message.GetInstructions() {
		item, ok := decodeInstruction(instruction)
		if !ok {
			return nil, "instruction"
		}
		decoded.Instructions = append(decoded.Instructions, item)
	}
	if knowledge := message.GetKnowledge(); knowledge != nil {
		decoded.Knowledge = &rollout.Knowledge{Revision: knowledge.GetRevision()}
		for _, order := range knowledge.GetOrders() {
			if !isName(order.GetPool()) || order.GetVersion() == 0 {
				return nil, "order"
			}
			decoded.Knowledge.Orders = append(decoded.Knowledge.Orders, rollout.KnownOrder{Pool: order.GetPool(), Version: balance.VersionID(order.GetVersion())})
		}
	}
	return decoded, ""
}

func decodeRolloutReport(report *rolloutspb.Report) (decoded rollout.Report, ok bool) {
	decoded = rollout.Report{
		Rollout: report.GetRollout(), Incarnation: report.GetLife(), Acknowledged: report.GetAcknowledged(),
		Requests: report.GetRequests(), Sent: report.GetSent(), RunningOld: int(report.GetRunningOld()),
	}
	if max(report.GetLife(), report.GetAcknowledged(), report.GetRequests(), report.GetSent()) > maxReceivedNumber ||
		report.GetRunningOld() > maxSummedInFlight || len(report.GetCells()) > maxReceivedCells {
		return decoded, false
	}
	for _, cell := range report.GetCells() {
		item := rollout.Cell{
			Key:     rollout.Key{Route: cell.GetRoute(), Target: cell.GetTarget(), IsFar: cell.GetFar()},
			Answers: cell.GetAnswers(), Failures: cell.GetFailures(),
		}
		var hasFirst, hasGap, hasTook bool
		item.First, hasFirst = decodeBins(cell.GetFirst())
		item.Gap, hasGap = decodeBins(cell.GetGap())
		item.Took, hasTook = decodeBins(cell.GetTook())
		if !hasFirst || !hasGap || !hasTook || cell.GetFailures() > cell.GetAnswers() {
			return decoded, false
		}
		decoded.Cells = append(decoded.Cells, item)
	}
	return decoded, true
}

func decodeInstruction(instruction *rolloutspb.Instruction) (decoded rollout.Instruction, ok bool) {
	const maxMilliseconds = uint64(maxReceivedTime / time.Millisecond)
	if !isName(instruction.GetPool()) || !isName(instruction.GetVersion()) || instruction.GetRollout() == 0 ||
		!isShare(instruction.GetShare()) || instruction.GetStage() >= rollout.Stages ||
		max(instruction.GetSequence(), instruction.GetRequests(), instruction.GetSent(), instruction.GetLife(), instruction.GetAnswers()) > maxReceivedNumber ||
		max(instruction.GetAgeMs(), instruction.GetDurationMs()) > maxMilliseconds ||
		max(instruction.GetFocusIndex(), instruction.GetFocusCount()) > math.MaxUint16 || len(instruction.GetRoutes()) > maxReceivedRoutes {
		return decoded, false
	}
	decoded = rollout.Instruction{
		Rollout: instruction.GetRollout(), Pool: instruction.GetPool(), Version: instruction.GetVersion(),
		Sequence: instruction.GetSequence(), Stage: rollout.Stage(instruction.GetStage()), Share: float64(instruction.GetShare()),
		Age: time.Duration(instruction.GetAgeMs()) * time.Millisecond, Duration: time.Duration(instruction.GetDurationMs()) * time.Millisecond,
		FocusIndex: int(instruction.GetFocusIndex()), FocusCount: int(instruction.GetFocusCount()),
		Requests: instruction.GetRequests(), Sent: instruction.GetSent(), Incarnation: instruction.GetLife(), Answers: instruction.GetAnswers(),
	}
	for _, route := range instruction.GetRoutes() {
		if !isShare(route.GetShare()) || uint64(max(route.GetLeadMs(), route.GetSlowMs())) > maxMilliseconds {
			return decoded, false
		}
		decoded.Routes = append(decoded.Routes, rollout.RouteInstruction{
			Route: route.GetRoute(), Share: float64(route.GetShare()),
			Lead: time.Duration(route.GetLeadMs()) * time.Millisecond, SlowAfter: time.Duration(route.GetSlowMs()) * time.Millisecond,
		})
	}
	return decoded, true
}

// isShare reports whether a number is a part of all; a comparison with one that isn't a number
// is false.
func isShare(share float32) bool { return share >= 0 && share <= 1 }
