package timeline

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"unsafe"
)

const (
	// maxIDBytes is the length of the longest request id that events keep whole. Of longer
	// ones they keep keptIDBytes and hashBytes of their hash.
	maxIDBytes  = 128
	keptIDBytes = 64
	hashBytes   = 8
	// maxTextBytes limits the other texts of an event, which may contain what callers or
	// targets have sent.
	maxTextBytes = 1 << 10
)

// ShortID returns a request's id as events keep it: the beginning and a hash of a long one.
func ShortID(id string) string {
	if len(id) <= maxIDBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return strings.ToValidUTF8(id[:keptIDBytes], "?") + "~" + hex.EncodeToString(sum[:hashBytes])
}

// IsOf reports whether an event with the id of a request belongs to the request with the
// other id, which may be long.
func IsOf(kept, id string) bool { return kept == id || kept == ShortID(id) }

// shorten replaces the long texts of an event.
func (event *Event) shorten() {
	event.Request = ShortID(event.Request)
	for _, text := range []*string{&event.Pool, &event.Target, &event.Peer, &event.Detail} {
		*text = shortText(*text)
	}
	isCloned := false
	for i, fact := range event.Facts {
		if len(fact.Value) <= maxTextBytes {
			continue
		}
		if !isCloned {
			// The facts are the caller's.
			event.Facts, isCloned = append([]Fact(nil), event.Facts...), true
		}
		event.Facts[i].Value = shortText(fact.Value)
	}
}

// shortText returns a text, or the beginning of a long one.
func shortText(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "?") + "..."
}

// bytes returns what an event holds, with its texts as far as they are its own.
func (event *Event) bytes() int64 {
	bytes := int(unsafe.Sizeof(*event)) + len(event.Request) + len(event.Pool) + len(event.Target) + len(event.Peer) + len(event.Detail)
	for i := range event.Facts {
		bytes += int(unsafe.Sizeof(event.Facts[i])) + len(event.Facts[i].Value)
	}
	return int64(bytes)
}
