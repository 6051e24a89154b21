package once

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegfield.example/once/oncepb"
	"nutmegfield.example/request"
)

// encodeSegment returns a segment as an object's value.
func encodeSegment(segment *oncepb.Segment) ([]byte, error) {
	value, err := proto.Marshal(segment)
	if err != nil {
		return nil, fmt.Errorf("encode segment: %w", err)
	}
	return value, nil
}

// decodeSegment reads a segment. It fails on a malformed entry: skipping the
// entry could let a request run twice.
func decodeSegment(value []byte) (*oncepb.Segment, error) {
	segment := &oncepb.Segment{}
	if err := proto.Unmarshal(value, segment); err != nil {
		return nil, Unavailable.Wrap(err, "decode segment")
	}
	for _, entry := range segment.GetEntries() {
		if err := validateEntry(entry); err != nil {
			return nil, err
		}
	}
	return segment, nil
}

func validateEntry(entry *oncepb.Entry) error {
	state := State(entry.GetState())
	switch {
	case len(entry.GetKey()) != len(Key{}):
		return Unavailable.New("entry has a key of %d bytes", len(entry.GetKey()))
	case len(entry.GetRequest()) != len(request.ID{}):
		return Unavailable.New("entry has a request ID of %d bytes", len(entry.GetRequest()))
	case state < Running || state > Released:
		return Unavailable.New("entry has invalid state %d", entry.GetState())
	}
	for _, raw := range entry.GetReturned() {
		if len(raw) != len(request.ID{}) {
			return Unavailable.New("entry has a released request ID of %d bytes", len(raw))
		}
	}
	return nil
}

// EncodeRecord encodes a record for another host.
func EncodeRecord(key Key, record Record) ([]byte, error) {
	value, err := proto.Marshal(toEntry(key, record))
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return value, nil
}

// DecodeRecord decodes a record that EncodeRecord encoded. It fails with
// Unavailable if the record is malformed.
func DecodeRecord(value []byte) (Key, Record, error) {
	entry := &oncepb.Entry{}
	if err := proto.Unmarshal(value, entry); err != nil {
		return Key{}, Record{}, Unavailable.Wrap(err, "decode record")
	}
	if err := validateEntry(entry); err != nil {
		return Key{}, Record{}, err
	}
	return Key(entry.GetKey()), toRecord(entry), nil
}

func toEntry(key Key, record Record) *oncepb.Entry {
	entry := &oncepb.Entry{
		Key:       key[:],
		Request:   record.Request[:],
		Host:      record.Host,
		Body:      record.BodyHash[:],
		State:     uint32(record.State),
		Made:      record.CreatedAt.Unix(),
		Status:    int32(record.Status),
		Type:      record.ContentType,
		Answer:    record.Answer,
		Outcome:   string(record.Outcome),
		Truncated: record.AnswerOmitted,
	}
	for _, id := range record.Released {
		entry.Returned = append(entry.Returned, id[:])
	}
	return entry
}

func toRecord(entry *oncepb.Entry) Record {
	record := Record{
		Request:       request.ID(entry.GetRequest()),
		Host:          entry.GetHost(),
		State:         State(entry.GetState()),
		CreatedAt:     time.Unix(entry.GetMade(), 0),
		Status:        int(entry.GetStatus()),
		ContentType:   entry.GetType(),
		Answer:        entry.GetAnswer(),
		Outcome:       request.Outcome(entry.GetOutcome()),
		AnswerOmitted: entry.GetTruncated(),
	}
	copy(record.BodyHash[:], entry.GetBody())
	for _, raw := range entry.GetReturned() {
		record.Released = append(record.Released, request.ID(raw))
	}
	return record
}
