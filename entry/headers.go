package entry

import (
	"net/http"
	"strings"
)

// ownHeaderPrefix begins the headers that only this system sets between callers,
// hosts and targets.
const ownHeaderPrefix = "Nutmegfield-"

// hopByHopHeaders apply to a single connection, like those that the Connection header
// names, and are forwarded in neither direction.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// consumedHeaders of a caller are for this host and not forwarded.
var consumedHeaders = []string{"Authorization", "Expect"}

// engineHeaders of a caller are the only ones forwarded to an engine.
var engineHeaders = []string{"Content-Type", "Accept"}

// replacedHeaders of a target's answer are dropped; this host sets its own.
var replacedHeaders = []string{"Date"}

// singleHeaders may be in a request only once: of two, the load balancer, this
// host and the target could each use a different one.
var singleHeaders = []string{
	"Authorization", "Content-Type", "Content-Length", HeaderIdempotency,
	HeaderWorkspace, HeaderProfile, HeaderTimeout,
}

// checkSingleHeaders returns a problem if one of singleHeaders is repeated.
func checkSingleHeaders(header http.Header) *Problem {
	for _, name := range singleHeaders {
		if len(header[name]) > 1 {
			return badRequest(http.StatusBadRequest, "the header "+name+" stands more than once")
		}
	}
	return nil
}

// headersForEngine returns the headers to forward to an engine.
func headersForEngine(received http.Header) http.Header {
	passed := http.Header{}
	for _, name := range engineHeaders {
		if values := received[name]; len(values) > 0 {
			passed[name] = values
		}
	}
	return passed
}

// headersForService returns the headers to forward to a service: all but the
// hop-by-hop ones, this system's own and consumedHeaders.
func headersForService(received http.Header) http.Header {
	passed := endToEndHeaders(received)
	for _, name := range consumedHeaders {
		passed.Del(name)
	}
	return passed
}

// endToEndHeaders returns a copy of a header without the hop-by-hop headers and
// this system's own.
func endToEndHeaders(header http.Header) http.Header {
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
	for _, name := range hopByHopHeaders {
		delete(passed, name)
	}
	return passed
}
