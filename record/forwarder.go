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
	// keeperTimeout is how long a keeper on another host may take before the
	// entry host writes the record itself.
	keeperTimeout = 500 * time.Millisecond
	// serveTimeout bounds the work for another host.
	serveTimeout = 5 * time.Second
)

var calls = expvar.NewMap("recordCalls")

// The results in a reply.
const (
	resultOther uint32 = iota + 1
	resultMine
	resultNone
)

// Keeper asks the keepers of the ranges, and is one for the other hosts.
// Fields are set before use.
type Keeper struct {
	Members *peer.Members
	Store   *once.Store
	// Send passes an envelope to a host.
	Send func(host string, envelope *peerpb.Envelope)

	mutex   sync.Mutex
	number  uint64
	waiting map[uint64]chan *peerpb.RecordReply
}

// Remote asks the keeper of a range; it is once.Store's seam.
func (keeper *Keeper) Remote(ctx context.Context, index int, action once.Action, key once.Key, record once.Record) (once.Claim, once.RemoteResult) {
	host, ok := keeper.host(index)
	if !ok || host.ID == keeper.Members.Self.ID {
		return once.Claim{}, once.NotAsked
	}
	text, err := once.EncodeRecord(key, asRunning(record))
	if err != nil {
		return once.Claim{}, once.NotAsked
	}
	number, reply := keeper.expect()
	defer keeper.forget(number)
	calls.Add("sent", 1)
	keeper.Send(host.ID, &peerpb.Envelope{RecordCalls: []*peerpb.RecordCall{{
		Number: number, Key: key[:], Text: text, Action: uint32(action),
	}}})
	return keeper.await(ctx, reply)
}

// Receive takes the envelopes of the other hosts.
func (keeper *Keeper) Receive(from string, envelope *peerpb.Envelope) {
	for _, call := range envelope.GetRecordCalls() {
		go keeper.serve(from, call)
	}
	for _, reply := range envelope.GetRecordReplies() {
		keeper.resolve(reply)
	}
}

// host returns the keeper of a range: one host of all zones.
func (keeper *Keeper) host(index int) (peer.Host, bool) {
	return keeper.Members.View().ResponsibleOverall("records/" + strconv.Itoa(index))
}

func (keeper *Keeper) serve(from string, call *peerpb.RecordCall) {
	key, record, err := once.DecodeRecord(call.GetText())
	if err != nil {
		calls.Add("refused", 1)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	calls.Add("served", 1)
	claim, err := keeper.Store.Serve(ctx, once.Action(call.GetAction()), key, record)
	if err != nil {
		// Without an answer the entry host asks the platform itself.
		return
	}
	reply, err := replyOf(call.GetNumber(), key, claim)
	if err != nil {
		return
	}
	keeper.Send(from, &peerpb.Envelope{RecordReplies: []*peerpb.RecordReply{reply}})
}

func replyOf(number uint64, key once.Key, claim once.Claim) (*peerpb.RecordReply, error) {
	if claim.Record.State == 0 {
		return &peerpb.RecordReply{Number: number, Result: resultNone}, nil
	}
	text, err := once.EncodeRecord(key, claim.Record)
	if err != nil {
		return nil, err
	}
	result := resultOther
	if claim.Granted {
		result = resultMine
	}
	return &peerpb.RecordReply{Number: number, Result: result, Text: text}, nil
}

func (keeper *Keeper) await(ctx context.Context, replies <-chan *peerpb.RecordReply) (once.Claim, once.RemoteResult) {
	timer := time.NewTimer(keeperTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return claimOf(reply)
	case <-timer.C:
	case <-ctx.Done():
	}
	calls.Add("timedOut", 1)
	return once.Claim{}, once.NoAnswer
}

func claimOf(reply *peerpb.RecordReply) (once.Claim, once.RemoteResult) {
	if reply.GetResult() == resultNone {
		return once.Claim{}, once.Answered
	}
	_, record, err := once.DecodeRecord(reply.GetText())
	if err != nil {
		return once.Claim{}, once.NoAnswer
	}
	return once.Claim{Granted: reply.GetResult() == resultMine, Record: record}, once.Answered
}

func (keeper *Keeper) expect() (uint64, <-chan *peerpb.RecordReply) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.waiting == nil {
		keeper.waiting = map[uint64]chan *peerpb.RecordReply{}
	}
	keeper.number++
	reply := make(chan *peerpb.RecordReply, 1)
	keeper.waiting[keeper.number] = reply
	return keeper.number, reply
}

func (keeper *Keeper) forget(number uint64) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	delete(keeper.waiting, number)
}

func (keeper *Keeper) resolve(reply *peerpb.RecordReply) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if waiting := keeper.waiting[reply.GetNumber()]; waiting != nil {
		delete(keeper.waiting, reply.GetNumber())
		waiting <- reply
	}
}

// asRunning gives a record that is only looked up a state that travels.
func asRunning(record once.Record) once.Record {
	if record.State == 0 {
		record.State = once.Running
	}
	return record
}
