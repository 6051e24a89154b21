// Package head checks the heads of HTTP/1.1 answers before net/http reads them, which takes more
// than the protocol allows: what it makes of the rest need not be what the sender meant.
package head

import (
	"bytes"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"

	"nutmegfield.example/errorkind"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("head")
	// Malformed: the bytes are no head of an answer.
	Malformed = Errors.NewType("malformed")
)

// malformedHeads counts the answers that were not taken.
var malformedHeads = metrics.GetOrCreateCounter("nutmegfield_malformed_heads_total")

func malformed(format string, values ...any) error {
	malformedHeads.Inc()
	return Malformed.New(format, values...)
}

// Is reports whether an error, or one that it wraps, is of one of the types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }

const (
	statusLineStart = "HTTP/1."
	// statusLineBytes is the length of a status line up to its status.
	statusLineBytes = len(statusLineStart + "1 200")
	// maxStatus is the largest status of the protocol.
	maxStatus = 599
	// maxStartBytes limits what is kept of a line: more than the fields that frame the body have.
	maxStartBytes = 64
)

// Checker checks the head of one answer as its bytes arrive. The zero value is ready for use.
type Checker struct {
	// start is the beginning of the current line, of length bytes. hasName is set behind the name
	// of a field, hasReturn behind a carriage return.
	start              [maxStartBytes]byte
	length             int
	hasName, hasReturn bool
	// isOld is set for HTTP/1.0. contentLength is the field that gives the length of the body,
	// empty for none, and isChunked is set if there is one that says that it comes in chunks.
	isOld         bool
	contentLength string
	isChunked     bool
	// status is 0 until the status line has ended.
	status  int
	isWhole bool
	err     error
}

// Write checks the next bytes and returns how many of them belong to the head. It fails with
// Malformed, then and further on.
func (checker *Checker) Write(text []byte) (int, error) {
	for i, char := range text {
		if checker.err != nil || checker.isWhole {
			return i, checker.err
		}
		checker.err = checker.add(char)
	}
	return len(text), checker.err
}

// IsWhole reports whether the head has come to its end and is one of the protocol.
func (checker *Checker) IsWhole() bool { return checker.isWhole && checker.err == nil }

// Status returns the status of a whole head.
func (checker *Checker) Status() int { return checker.status }

// line returns the beginning of the current line.
func (checker *Checker) line() []byte { return checker.start[:min(checker.length, maxStartBytes)] }

func (checker *Checker) add(char byte) error {
	switch {
	case checker.hasReturn && char != '\n':
		return malformed("a carriage return inside the line that begins with %.20q", checker.line())
	case checker.hasReturn:
		return checker.endLine()
	case char == '\r':
		checker.hasReturn = true
		return nil
	case char < ' ' && char != '\t' || char == 0x7f:
		return malformed("the byte %#02x in the line that begins with %.20q", char, checker.line())
	case checker.status > 0 && !checker.hasName && char == ':' && checker.length > 0:
		checker.hasName = true
	case checker.status > 0 && !checker.hasName && !httpguts.IsTokenRune(rune(char)):
		return malformed("the byte %#02x in the name of the field that begins with %.20q", char, checker.line())
	}
	if checker.length < maxStartBytes {
		checker.start[checker.length] = char
	}
	checker.length++
	if checker.status == 0 && checker.length == statusLineBytes+1 {
		// What is no answer need not be read to the end of a line.
		_, err := readStatus(checker.line())
		return err
	}
	return nil
}

// endLine checks a line at its end.
func (checker *Checker) endLine() error {
	line := checker.line()
	var err error
	switch {
	case checker.status == 0:
		checker.status, err = readStatus(line)
		checker.isOld = err == nil && line[len(statusLineStart)] == '0'
	case len(line) == 0:
		checker.isWhole = true
		err = checker.checkFraming()
	case !checker.hasName:
		err = malformed("no field in the line that begins with %.20q", line)
	default:
		err = checker.checkField(line)
	}
	checker.length, checker.hasName, checker.hasReturn = 0, false, false
	return err
}

// checkField checks a field if it says where the body ends.
func (checker *Checker) checkField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		if checker.length > maxStartBytes || len(value) == 0 || bytes.ContainsFunc(value, func(char rune) bool { return char < '0' || char > '9' }) {
			return malformed("a length of %.20q", value)
		}
		if checker.contentLength != "" && checker.contentLength != string(value) {
			return malformed("two lengths, %.20q and %.20q", checker.contentLength, value)
		}
		checker.contentLength = string(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if checker.length > maxStartBytes || checker.isChunked || !bytes.EqualFold(value, []byte("chunked")) {
			return malformed("a body that is encoded as %.20q", value)
		}
		checker.isChunked = true
	}
	return nil
}

// checkFraming checks that the head says in one way only where the body ends.
func (checker *Checker) checkFraming() error {
	switch {
	case checker.isChunked && checker.contentLength != "":
		return malformed("chunks and a length of %.20q", checker.contentLength)
	case checker.isChunked && checker.isOld:
		return malformed("chunks in an answer of HTTP/1.0")
	default:
		return nil
	}
}

// readStatus reads the status from the beginning of a status line.
func readStatus(line []byte) (int, error) {
	if len(line) < statusLineBytes || !bytes.HasPrefix(line, []byte(statusLineStart)) ||
		!isDigit(line[len(statusLineStart)]) || line[len(statusLineStart)+1] != ' ' {
		return 0, malformed("the status line begins with %.20q", line)
	}
	status := 0
	for _, char := range line[statusLineBytes-3 : statusLineBytes] {
		if !isDigit(char) {
			return 0, malformed("the status line begins with %.20q", line)
		}
		status = 10*status + int(char-'0')
	}
	if len(line) > statusLineBytes && line[statusLineBytes] != ' ' {
		return 0, malformed("the status line begins with %.20q", line)
	}
	return status, checkStatus(status)
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

// checkStatus returns an error for a status that no answer of the protocol has. No request asks for
// another protocol.
func checkStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return malformed("the status is %03d", status)
	}
	return nil
}

// CheckRead returns an error unless the head of a final answer, which was read elsewhere, is one
// of the protocol.
func CheckRead(status int, header http.Header) error {
	if status < http.StatusOK {
		return malformed("the status is %03d", status)
	}
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("a field of the name %.20q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return malformed("a value of the field %.20q", name)
			}
		}
	}
	return checkStatus(status)
}
