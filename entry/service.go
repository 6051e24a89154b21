package entry

import (
	"net/http"
	"strings"

	"nutmegfield.example/profile"
)

const servicePrefix = "/services/"

func (entry *Entry) newServiceJob(received *http.Request, body []byte) (*job, *Problem) {
	if received.Method == http.MethodConnect || received.Method == http.MethodTrace {
		return nil, badRequest(http.StatusMethodNotAllowed, received.Method+" is not passed on")
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(received.URL.EscapedPath(), servicePrefix), "/")
	if hasDotSegment(received.URL.Path) {
		return nil, badRequest(http.StatusBadRequest, "the path holds the segment . or ..")
	}
	job, problem := entry.classify(received, name, profile.KindService, body)
	if problem != nil {
		return nil, problem
	}
	job.path = "/" + rest
	if received.URL.RawQuery != "" {
		job.path += "?" + received.URL.RawQuery
	}
	job.header = headersForService(received.Header)
	return job, nil
}

// hasDotSegment reports whether a decoded path has a segment . or .., which could
// lead out of the base address of a service.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
