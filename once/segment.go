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
	// maxHeadBytes is the size above which a head is sealed. It is small
	// because each write contains the whole head.
	maxHeadBytes = 8 << 10
	// mergeFanIn is the number of segments of one level that are merged into
	// one of the next.
	mergeFanIn = 4
	// Segments of maxLevel are not merged further, so that none approaches the
	// platform's largest object.
	maxLevel = 3
	// maxMergeBytes limits the total size of segments that are merged.
	maxMergeBytes = 768 << 10
)

// load reads the head and its segments unless the cached head is valid.
func (keyRange *KeyRange) load(ctx context.Context) error {
	if keyRange.loaded {
		return nil
	}
	startedAt := time.Now()
	object, err := keyRange.Read(ctx, keyRange.Name)
	if err != nil && !Is(err, NotFound) {
		return fmt.Errorf("read the head: %w", err)
	}
	head := &oncepb.Segment{}
	if err == nil {
		if head, err = decodeSegment(object.Value); err != nil {
			return err
		}
	}
	segments, err := keyRange.readSealed(ctx, head)
	if err != nil {
		return err
	}
	keyRange.version = object.Version
	keyRange.head = head
	keyRange.obsolete = nil
	keyRange.buildIndex(segments)
	keyRange.loaded = true
	keyRange.confirmedAt = startedAt
	return nil
}

// readSealed reads the segments that a head lists. It fails with NotFound if
// another writer merged and removed one of them; the head has changed then
// too, and the caller reads it again.
func (keyRange *KeyRange) readSealed(ctx context.Context, head *oncepb.Segment) ([]*oncepb.Segment, error) {
	segments := make([]*oncepb.Segment, 0, len(head.GetSealed()))
	for _, sealed := range head.GetSealed() {
		object, err := keyRange.Read(ctx, sealed.GetName())
		if err != nil {
			return nil, fmt.Errorf("read segment %s: %w", sealed.GetName(), err)
		}
		segment, err := decodeSegment(object.Value)
		if err != nil {
			return nil, err
		}
		segments = append(segments, segment)
	}
	return segments, nil
}

// buildIndex indexes the entries of the segments and the head. Entries of
// later segments, and last those of the head, replace earlier ones of the same
// key.
func (keyRange *KeyRange) buildIndex(segments []*oncepb.Segment) {
	keyRange.entries = map[Key]*oncepb.Entry{}
	keyRange.headIndex = map[Key]int{}
	for _, segment := range segments {
		for _, entry := range segment.GetEntries() {
			keyRange.entries[Key(entry.GetKey())] = entry
		}
	}
	for i, entry := range keyRange.head.GetEntries() {
		key := Key(entry.GetKey())
		keyRange.entries[key] = entry
		keyRange.headIndex[key] = i
	}
}

// seal moves the head's entries to a new segment and, at each level, merges
// the last segments if there are mergeFanIn of them. The caller writes the new
// head. If that write fails, the new segments remain unreferenced, which is
// harmless.
func (keyRange *KeyRange) seal(ctx context.Context) error {
	sealed, err := keyRange.writeSegment(ctx, keyRange.head.GetEntries(), 0)
	if err != nil {
		return err
	}
	head := &oncepb.Segment{Sealed: append(keyRange.removeExpired(), sealed)}
	for level := range uint32(maxLevel) {
		if err := keyRange.merge(ctx, head, level); err != nil {
			return err
		}
	}
	keyRange.head = head
	keyRange.headIndex = map[Key]int{}
	return nil
}

// removeExpired returns the head's segments without those whose retention has
// passed; these become obsolete. It also drops expired entries from the cache.
func (keyRange *KeyRange) removeExpired() []*oncepb.Sealed {
	oldestUnix := time.Now().Add(-keyRange.Retention()).Unix()
	var kept []*oncepb.Sealed
	for _, sealed := range keyRange.head.GetSealed() {
		if sealed.GetNewest() < oldestUnix {
			keyRange.obsolete = append(keyRange.obsolete, sealed.GetName())
			continue
		}
		kept = append(kept, sealed)
	}
	keyRange.removeExpiredEntries(oldestUnix)
	return kept
}

// removeExpiredEntries removes the entries created before oldestUnix, in
// seconds since 1970, from the cache.
func (keyRange *KeyRange) removeExpiredEntries(oldestUnix int64) {
	for key, entry := range keyRange.entries {
		if entry.GetMade() < oldestUnix {
			delete(keyRange.entries, key)
		}
	}
}

// merge replaces the last mergeFanIn segments of a head by one of the next
// level, if they all have the given level and at most maxMergeBytes in total.
func (keyRange *KeyRange) merge(ctx context.Context, head *oncepb.Segment, level uint32) error {
	first := len(head.GetSealed()) - mergeFanIn
	if first < 0 {
		return nil
	}
	group := head.GetSealed()[first:]
	bytes := uint32(0)
	for _, sealed := range group {
		bytes += sealed.GetBytes()
		if sealed.GetLevel() != level || bytes > maxMergeBytes {
			return nil
		}
	}
	entries, err := keyRange.mergedEntries(ctx, group)
	if err != nil {
		return err
	}
	merged, err := keyRange.writeSegment(ctx, entries, level+1)
	if err != nil {
		return err
	}
	for _, sealed := range group {
		keyRange.obsolete = append(keyRange.obsolete, sealed.GetName())
	}
	head.Sealed = append(head.GetSealed()[:first:first], merged)
	return nil
}

// mergedEntries reads segments and returns the last entry of each key.
func (keyRange *KeyRange) mergedEntries(ctx context.Context, group []*oncepb.Sealed) ([]*oncepb.Entry, error) {
	var entries []*oncepb.Entry
	positions := map[Key]int{}
	for _, sealed := range group {
		object, err := keyRange.Read(ctx, sealed.GetName())
		if err != nil {
			return nil, fmt.Errorf("read segment %s: %w", sealed.GetName(), err)
		}
		segment, err := decodeSegment(object.Value)
		if err != nil {
			return nil, err
		}
		for _, entry := range segment.GetEntries() {
			key := Key(entry.GetKey())
			if i, ok := positions[key]; ok {
				entries[i] = entry
				continue
			}
			positions[key] = len(entries)
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

func (keyRange *KeyRange) writeSegment(ctx context.Context, entries []*oncepb.Entry, level uint32) (*oncepb.Sealed, error) {
	value, err := encodeSegment(&oncepb.Segment{Entries: entries})
	if err != nil {
		return nil, err
	}
	sealed := &oncepb.Sealed{Name: keyRange.newSegmentName(), Level: level, Bytes: uint32(len(value))}
	for _, entry := range entries {
		sealed.Newest = max(sealed.GetNewest(), entry.GetMade())
	}
	_, err = keyRange.Write(ctx, Object{Name: sealed.GetName(), Value: value})
	if err != nil {
		return nil, fmt.Errorf("write segment: %w", err)
	}
	return sealed, nil
}

// newSegmentName returns a random name, so that two writers never use the same
// one.
func (keyRange *KeyRange) newSegmentName() string {
	var name [8]byte
	for i := range name {
		name[i] = byte(rand.Uint32())
	}
	return keyRange.Name + "-" + hex.EncodeToString(name[:])
}

// removeObsolete deletes the segments that the head no longer lists. One that
// can't be deleted remains unreferenced, which is harmless.
func (keyRange *KeyRange) removeObsolete(ctx context.Context) {
	for _, name := range keyRange.obsolete {
		_ = keyRange.Remove(ctx, name)
	}
	keyRange.obsolete = nil
}
