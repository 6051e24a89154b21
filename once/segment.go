package once

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"time"

	"nutmegfield.example/once/oncepb"
)

const (
	// sealBytes is the size at which a head is sealed off: each change writes
	// the whole head.
	sealBytes = 8 << 10
	// mergeCount is how many sealed segments of a level are merged into one
	// of the next.
	mergeCount = 4
	// topLevel is the level at which segments stay as they are, so that none
	// comes near the platform's largest object.
	topLevel = 3
	// mergeBytes is the largest segment that a merge makes.
	mergeBytes = 768 << 10
)

// load reads the head and those sealed segments that are not known yet.
func (records *KeyRange) load(ctx context.Context) error {
	if records.loaded {
		return nil
	}
	begun := time.Now()
	object, err := records.Read(ctx, records.Name)
	if err != nil && !Is(err, NotFound) {
		return fmt.Errorf("read the head: %w", err)
	}
	head := &oncepb.Segment{}
	if err == nil {
		if head, err = decode(object.Value); err != nil {
			return err
		}
	}
	segments, err := records.readSealed(ctx, head)
	if err != nil {
		return err
	}
	records.version = object.Version
	records.head = head
	records.doomed = nil
	records.index(segments)
	records.loaded = true
	records.confirmed = begun
	return nil
}

// readSealed reads the segments that a head lists. One may be gone because
// another writer merged it meanwhile: then the head has changed too, and the
// caller begins anew.
func (records *KeyRange) readSealed(ctx context.Context, head *oncepb.Segment) ([]*oncepb.Segment, error) {
	segments := make([]*oncepb.Segment, 0, len(head.GetSealed()))
	for _, sealed := range head.GetSealed() {
		object, err := records.Read(ctx, sealed.GetName())
		if err != nil {
			return nil, fmt.Errorf("read segment %s: %w", sealed.GetName(), err)
		}
		segment, err := decode(object.Value)
		if err != nil {
			return nil, err
		}
		segments = append(segments, segment)
	}
	return segments, nil
}

// index makes the lookups: later segments, and the head last, take the place
// of earlier ones.
func (records *KeyRange) index(segments []*oncepb.Segment) {
	records.present = map[Key]*oncepb.Entry{}
	records.inHead = map[Key]int{}
	for _, segment := range segments {
		for _, entry := range segment.GetEntries() {
			records.present[Key(entry.GetKey())] = entry
		}
	}
	for i, entry := range records.head.GetEntries() {
		key := Key(entry.GetKey())
		records.present[key] = entry
		records.inHead[key] = i
	}
}

// seal writes the head's entries as a segment of their own and merges where
// enough segments of a level stand at the end. The head that lists them is
// written afterwards; should that fail they are litter, not a fault.
func (records *KeyRange) seal(ctx context.Context) error {
	sealed, err := records.writeSegment(ctx, records.head.GetEntries(), 0)
	if err != nil {
		return err
	}
	head := &oncepb.Segment{Sealed: append(records.unexpired(), sealed)}
	for level := range uint32(topLevel) {
		if err := records.merge(ctx, head, level); err != nil {
			return err
		}
	}
	records.head = head
	records.inHead = map[Key]int{}
	return nil
}

// unexpired returns the head's segments less those past their retention,
// which are to be removed.
func (records *KeyRange) unexpired() []*oncepb.Sealed {
	oldest := time.Now().Add(-records.Retention()).Unix()
	var kept []*oncepb.Sealed
	for _, sealed := range records.head.GetSealed() {
		if sealed.GetNewest() < oldest {
			records.doomed = append(records.doomed, sealed.GetName())
			continue
		}
		kept = append(kept, sealed)
	}
	records.dropExpired(oldest)
	return kept
}

func (records *KeyRange) dropExpired(oldest int64) {
	for key, entry := range records.present {
		if entry.GetMade() < oldest {
			delete(records.present, key)
		}
	}
}

func (records *KeyRange) merge(ctx context.Context, head *oncepb.Segment, level uint32) error {
	first := len(head.GetSealed()) - mergeCount
	if first < 0 {
		return nil
	}
	group := head.GetSealed()[first:]
	bytes := uint32(0)
	for _, sealed := range group {
		bytes += sealed.GetBytes()
		if sealed.GetLevel() != level || bytes > mergeBytes {
			return nil
		}
	}
	entries, err := records.entriesOf(ctx, group)
	if err != nil {
		return err
	}
	merged, err := records.writeSegment(ctx, entries, level+1)
	if err != nil {
		return err
	}
	for _, sealed := range group {
		records.doomed = append(records.doomed, sealed.GetName())
	}
	head.Sealed = append(head.GetSealed()[:first:first], merged)
	return nil
}

// entriesOf reads segments and keeps the last entry of each key.
func (records *KeyRange) entriesOf(ctx context.Context, group []*oncepb.Sealed) ([]*oncepb.Entry, error) {
	var entries []*oncepb.Entry
	at := map[Key]int{}
	for _, sealed := range group {
		object, err := records.Read(ctx, sealed.GetName())
		if err != nil {
			return nil, fmt.Errorf("read segment %s: %w", sealed.GetName(), err)
		}
		segment, err := decode(object.Value)
		if err != nil {
			return nil, err
		}
		for _, entry := range segment.GetEntries() {
			key := Key(entry.GetKey())
			if i, ok := at[key]; ok {
				entries[i] = entry
				continue
			}
			at[key] = len(entries)
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

func (records *KeyRange) writeSegment(ctx context.Context, entries []*oncepb.Entry, level uint32) (*oncepb.Sealed, error) {
	value, err := encode(&oncepb.Segment{Entries: entries})
	if err != nil {
		return nil, err
	}
	sealed := &oncepb.Sealed{Name: records.segmentName(), Level: level, Bytes: uint32(len(value))}
	for _, entry := range entries {
		sealed.Newest = max(sealed.GetNewest(), entry.GetMade())
	}
	_, err = records.Write(ctx, Object{Name: sealed.GetName(), Value: value})
	if err != nil {
		return nil, fmt.Errorf("write segment: %w", err)
	}
	return sealed, nil
}

// segmentName is unique, so that two writers never mean the same segment.
func (records *KeyRange) segmentName() string {
	var name [8]byte
	for i := range name {
		name[i] = byte(rand.Uint32())
	}
	return records.Name + "-" + hex.EncodeToString(name[:])
}

// removeDoomed deletes the segments that the head no longer lists. One that
// can't be deleted is litter.
func (records *KeyRange) removeDoomed(ctx context.Context) {
	for _, name := range records.doomed {
		_ = records.Remove(ctx, name)
	}
	records.doomed = nil
}
