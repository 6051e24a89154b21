package entry

import (
	"errors"
	"io"
	"net/http"

	"nutmegfield.example/request"
)

// Handler returns the callers' side.
func (entry *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(chatPath, entry.chat)
	mux.HandleFunc(servicePrefix+"{service}/{path...}", entry.service)
	mux.HandleFunc(servicePrefix+"{service}", entry.service)
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", entry.readyz)
	mux.HandleFunc("/", func(writer http.ResponseWriter, _ *http.Request) {
		badRequest(http.StatusNotFound, "there is nothing here").write(writer, request.NewID())
	})
	return mux
}

func (entry *Entry) readyz(writer http.ResponseWriter, _ *http.Request) {
	if !entry.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// handle reads the body, makes the job and runs it.
func (entry *Entry) handle(writer http.ResponseWriter, received *http.Request, make func(body []byte) (*job, *Problem)) {
	if !entry.enter() {
		notRun(request.ReasonDraining, retryDraining).write(writer, request.NewID())
		return
	}
	defer entry.leave()
	body, problem := entry.readBody(writer, received)
	if problem != nil {
		problem.write(writer, request.NewID())
		return
	}
	job, problem := make(body)
	if problem != nil {
		problem.write(writer, request.NewID())
		return
	}
	entry.run(writer, received, job)
}

func (entry *Entry) readBody(writer http.ResponseWriter, received *http.Request) ([]byte, *Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, received.Body, entry.Settings.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, badRequest(http.StatusRequestEntityTooLarge, "the body is larger than allowed")
	case err != nil:
		return nil, badRequest(http.StatusBadRequest, "the body could not be read whole")
	}
	return body, nil
}
