package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nutmegfield.example/objects"
)

// Handler returns a handler of the API and, under /standin/, of the hosts, faults
// and call counts.
func (platform *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", platform.get)
	mux.HandleFunc("PUT /objects/{kind}/{name}", platform.put)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", platform.remove)
	mux.HandleFunc("GET /objects/{kind}", platform.list)
	mux.HandleFunc("GET /hosts", platform.listHosts)
	mux.HandleFunc("PUT /standin/hosts", platform.setHosts)
	mux.HandleFunc("PUT /standin/faults", platform.setFaults)
	mux.HandleFunc("GET /standin/calls", platform.listCalls)
	return mux
}

func (platform *Platform) get(writer http.ResponseWriter, request *http.Request) {
	kind, name := request.PathValue("kind"), request.PathValue("name")
	if !request.URL.Query().Has("wait") {
		object, err := platform.Get(request.Context(), kind, name)
		writeObject(writer, object, err)
		return
	}
	after, _ := strconv.ParseInt(request.FormValue("after"), 10, 64)
	wait, _ := time.ParseDuration(request.FormValue("wait"))
	object, changed, err := platform.Watch(request.Context(), kind, name, after, wait)
	if err == nil && !changed {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	writeObject(writer, object, err)
}

func writeObject(writer http.ResponseWriter, object objects.Object, err error) {
	if err != nil {
		writeError(writer, err)
		return
	}
	writer.Header().Set("ETag", etag(object.Version))
	writer.Header().Set("Last-Modified", object.Written.UTC().Format(http.TimeFormat))
	// An error means that the client closed the connection.
	_, _ = writer.Write(object.Value)
}

func (platform *Platform) put(writer http.ResponseWriter, request *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, objects.MaxObjectBytes))
	if err != nil {
		writer.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	version, err := platform.Put(request.Context(), objects.Object{
		Kind:    request.PathValue("kind"),
		Name:    request.PathValue("name"),
		Version: expectedVersion(request),
		Value:   value,
	})
	if err == nil || objects.Is(err, objects.Conflict) {
		writer.Header().Set("ETag", etag(version))
	}
	writeError(writer, err)
}

func (platform *Platform) remove(writer http.ResponseWriter, request *http.Request) {
	kind, name := request.PathValue("kind"), request.PathValue("name")
	writeError(writer, platform.Delete(request.Context(), kind, name, expectedVersion(request)))
}

func (platform *Platform) list(writer http.ResponseWriter, request *http.Request) {
	objects, err := platform.List(request.Context(), request.PathValue("kind"))
	writeAnswer(writer, objects, err)
}

func (platform *Platform) listHosts(writer http.ResponseWriter, request *http.Request) {
	hosts, err := platform.Hosts(request.Context())
	writeAnswer(writer, hosts, err)
}

func (platform *Platform) setHosts(writer http.ResponseWriter, request *http.Request) {
	var hosts []objects.ListedHost
	if decodeBody(writer, request, &hosts) {
		platform.SetHosts(hosts)
	}
}

func (platform *Platform) setFaults(writer http.ResponseWriter, request *http.Request) {
	var faults PlatformFaults
	if decodeBody(writer, request, &faults) {
		platform.SetFaults(faults)
	}
}

func (platform *Platform) listCalls(writer http.ResponseWriter, _ *http.Request) {
	writeAnswer(writer, platform.Calls(), nil)
}

func writeAnswer(writer http.ResponseWriter, value any, err error) {
	if err != nil {
		writeError(writer, err)
		return
	}
	_ = json.NewEncoder(writer).Encode(value)
}

// writeError answers with the status of an error, 200 for nil. It aborts the
// connection for AnswerLost.
func writeError(writer http.ResponseWriter, err error) {
	switch {
	case err == nil:
	case objects.Is(err, objects.AnswerLost):
		panic(http.ErrAbortHandler)
	case objects.Is(err, overRate):
		writer.WriteHeader(http.StatusTooManyRequests)
	case objects.Is(err, objects.NotFound):
		writer.WriteHeader(http.StatusNotFound)
	case objects.Is(err, objects.Conflict):
		writer.WriteHeader(http.StatusPreconditionFailed)
	case objects.Is(err, objects.Refused):
		writer.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

// expectedVersion returns the version that a conditional write expects: 0 if the
// object must not exist, -1 if the condition is missing or invalid.
func expectedVersion(request *http.Request) int64 {
	if request.Header.Get("If-None-Match") == "*" {
		return 0
	}
	version, err := strconv.ParseInt(strings.Trim(request.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return -1
	}
	return version
}

func decodeBody(writer http.ResponseWriter, request *http.Request, into any) bool {
	if err := json.NewDecoder(request.Body).Decode(into); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
