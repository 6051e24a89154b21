package record

import (
	"context"
	"expvar"
	"strconv"
	"sync"
	"time"

	"nutmegfield.example/once"
	"nutmegfield.example/peer"
	"nutmegfield.example/peer/peerpb"
)

const (
	// ownerTimeout is how long the owner of a range on another host may take
	// before the entry host writes the record itself.
	ownerTimeout = 500 * time.Millisecond
	// serveTimeout limits the processing of an action that another host
	// forwarded.
	serveTimeout = 5 * time.Second
)

var counts = expvar.NewMap("recordCalls")

// The results in a reply, as sent between hosts.
const (
	resultNotGranted uint32 = iota + 1
	resultGranted
	resultNoRecord
)

// Forwarder forwards actions on records to the hosts that own the key ranges,
// and performs those that other hosts forward. Each range has one owner over
// all zones, so that most writes of a range come from one host and can be
// grouped. Exported fields are set before use.
type Forwarder struct {
	Members *peer.Members
	Store   *once.Store
	// Send sends an envelope to the host with the given ID.
	Send func(host string, envelope *peerpb.Envelope)

	mutex          sync.Mutex
	lastCallNumber uint64
	pendingCalls   map[uint64]chan *peerpb.RecordReply
}

// Forward forwards an action to the owner of the range with the given index and
// waits up to ownerTimeout for its reply. It is used as once.Store.Forward.
func (forwarder *Forwarder) Forward(ctx context.Context, index int, action once.Action, key once.Key, record once.Record) (once.Result, once.RemoteStatus) {
	host, ok := forwarder.owner(index)
	if !ok || host.ID == forwarder.Members.Self.ID {
		return once.Result{}, once.NotForwarded
	}
	encoded, err := once.EncodeRecord(key, withValidState(record))
	if err != nil {
		return once.Result{}, once.NotForwarded
	}
	number, reply := forwarder.registerCall()
	defer forwarder.unregisterCall(number)
	counts.Add("sent", 1)
	forwarder.Send(host.ID, &peerpb.Envelope{RecordCalls: []*peerpb.RecordCall{{
		Number: number, Key: key[:], Text: encoded, Action: uint32(action),
	}}})
	return forwarder.awaitReply(ctx, reply)
}

// Receive processes the calls and replies in an envelope from the host with the
// given ID. Calls are served in the background.
func (forwarder *Forwarder) Receive(from string, envelope *peerpb.Envelope) {
	for _, call := range envelope.GetRecordCalls() {
		go forwarder.serve(from, call)
	}
	for _, reply := range envelope.GetRecordReplies() {
		forwarder.deliverReply(reply)
	}
}

// owner returns the host that owns a range, chosen from the hosts of all zones
// that are not leaving. It returns false if there is none.
func (forwarder *Forwarder) owner(index int) (peer.Host, bool) {
	return forwarder.Members.View().ResponsibleAcrossZones("records/" + strconv.Itoa(index))
}

func (forwarder *Forwarder) serve(from string, call *peerpb.RecordCall) {
	key, record, err := once.DecodeRecord(call.GetText())
	if err != nil {
		counts.Add("refused", 1)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	counts.Add("served", 1)
	result, err := forwarder.Store.Serve(ctx, once.Action(call.GetAction()), key, record)
	if err != nil {
		// Without a reply the entry host writes the record itself.
		return
	}
	reply, err := encodeReply(call.GetNumber(), key, result)
	if err != nil {
		return
	}
	forwarder.Send(from, &peerpb.Envelope{RecordReplies: []*peerpb.RecordReply{reply}})
}

func encodeReply(number uint64, key once.Key, result once.Result) (*peerpb.RecordReply, error) {
	if result.Record.State == 0 {
		return &peerpb.RecordReply{Number: number, Result: resultNoRecord}, nil
	}
	encoded, err := once.EncodeRecord(key, result.Record)
	if err != nil {
		return nil, err
	}
	code := resultNotGranted
	if result.Granted {
		code = resultGranted
	}
	return &peerpb.RecordReply{Number: number, Result: code, Text: encoded}, nil
}

// awaitReply waits for a reply until ownerTimeout has passed or the context
// ends.
func (forwarder *Forwarder) awaitReply(ctx context.Context, replies <-chan *peerpb.RecordReply) (once.Result, once.RemoteStatus) {
	timer := time.NewTimer(ownerTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return decodeReply(reply)
	case <-timer.C:
	case <-ctx.Done():
	}
	counts.Add("timedOut", 1)
	return once.Result{}, once.NoAnswer
}

func decodeReply(reply *peerpb.RecordReply) (once.Result, once.RemoteStatus) {
	if reply.GetResult() == resultNoRecord {
		return once.Result{}, once.Answered
	}
	_, record, err := once.DecodeRecord(reply.GetText())
	if err != nil {
		return once.Result{}, once.NoAnswer
	}
	return once.Result{Granted: reply.GetResult() == resultGranted, Record: record}, once.Answered
}

// registerCall returns the number of a new call and the channel that receives
// its reply.
func (forwarder *Forwarder) registerCall() (uint64, <-chan *peerpb.RecordReply) {
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	if forwarder.pendingCalls == nil {
		forwarder.pendingCalls = map[uint64]chan *peerpb.RecordReply{}
	}
	forwarder.lastCallNumber++
	reply := make(chan *peerpb.RecordReply, 1)
	forwarder.pendingCalls[forwarder.lastCallNumber] = reply
	return forwarder.lastCallNumber, reply
}

func (forwarder *Forwarder) unregisterCall(number uint64) {
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	delete(forwarder.pendingCalls, number)
}

func (forwarder *Forwarder) deliverReply(reply *peerpb.RecordReply) {
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	if waiting := forwarder.pendingCalls[reply.GetNumber()]; waiting != nil {
		delete(forwarder.pendingCalls, reply.GetNumber())
		waiting <- reply
	}
}

// withValidState sets a state on the empty record of a lookup, since
// once.DecodeRecord refuses a record without one.
func withValidState(record once.Record) once.Record {
	if record.State == 0 {
		record.State = once.Running
	}
	return record
}
