package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strings"

	"nutmegfield.example/kernel"
	"nutmegfield.example/request"
	"nutmegfield.example/timeline"
)

const (
	healthPath = "/healthz"
	readyPath  = "/readyz"
)

// Handler returns the handler of all callers' requests. It routes by the escaped
// path, so that a service gets its path unchanged.
func (entry *Entry) Handler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) {
		callerWriter := newCallerWriter(writer, entry.Settings.WriteTimeout)
		if len(received.TransferEncoding) > 0 {
			// The connection isn't used again after a chunked body: bytes that are
			// left over could be parsed as a smuggled request.
			callerWriter.Header().Set("Connection", "close")
		}
		entry.route(callerWriter, received)
	})
}

func (entry *Entry) route(callerWriter *callerWriter, received *http.Request) {
	path := received.URL.EscapedPath()
	switch {
	case path == healthPath:
		callerWriter.WriteHeader(http.StatusOK)
	case path == readyPath:
		entry.handleReady(callerWriter)
	case path == chatPath:
		entry.handleJob(callerWriter, received, entry.newChatJob)
	case path == modelsPath || strings.HasPrefix(path, modelsPath+"/"):
		entry.handleModels(callerWriter, received)
	case strings.HasPrefix(path, servicePrefix):
		entry.handleJob(callerWriter, received, entry.newServiceJob)
	default:
		badRequest(http.StatusNotFound, "there is nothing here").write(callerWriter, request.NewID())
	}
}

func (entry *Entry) handleReady(writer http.ResponseWriter) {
	if !entry.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// handleJob reads the body, creates the job and runs it.
func (entry *Entry) handleJob(callerWriter *callerWriter, received *http.Request, newJob func(*http.Request, []byte) (*job, *Problem)) {
	if !entry.beginRequest() {
		notRun(request.ReasonDraining, jitter(retryAfterDraining)).write(callerWriter, request.NewID())
		return
	}
	defer entry.endRequest()
	var job *job
	defer func() {
		if cause := recover(); cause != nil {
			entry.answerPanic(callerWriter, received, job, cause)
		}
	}()
	body, counted, problem := entry.readBody(callerWriter, received)
	defer entry.bodyBytes.Add(-counted)
	if problem != nil {
		problem.write(callerWriter, request.NewID())
		return
	}
	job, problem = newJob(received, body)
	if problem != nil {
		problem.write(callerWriter, request.NewID())
		return
	}
	entry.jobs.add(job)
	defer entry.jobs.remove(job)
	entry.run(received.Context(), callerWriter, job)
	if job.abort {
		kernel.AbortAnswer(callerWriter, received)
	}
}

// answerPanic answers a request whose handling panicked. If the answer has begun,
// the connection is aborted, so that the caller can't take it for complete.
func (entry *Entry) answerPanic(callerWriter *callerWriter, received *http.Request, job *job, cause any) {
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	id := request.NewID()
	outcome := request.NotRun
	if job != nil {
		id = job.id
		if job.machine.WasDispatched() {
			outcome = request.Unknown
		}
		job.machine.Answer()
	}
	detail := fmt.Sprintf("%v\n%s", cause, debug.Stack())
	entry.Events.Record(eventPanicked, timeline.Event{Request: id.String(), Detail: detail})
	if callerWriter.headerWritten {
		kernel.AbortAnswer(callerWriter, received)
	}
	problem := badRequest(http.StatusInternalServerError, "the host failed on this request")
	problem.Outcome = outcome
	problem.write(callerWriter, id)
}

// readBody reads the body within the limits of one body and of all bodies. The
// second result is the number of bytes counted in bodyBytes, also on a problem.
func (entry *Entry) readBody(callerWriter *callerWriter, received *http.Request) ([]byte, int64, *Problem) {
	if received.ContentLength > entry.Settings.BodyBytes {
		return nil, 0, tooLarge(callerWriter)
	}
	if received.Body == nil || received.Body == http.NoBody {
		return nil, 0, nil
	}
	bodyReader := &bodyReader{entry: entry, body: http.MaxBytesReader(callerWriter.ResponseWriter, received.Body, entry.Settings.BodyBytes)}
	entry.setReadDeadline(callerWriter)
	body, err := io.ReadAll(bodyReader)
	if err != nil {
		return nil, bodyReader.counted, bodyProblem(callerWriter, err)
	}
	return body, bodyReader.counted, nil
}
