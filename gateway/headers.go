package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields apply to a single connection and are not forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeader returns a copy of a header without the hop-by-hop fields.
func endToEndHeader(header http.Header) http.Header {
	passed := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(passed, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopFields {
		delete(passed, name)
	}
	return passed
}

// headerSize returns the approximate size in bytes of the request line and header.
func headerSize(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}
