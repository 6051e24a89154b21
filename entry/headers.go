package entry

import (
	"net/http"
	"strings"
)

// ownHeaderPrefix begins the headers between callers, hosts and targets that
// only this system sets.
const ownHeaderPrefix = "Nutmegfield-"

// connectionHeaders belong to one connection and are passed on in neither
// direction, like those that the Connection header names.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// callerHeaders are those of a caller that are meant for this host.
var callerHeaders = []string{"Authorization", "Expect"}

// engineHeaders are the caller's headers that an engine gets.
var engineHeaders = []string{"Content-Type", "Accept"}

// targetHeaders of an answer are set anew by this host.
var targetHeaders = []string{"Date"}

// singleHeaders may stand once in a request: two would let the balancer, this
// host and the target each believe another.
var singleHeaders = []string{
	"Authorization", "Content-Type", "Content-Length", HeaderIdempotency,
	HeaderWorkspace, HeaderProfile, HeaderTimeout,
}

func checkSingle(header http.Header) *Problem {
	for _, name := range singleHeaders {
		if len(header[name]) > 1 {
			return badRequest(http.StatusBadRequest, "the header "+name+" stands more than once")
		}
	}
	return nil
}

// toEngine returns the headers that an engine gets.
func toEngine(received http.Header) http.Header {
	passed := http.Header{}
	for _, name := range engineHeaders {
		if values := received[name]; len(values) > 0 {
			passed[name] = values
		}
	}
	return passed
}

// toService returns the headers that a service gets: all but those of the
// connection, of this system and the caller's token.
func toService(received http.Header) http.Header {
	passed := endToEnd(received)
	for _, name := range callerHeaders {
		passed.Del(name)
	}
	return passed
}

// endToEnd copies a header without what belongs to one connection or to this
// system.
func endToEnd(header http.Header) http.Header {
	passed := make(http.Header, len(header))
	for name, values := range header {
		if !strings.HasPrefix(name, ownHeaderPrefix) {
			passed[name] = values
		}
	}
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(passed, name)
	}
	return passed
}
