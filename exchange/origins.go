package exchange

import (
	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/balance"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/origin"
	"nutmegfield.example/timeline"
)

const (
	// The first byte of a datagram about the versions that began streams. No report begins
	// with it, as no field has the number 0.
	originsMarker = 3
	// maxOriginItems is the number of beginnings in a datagram.
	maxOriginItems = 64
	// Bounds what is accepted from other hosts.
	maxReceivedOriginItems = 4 * maxOriginItems
	// maxSavedVersions is the number of versions of a history whose write other hosts are told of,
	// maxSavedMarks that of marks.
	maxSavedVersions = 8192
	maxSavedMarks    = 256
)

var eventOriginsRejected = timeline.Define(timeline.Kind{
	Number: 6108, Name: "message about streams rejected", Level: timeline.Warn,
	Meaning: "A datagram about the versions that began streams, from the address in the detail, was invalid, or came from a host that sends no reports; it is ignored.",
	Action:  "if it continues, look for a host of another release, or for another sender",
})

// SendOrigins sends a message about streams to a host, in as many datagrams as it needs.
func (exchange *Exchange) SendOrigins(address string, message *origin.Message) {
	beginnings, questions, answers, records := message.Beginnings, message.Questions, message.Answers, message.Records
	saved := encodeSaved(message.Saved)
	for saved != nil || len(beginnings)+len(questions)+len(answers)+len(records) > 0 {
		encoded := &exchangepb.Origins{Address: exchange.Address, Saved: saved}
		saved = nil
		for ; len(beginnings) > 0 && len(encoded.GetBeginnings()) < maxOriginItems; beginnings = beginnings[1:] {
			encoded.Beginnings = append(encoded.Beginnings, &exchangepb.Beginning{
				Stream: uint64(beginnings[0].Stream), Version: uint32(beginnings[0].Version),
			})
		}
		for ; len(questions) > 0 && len(encoded.GetQuestions()) < maxOriginItems; questions = questions[1:] {
			encoded.Questions = append(encoded.Questions, &exchangepb.OriginQuestion{
				Stream: uint64(questions[0].Stream), Pool: questions[0].Pool,
			})
		}
		for ; len(answers) > 0 && len(encoded.GetAnswers()) < maxOriginItems; answers = answers[1:] {
			encoded.Answers = append(encoded.Answers, encodeOriginAnswer(&answers[0]))
		}
		for ; len(records) > 0 && len(encoded.GetRecords()) < maxOriginItems; records = records[1:] {
			encoded.Records = append(encoded.Records, &exchangepb.Beginning{
				Stream: uint64(records[0].Stream), Version: uint32(records[0].Version),
			})
		}
		datagram, err := proto.MarshalOptions{}.MarshalAppend([]byte{originsMarker}, encoded)
		if err != nil {
			// Only text that isn't valid UTF-8 can't be encoded; such a question is lost.
			return
		}
		metrics.GetOrCreateCounter("nutmegfield_origin_bytes_total").Add(len(datagram) + datagramOverhead)
		exchange.Send(address, datagram)
	}
}

// receiveOrigins applies a datagram about streams without its marker, if it is valid and
// comes from a live peer. Questions of others are answered, too: a host that has just started
// may not be heard by all.
func (exchange *Exchange) receiveOrigins(encoded []byte) {
	message := &exchangepb.Origins{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		exchange.rejectOrigins("", err.Error())
		return
	}
	switch {
	case exchange.livePeer(message.GetAddress()) == "" && (message.GetSaved() != nil || len(message.GetBeginnings())+len(message.GetAnswers())+len(message.GetRecords()) > 0):
		exchange.rejectOrigins(message.GetAddress(), "not a live host")
	case len(message.GetBeginnings())+len(message.GetQuestions())+len(message.GetAnswers())+len(message.GetRecords()) > maxReceivedOriginItems,
		len(message.GetSaved().GetVersions()) > maxSavedVersions, len(message.GetSaved().GetMarks()) > maxSavedMarks:
		exchange.rejectOrigins(message.GetAddress(), "too many items")
	default:
		exchange.Origins.Receive(message.GetAddress(), decodeOrigins(message))
	}
}

func (exchange *Exchange) rejectOrigins(address, reason string) {
	metrics.GetOrCreateCounter("nutmegfield_origin_messages_rejected_total").Inc()
	exchange.Events.Record(eventOriginsRejected, timeline.Event{Detail: address + ": " + reason})
}

func encodeOriginAnswer(answer *origin.Answer) *exchangepb.OriginAnswer {
	return &exchangepb.OriginAnswer{
		Stream: uint64(answer.Stream), Version: uint32(answer.Version), Only: uint32(answer.Pool.Only),
		Mixed: answer.Pool.IsMixed, Established: answer.Pool.IsEstablished, HasRead: answer.HasRead,
	}
}

// encodeSaved returns nil if there is nothing to tell, or too much: other hosts write, too, then.
func encodeSaved(saved *origin.Saved) *exchangepb.Saved {
	if saved == nil || len(saved.Versions) > maxSavedVersions || len(saved.Marks) > maxSavedMarks {
		return nil
	}
	encoded := &exchangepb.Saved{Era: saved.Era, Since: saved.Since, HasEarlier: saved.HasEarlier, Marks: saved.Marks}
	for _, version := range saved.Versions {
		encoded.Versions = append(encoded.Versions, uint32(version))
	}
	return encoded
}

func decodeSaved(encoded *exchangepb.Saved) *origin.Saved {
	if encoded == nil {
		return nil
	}
	saved := &origin.Saved{Era: encoded.GetEra(), Since: encoded.GetSince(), HasEarlier: encoded.GetHasEarlier(), Marks: encoded.GetMarks()}
	for _, version := range encoded.GetVersions() {
		saved.Versions = append(saved.Versions, balance.VersionID(version))
	}
	return saved
}

func decodeOrigins(message *exchangepb.Origins) *origin.Message {
	decoded := &origin.Message{Saved: decodeSaved(message.GetSaved())}
	for _, beginning := range message.GetBeginnings() {
		decoded.Beginnings = append(decoded.Beginnings, origin.Beginning{
			Stream: origin.Stream(beginning.GetStream()), Version: balance.VersionID(beginning.GetVersion()),
		})
	}
	for _, beginning := range message.GetRecords() {
		decoded.Records = append(decoded.Records, origin.Beginning{
			Stream: origin.Stream(beginning.GetStream()), Version: balance.VersionID(beginning.GetVersion()),
		})
	}
	for _, question := range message.GetQuestions() {
		decoded.Questions = append(decoded.Questions, origin.Question{
			Stream: origin.Stream(question.GetStream()), Pool: question.GetPool(),
		})
	}
	for _, answer := range message.GetAnswers() {
		decoded.Answers = append(decoded.Answers, origin.Answer{
			Stream: origin.Stream(answer.GetStream()), Version: balance.VersionID(answer.GetVersion()), HasRead: answer.GetHasRead(),
			Pool: origin.PoolState{
				Only: balance.VersionID(answer.GetOnly()), IsMixed: answer.GetMixed(), IsEstablished: answer.GetEstablished(),
			},
		})
	}
	return decoded
}
