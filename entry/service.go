package entry

import (
	"net/http"
	"strings"

	"nutmegfield.example/profile"
)

const servicePrefix = "/services/"

// checkService checks the head of a service request.
func (entry *Entry) checkService(received *http.Request) (*profile.Workspace, *Problem) {
	if received.Method == http.MethodConnect || received.Method == http.MethodTrace {
		return nil, badRequest(http.StatusMethodNotAllowed, received.Method+" is not passed on")
	}
	if hasDotSegment(received.URL.Path) {
		return nil, badRequest(http.StatusBadRequest, "the path holds the segment . or ..")
	}
	name, _ := cutService(received)
	return entry.checkHead(received, name, profile.KindService)
}

// cutService returns the service that the path names, and the rest of the path.
func cutService(received *http.Request) (name, rest string) {
	name, rest, _ = strings.Cut(strings.TrimPrefix(received.URL.EscapedPath(), servicePrefix), "/")
	return name, rest
}

func (entry *Entry) newServiceJob(received *http.Request, body []byte) (*job, *Problem) {
	name, rest := cutService(received)
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
