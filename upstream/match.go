package upstream

import (
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxForeignAnswers is the number of answers to other requests that are
	// skipped before the connection is closed, maxSkippedBytes limits their bodies.
	maxForeignAnswers = 4
	maxSkippedBytes   = 256 << 10
	// unnamedPatience is how long the own answer of a request that may be repeated may follow
	// one that names no request. It is a quarter of the shortest objective of routes, so that
	// another target can still answer in time.
	unnamedPatience = 150 * time.Millisecond
	// unnamedLifetime is how long each request to a target goes over a connection of its own
	// after the target has refused one without naming it.
	unnamedLifetime = time.Minute
	// maxRefusedIDs limits the refused requests that are remembered: the last half of them at
	// least. Callers that send a request again under its id do so within seconds.
	maxRefusedIDs = 8192
)

// Identity is what the head of an answer says of the request that it belongs to.
type Identity struct {
	// ID is the id of the request, empty if the answer names none.
	ID string
	// NotRun reports whether the answer says that the target did not run the request.
	NotRun bool
}

// SaysNotRun reports whether a status is one by which callers are told that their request
// has not run and never will.
func SaysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Doubt is why an answer is not taken as a request's own.
type Doubt string

const (
	// NamesNone means that the answer names no request. It may be the copy of an earlier one.
	NamesNone Doubt = "names no request"
	// NamesAnother means that the answer names another request.
	NamesAnother Doubt = "names another request"
	// RefusedBefore means that the answer refuses a request that the target has refused
	// before under the same id. It may be a copy of that refusal.
	RefusedBefore Doubt = "may be a copy of an earlier refusal of the request"
)

// Skipped is an answer that was read and not taken as the request's own.
type Skipped struct {
	Status int
	Doubt  Doubt
	// NotRun reports whether the answer says that the target did not run the request.
	NotRun bool
	// Carried is the number of requests that the connection had carried before.
	Carried int
}

var (
	// errForeignAnswers is returned when a connection delivers only answers to other
	// requests.
	errForeignAnswers = errors.New("the connection delivers answers to other requests")
	errHeadTooLong    = errors.New("the answer's header is too long")
	errHeadNotWhole   = errors.New("the answer's header is not whole")
	errSkippedTooLong = errors.New("another request's answer is too long")
	// errNoOther is returned when a request may be repeated and its own answer does not
	// follow one that names no request, errUnknownEnd when it is not known where a skipped
	// answer ends.
	errNoOther    = errors.New("no other answer came in time")
	errUnknownEnd = errors.New("its end is not known")
)

// matching reads the answer to a request.
type matching struct {
	connections *Connections
	connection  *connection
	request     *Request
	// carried is the number of requests that the connection had carried before. isFirst is
	// set until an answer is read, if that is 0.
	carried int
	isFirst bool
	// skipped is the last answer that was skipped, skippedBytes the length of all bodies.
	skipped      Skipped
	skippedBytes int64
	// patience ends the exchange if the own answer does not follow; nil while none was skipped
	// that it may have to follow.
	patience *time.Timer
}

// read returns the request's own answer. It skips others.
func (matching *matching) read() (*http.Response, error) {
	response, err := matching.readOwn()
	if matching.patience != nil && !matching.patience.Stop() {
		err = errNoOther
	}
	if err == nil {
		return response, nil
	}
	if skipped := matching.skipped; skipped.Doubt != "" {
		return nil, fmt.Errorf("after an answer with status %d that %s: %w", skipped.Status, skipped.Doubt, err)
	}
	return nil, err
}

func (matching *matching) readOwn() (*http.Response, error) {
	connection := matching.connection
	sentRequest := &http.Request{Method: matching.request.Method}
	for range maxForeignAnswers {
		response, err := connection.readHead(sentRequest)
		if err != nil {
			return nil, fmt.Errorf("read the answer's header: %w", err)
		}
		if countLines(response.Header) > maxHeadLines {
			return nil, errHeadTooLong
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		identity := matching.connections.Identify(response.StatusCode, response.Header)
		doubt := matching.doubt(response.StatusCode, identity)
		connection.hadUnnamed = connection.hadUnnamed || identity.ID == ""
		if doubt == "" {
			return response, nil
		}
		matching.skipped = Skipped{Status: response.StatusCode, Doubt: doubt, NotRun: identity.NotRun, Carried: matching.carried}
		if err := matching.skip(response); err != nil {
			return nil, err
		}
	}
	return nil, errForeignAnswers
}

// readHead reads the head of an answer.
func (connection *connection) readHead(request *http.Request) (*http.Response, error) {
	// What is buffered can be peeked at.
	buffered, _ := connection.reader.Peek(connection.reader.Buffered())
	if err := connection.input.startHead(buffered); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(connection.reader, request)
	isWhole := connection.input.endHead()
	if err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	if !isWhole {
		return nil, errHeadNotWhole
	}
	return response, nil
}

// countLines returns the number of lines of a header.
func countLines(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// doubt returns why an answer is not taken as the request's own, empty if it is. An answer
// has to name the request's id. Only the first answer on a connection that has carried no
// other request, which can't be the copy of an earlier one, may refuse the request without
// naming it, or answer one that has no id.
func (matching *matching) doubt(status int, identity Identity) Doubt {
	id := matching.request.ID
	switch {
	case identity.ID == "" && matching.isFirst && (identity.NotRun || id == ""):
		return ""
	case identity.ID == "" && matching.request.takesUnnamed && !matching.connection.hadUnnamed:
		// The earlier answers named their requests, and so would copies of them.
		return ""
	case identity.ID == "":
		return NamesNone
	case identity.ID != id:
		return NamesAnother
	case !identity.NotRun && !SaysNotRun(status):
		return ""
	case matching.connections.refused.add(matching.connection.address, id) && !matching.isFirst:
		return RefusedBefore
	default:
		return ""
	}
}

// skip reads the rest of the answer that was skipped last.
func (matching *matching) skip(response *http.Response) error {
	skipped, connection := matching.skipped, matching.connection
	matching.isFirst = false
	// A connection that delivered another request's answer is not reused.
	connection.noReuse = true
	if matching.request.OnSkipped != nil {
		matching.request.OnSkipped(skipped)
	}
	if skipped.Doubt == NamesNone && skipped.NotRun && !matching.request.takesUnnamed {
		matching.connections.recordUnnamed(connection.address)
	}
	if skipped.Doubt != NamesAnother && !matching.request.Once && matching.patience == nil {
		matching.patience = time.AfterFunc(unnamedPatience, connection.abort)
	}
	isUnframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if isUnframed || matching.request.Method == http.MethodHead && response.ContentLength != 0 {
		// To HEAD it may be the answer to another method, with a body.
		return errUnknownEnd
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes-matching.skippedBytes))
	if err != nil {
		return fmt.Errorf("skip another request's answer: %w", err)
	}
	if matching.skippedBytes += n; matching.skippedBytes >= maxSkippedBytes {
		return errSkippedTooLong
	}
	return nil
}

// needsNew reports whether a request must go over a connection that has carried no other:
// one without an id, or whose id the target has refused before. Answers to it can't be told
// from copies of earlier ones.
func (connections *Connections) needsNew(address string, request *Request) bool {
	return request.ID == "" || connections.refused.has(address, request.ID)
}

// recordUnnamed records that a target has refused a request without naming it, or repeated
// such a refusal, on a connection on which the two can't be told apart.
func (connections *Connections) recordUnnamed(address string) {
	connections.mutex.Lock()
	now := time.Now()
	if connections.unnamedUntil == nil {
		connections.unnamedUntil = map[string]time.Time{}
	}
	for other, until := range connections.unnamedUntil {
		if now.After(until) {
			delete(connections.unnamedUntil, other)
		}
	}
	connections.unnamedUntil[address] = now.Add(unnamedLifetime)
	connections.mutex.Unlock()
	connections.CloseIdle(address)
}

// isUnnamedLocked reports whether connections to an address are not reused, as its target
// refuses requests without naming them. The caller holds the mutex.
func (connections *Connections) isUnnamedLocked(address string) bool {
	return len(connections.unnamedUntil) > 0 && time.Now().Before(connections.unnamedUntil[address])
}

// refusedIDs remembers which requests targets have refused. The zero value is ready for use.
type refusedIDs struct {
	isUsed atomic.Bool
	mutex  sync.Mutex
	seed   maphash.Seed
	// recent and older hold hashes of addresses and ids. When recent is full it becomes older.
	recent, older map[uint64]struct{}
}

// refusedKey is hashed, as ids may be long.
type refusedKey struct{ address, id string }

// has reports whether the target at an address has refused a request with an id.
func (refusedIDs *refusedIDs) has(address, id string) bool {
	if !refusedIDs.isUsed.Load() {
		return false
	}
	refusedIDs.mutex.Lock()
	defer refusedIDs.mutex.Unlock()
	return refusedIDs.hasLocked(maphash.Comparable(refusedIDs.seed, refusedKey{address, id}))
}

func (refusedIDs *refusedIDs) hasLocked(hash uint64) bool {
	if _, ok := refusedIDs.recent[hash]; ok {
		return true
	}
	_, ok := refusedIDs.older[hash]
	return ok
}

// add records that the target at an address has refused a request with an id, and reports
// whether it had before.
func (refusedIDs *refusedIDs) add(address, id string) bool {
	refusedIDs.mutex.Lock()
	defer refusedIDs.mutex.Unlock()
	if !refusedIDs.isUsed.Load() {
		refusedIDs.seed, refusedIDs.recent = maphash.MakeSeed(), map[uint64]struct{}{}
		refusedIDs.isUsed.Store(true)
	}
	hash := maphash.Comparable(refusedIDs.seed, refusedKey{address, id})
	wasRefused := refusedIDs.hasLocked(hash)
	if len(refusedIDs.recent) >= maxRefusedIDs/2 {
		refusedIDs.older, refusedIDs.recent = refusedIDs.recent, map[uint64]struct{}{}
	}
	refusedIDs.recent[hash] = struct{}{}
	return wasRefused
}
