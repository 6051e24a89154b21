package entry

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"nutmegfield.example/kernel"
	"nutmegfield.example/listener"
	"nutmegfield.example/memory"
	"nutmegfield.example/profile"
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
		conn := listener.Of(received)
		end, begun := conn.Begin(writer, received)
		defer end()
		callerWriter := newCallerWriter(writer, conn, entry.Settings.WriteTimeout, entry.drainAnnounced.Load)
		if len(received.TransferEncoding) > 0 {
			// The connection isn't used again after a chunked body: bytes that are
			// left over could be parsed as a smuggled request.
			callerWriter.Header().Set("Connection", "close")
		}
		if !begun {
			refuseUnread(callerWriter, received, notRun(request.ReasonLimited, jitter(retryAfterLimited)), request.NewID())
			return
		}
		entry.route(callerWriter, received)
	})
}

func (entry *Entry) route(callerWriter *callerWriter, received *http.Request) {
	path := received.URL.EscapedPath()
	switch {
	case path == chatPath:
		entry.handleJob(callerWriter, received, entry.checkChat, entry.newChatJob)
		return
	case strings.HasPrefix(path, servicePrefix):
		entry.handleJob(callerWriter, received, entry.checkService, entry.newServiceJob)
		return
	}
	// The other paths use no body.
	callerWriter.conn.Discard(callerWriter, received)
	defer callerWriter.conn.Linger(callerWriter, received)
	switch {
	case path == healthPath:
		callerWriter.WriteHeader(http.StatusOK)
	case path == readyPath:
		entry.handleReady(callerWriter)
	case path == modelsPath || strings.HasPrefix(path, modelsPath+"/"):
		entry.handleModels(callerWriter, received)
	default:
		callerWriter.conn.Deny(callerWriter)
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

// handleJob checks the head of a request, reads its body, creates the job and runs it.
func (entry *Entry) handleJob(callerWriter *callerWriter, received *http.Request, check func(*http.Request) (*profile.Workspace, *Problem),
	newJob func(*http.Request, []byte) (*job, *Problem),
) {
	if !entry.beginRequest() {
		refuseUnread(callerWriter, received, notRun(request.ReasonDraining, jitter(retryAfterDraining)), request.NewID())
		return
	}
	defer entry.endRequest()
	var job *job
	defer func() {
		if cause := recover(); cause != nil {
			entry.answerPanic(callerWriter, received, job, cause)
		}
	}()
	workspace, problem := check(received)
	if problem != nil {
		callerWriter.conn.Deny(callerWriter)
		refuseUnread(callerWriter, received, problem, request.NewID())
		return
	}
	details := memory.Details{
		Workspace: workspace.Name, Declared: received.ContentLength, Deadline: time.Now().Add(entry.Settings.ReadTimeout),
	}
	callerWriter.conn.Holder().Describe(&details)
	body, release, problem := entry.readBody(callerWriter, received)
	defer release()
	if problem != nil {
		refuseUnread(callerWriter, received, problem, request.NewID())
		return
	}
	job, problem = newJob(received, body)
	if problem != nil {
		problem.write(callerWriter, request.NewID())
		return
	}
	// Background work may keep the job for longer than its body is counted.
	defer func() { job.body = nil }()
	callerWriter.conn.Holder().Describe(&memory.Details{
		Request: job.idText, Workspace: workspace.Name, Declared: received.ContentLength, Deadline: job.deadline,
	})
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
