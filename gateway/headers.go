package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionFields concern one connection only and are not passed on.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// passedOn copies a header without the fields that concern one connection.
func passedOn(header http.Header) http.Header {
	passed := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(passed, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionFields {
		delete(passed, name)
	}
	return passed
}

// headerSize is about how many bytes a request's line and header took.
func headerSize(received *http.Request) int {
	size := len(received.Method) + len(received.RequestURI) + len(received.Host)
	for name, values := range received.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}
