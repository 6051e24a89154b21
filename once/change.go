package once

import (
	"slices"
	"time"

	"nutmegfield.example/once/oncepb"
	"nutmegfield.example/request"
)

// Action is a change asked of a record.
type Action uint8

// The actions.
const (
	// ActionClaim asks for the right to run.
	ActionClaim Action = iota + 1
	// ActionEnd keeps the answer of a request that ran.
	ActionEnd
	// ActionReturn gives the right back, unused.
	ActionReturn
	// ActionLook only asks for the present record.
	ActionLook
)

// decide says what an action does to the present entry of its key: the
// result, and the entry to write, nil for no change.
func decide(action Action, present *oncepb.Entry, key Key, record Record, now time.Time, retention time.Duration) (Claim, *oncepb.Entry) {
	if present != nil && now.Sub(time.Unix(present.GetMade(), 0)) > retention {
		present = nil
	}
	switch action {
	case ActionClaim:
		return decideClaim(present, key, record)
	case ActionEnd:
		return decideEnd(present, key, record)
	case ActionReturn:
		return decideReturn(present, key, record)
	default:
		return Claim{Record: presentRecord(present)}, nil
	}
}

func decideClaim(present *oncepb.Entry, key Key, record Record) (Claim, *oncepb.Entry) {
	record.State = Running
	mine := Claim{Granted: true, Record: record}
	if present == nil {
		return mine, entryOf(key, record)
	}
	held := recordOf(present)
	own := held.Request == record.Request
	switch {
	case own && held.State == Running:
		return mine, nil
	case slices.Contains(held.Returned, record.Request):
		return Claim{Record: held}, nil
	case !own && held.State == Returned:
		record.Returned = lastReturned(append(held.Returned, held.Request))
		mine.Record = record
		return mine, entryOf(key, record)
	default:
		return Claim{Record: held}, nil
	}
}

func decideEnd(present *oncepb.Entry, key Key, record Record) (Claim, *oncepb.Entry) {
	record.State = Ended
	ended := Claim{Granted: true, Record: record}
	if present == nil {
		return ended, entryOf(key, record)
	}
	held := recordOf(present)
	if held.Request != record.Request {
		return Claim{Record: held}, nil
	}
	if held.State == Ended {
		return Claim{Granted: true, Record: held}, nil
	}
	record.Returned = held.Returned
	ended.Record = record
	return ended, entryOf(key, record)
}

func decideReturn(present *oncepb.Entry, key Key, record Record) (Claim, *oncepb.Entry) {
	record.State = Returned
	returned := Claim{Granted: true, Record: record}
	if present == nil {
		// A claim that is still on its way must find the word against it.
		return returned, entryOf(key, record)
	}
	held := recordOf(present)
	switch {
	case held.Request != record.Request:
		return refuseLater(held, key, record)
	case held.State == Running:
		record.Returned = held.Returned
		returned.Record = record
		return returned, entryOf(key, record)
	default:
		return Claim{Granted: held.State == Returned, Record: held}, nil
	}
}

// refuseLater notes on another request's record that a claim which may still
// be on its way must not take the key.
func refuseLater(held Record, key Key, record Record) (Claim, *oncepb.Entry) {
	if slices.Contains(held.Returned, record.Request) {
		return Claim{Record: held}, nil
	}
	held.Returned = lastReturned(append(held.Returned, record.Request))
	return Claim{Record: held}, entryOf(key, held)
}

// lastReturned bounds what an entry keeps of the requests before it.
func lastReturned(ids []request.ID) []request.ID {
	const most = 16
	return ids[max(0, len(ids)-most):]
}

func presentRecord(present *oncepb.Entry) Record {
	if present == nil {
		return Record{}
	}
	return recordOf(present)
}
