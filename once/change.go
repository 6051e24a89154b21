package once

import (
	"slices"
	"time"

	"nutmegfield.example/once/oncepb"
	"nutmegfield.example/request"
)

// Action is an operation on a record. The values are sent between hosts.
type Action uint8

// The actions.
const (
	// ActionClaim claims the key for a request.
	ActionClaim Action = iota + 1
	// ActionEnd marks a request as ended and stores its answer.
	ActionEnd
	// ActionRelease releases the claim of a request that did not run.
	ActionRelease
	// ActionLookup reads the record without changing it.
	ActionLookup
)

// decide applies an action to the current entry of its key, nil if there is
// none. It returns the result and the entry to write, nil if nothing changes.
// An entry older than the retention counts as none.
func decide(action Action, current *oncepb.Entry, key Key, record Record, now time.Time, retention time.Duration) (Result, *oncepb.Entry) {
	if current != nil && now.Sub(time.Unix(current.GetMade(), 0)) > retention {
		current = nil
	}
	switch action {
	case ActionClaim:
		return decideClaim(current, key, record)
	case ActionEnd:
		return decideEnd(current, key, record)
	case ActionRelease:
		return decideRelease(current, key, record)
	default:
		return Result{Record: currentRecord(current)}, nil
	}
}

func decideClaim(current *oncepb.Entry, key Key, record Record) (Result, *oncepb.Entry) {
	record.State = Running
	granted := Result{Granted: true, Record: record}
	if current == nil {
		return granted, toEntry(key, record)
	}
	stored := toRecord(current)
	own := stored.Request == record.Request
	switch {
	case own && stored.State == Running:
		return granted, nil
	case slices.Contains(stored.Released, record.Request):
		return Result{Record: stored}, nil
	case !own && stored.State == Released:
		record.Released = trimReleased(append(stored.Released, stored.Request))
		granted.Record = record
		return granted, toEntry(key, record)
	default:
		return Result{Record: stored}, nil
	}
}

func decideEnd(current *oncepb.Entry, key Key, record Record) (Result, *oncepb.Entry) {
	record.State = Ended
	ended := Result{Granted: true, Record: record}
	if current == nil {
		return ended, toEntry(key, record)
	}
	stored := toRecord(current)
	if stored.Request != record.Request {
		return Result{Record: stored}, nil
	}
	if stored.State == Ended {
		return Result{Granted: true, Record: stored}, nil
	}
	record.Released = stored.Released
	ended.Record = record
	return ended, toEntry(key, record)
}

func decideRelease(current *oncepb.Entry, key Key, record Record) (Result, *oncepb.Entry) {
	record.State = Released
	released := Result{Granted: true, Record: record}
	if current == nil {
		// Record the release, so that a claim that arrives later is refused.
		return released, toEntry(key, record)
	}
	stored := toRecord(current)
	switch {
	case stored.Request != record.Request:
		return refuseLateClaim(stored, key, record)
	case stored.State == Running:
		record.Released = stored.Released
		released.Record = record
		return released, toEntry(key, record)
	default:
		return Result{Granted: stored.State == Released, Record: stored}, nil
	}
}

// refuseLateClaim adds the request of record to the released requests of
// stored, the key's record by another request, so that a claim by it that
// arrives later is refused.
func refuseLateClaim(stored Record, key Key, record Record) (Result, *oncepb.Entry) {
	if slices.Contains(stored.Released, record.Request) {
		return Result{Record: stored}, nil
	}
	stored.Released = trimReleased(append(stored.Released, record.Request))
	return Result{Record: stored}, toEntry(key, stored)
}

// trimReleased returns the last maxReleased IDs; an entry stores no more.
func trimReleased(ids []request.ID) []request.ID {
	const maxReleased = 16
	return ids[max(0, len(ids)-maxReleased):]
}

func currentRecord(current *oncepb.Entry) Record {
	if current == nil {
		return Record{}
	}
	return toRecord(current)
}
