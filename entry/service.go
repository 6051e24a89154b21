package entry

import (
	"net/http"
	"strings"

	"nutmegfield.example/profile"
)

const servicePrefix = "/services/"

func (entry *Entry) service(writer http.ResponseWriter, received *http.Request) {
	entry.handle(writer, received, func(body []byte) (*job, *Problem) {
		return entry.serviceJob(received, body)
	})
}

func (entry *Entry) serviceJob(received *http.Request, body []byte) (*job, *Problem) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(received.URL.EscapedPath(), servicePrefix), "/")
	job, problem := entry.classify(received, name, profile.KindService, body)
	if problem != nil {
		return nil, problem
	}
	job.path = "/" + rest
	if received.URL.RawQuery != "" {
		job.path += "?" + received.URL.RawQuery
	}
	return job, nil
}
