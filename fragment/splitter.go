// Package fragment splits a JSON answer into the elements of its list, one after the other.
// It counts brackets instead of decoding values, so that no element has to be decodable, and
// none can be nested too deeply for it.
package fragment

import (
	"bytes"
	"slices"

	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("fragment")
	// Malformed means that the answer's brackets don't match.
	Malformed = Errors.NewType("malformed")
	// Incomplete means that the answer ended before its last bracket.
	Incomplete = Errors.NewType("incomplete")
)

// maxRestBytes limits what an answer contains besides the elements of its list. The formats
// in use have some dozens of bytes.
const maxRestBytes = 64 << 10

// maxNameSpaces limits the bytes between the name of the list and its bracket, besides the
// name itself: quotes, the colon and white space.
const maxNameSpaces = 64

// Splitter splits one answer, which is written to it in pieces of any size. The list is the
// answer itself if it begins with a bracket, or else the first field of its object whose name
// is Field. Exported fields are set before use.
type Splitter struct {
	Field string
	// OnElement is called with the text of each element, which is valid until it returns.
	// Its error ends the splitting.
	OnElement func(text []byte) error
	// OnLong is called once for an element of which more than LongBytes bytes have been
	// written, with these. Its error ends the splitting. It may be nil.
	OnLong    func(start []byte) error
	LongBytes int
	// MaxBytes limits the bytes of an element that are kept and passed to OnElement, 0 for no
	// limit.
	MaxBytes int

	rest, element []byte
	depth         int
	// listDepth is the depth inside of the list, 0 before and after it. hasList is set when
	// it has begun.
	listDepth int
	hasList   bool
	// isLong is set once OnLong was called for the current element.
	isLong             bool
	inString, isEscape bool
}

// Write splits the next piece of the answer. It fails with Malformed, or with the error of
// OnElement or OnLong.
func (splitter *Splitter) Write(piece []byte) (int, error) {
	// Bytes from begin on belong to the current element or to the rest, and are not yet
	// copied.
	begin := 0
	for i := 0; i < len(piece); i++ {
		if splitter.inString {
			i = splitter.skipString(piece, i)
			continue
		}
		switch piece[i] {
		case '"':
			splitter.inString = true
		case '{', '[':
			if splitter.beginsList(piece[begin:i+1], piece[i]) {
				splitter.append(piece[begin : i+1])
				splitter.listDepth, splitter.hasList = splitter.depth+1, true
				begin = i + 1
			}
			splitter.depth++
		case ',':
			if splitter.listDepth == 0 || splitter.depth != splitter.listDepth {
				continue
			}
			splitter.append(piece[begin:i])
			begin = i + 1
			if err := splitter.endElement(); err != nil {
				return i, err
			}
		case '}', ']':
			if splitter.depth--; splitter.depth < 0 {
				return i, Malformed.New("a bracket is closed that was not opened")
			}
			if splitter.listDepth == 0 || splitter.depth >= splitter.listDepth {
				continue
			}
			if piece[i] != ']' {
				return i, Malformed.New("the list ends with a brace")
			}
			splitter.append(piece[begin:i])
			begin = i
			if err := splitter.endElement(); err != nil {
				return i, err
			}
			splitter.listDepth = 0
		}
	}
	splitter.append(piece[begin:])
	if len(splitter.rest) > maxRestBytes {
		return len(piece), Malformed.New("the answer has more than %d bytes outside of its list", maxRestBytes)
	}
	if splitter.OnLong != nil && !splitter.isLong && len(splitter.element) > splitter.LongBytes {
		splitter.isLong = true
		if err := splitter.OnLong(splitter.element); err != nil {
			return len(piece), err
		}
	}
	return len(piece), nil
}

// skipString returns the index of the last byte of a piece that is known to belong to the
// string which the byte at an index belongs to.
func (splitter *Splitter) skipString(piece []byte, i int) int {
	for ; i < len(piece); i++ {
		switch {
		case splitter.isEscape:
			splitter.isEscape = false
		case piece[i] == '\\':
			splitter.isEscape = true
		case piece[i] == '"':
			splitter.inString = false
			return i
		}
	}
	return i
}

// beginsList reports whether a bracket begins the list. It is the last byte of a piece.
func (splitter *Splitter) beginsList(piece []byte, bracket byte) bool {
	if bracket != '[' || splitter.hasList || splitter.depth > 1 {
		return false
	}
	before := bytes.TrimSpace(piece[:len(piece)-1])
	if splitter.depth == 0 {
		return len(before) == 0 && len(bytes.TrimSpace(splitter.rest)) == 0
	}
	// The name and the colon may have been in pieces before.
	needed := len(splitter.Field) + maxNameSpaces
	if len(before) < needed {
		before = slices.Concat(splitter.rest[max(0, len(splitter.rest)-needed):], before)
	}
	name, isNamed := bytes.CutSuffix(bytes.TrimSpace(before), []byte(":"))
	return isNamed && bytes.HasSuffix(bytes.TrimSpace(name), []byte(`"`+splitter.Field+`"`))
}

// append adds bytes to the current element in the list, and to the rest outside of it.
func (splitter *Splitter) append(text []byte) {
	if splitter.listDepth > 0 {
		if splitter.MaxBytes > 0 {
			text = text[:min(len(text), max(0, splitter.MaxBytes-len(splitter.element)))]
		}
		splitter.element = append(splitter.element, text...)
	} else {
		splitter.rest = append(splitter.rest, text...)
	}
}

// endElement ends the current element. An empty list has none.
func (splitter *Splitter) endElement() error {
	text := bytes.TrimSpace(splitter.element)
	splitter.element, splitter.isLong = splitter.element[:0], false
	if len(text) == 0 {
		return nil
	}
	return splitter.OnElement(text)
}

// Rest returns the answer with an empty list once all of it was written. It fails with
// Incomplete if the answer has not ended.
func (splitter *Splitter) Rest() ([]byte, error) {
	if splitter.depth > 0 || splitter.inString || len(bytes.TrimSpace(splitter.rest)) == 0 {
		return nil, Incomplete.New("the answer is not complete")
	}
	return splitter.rest, nil
}
