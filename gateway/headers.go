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
