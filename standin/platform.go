// Package standin holds small stand-ins of the engine, plain service and
// platform interfaces, with faults that can be switched on. They are for
// tests and for trying the system out.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"nutmegfield.example/platform"
)

// Platform is a stand-in of the platform's object API.
type Platform struct {
	mutex   sync.Mutex
	objects map[objectKey]platform.Object
	version int64
	changed chan struct{}
	hosts   []platform.ListedHost
	faults  PlatformFaults
}

// PlatformFaults are what is wrong with the platform now.
type PlatformFaults struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// LoseWrites lets writes take effect but breaks the connection instead
	// of answering.
	LoseWrites bool `json:"loseWrites"`
	// Delay slows every call.
	Delay time.Duration `json:"delay"`
}

type objectKey struct{ kind, name string }

// Handler returns the API and, under /standin/, the switches.
func (standin *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", standin.get)
	mux.HandleFunc("PUT /objects/{kind}/{name}", standin.put)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", standin.remove)
	mux.HandleFunc("GET /objects/{kind}", standin.list)
	mux.HandleFunc("GET /hosts", standin.listHosts)
	faulty := standin.faulty(mux)
	outer := http.NewServeMux()
	outer.HandleFunc("PUT /standin/hosts", standin.setHosts)
	outer.HandleFunc("PUT /standin/faults", standin.setFaults)
	outer.Handle("/", faulty)
	return outer
}

func (standin *Platform) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		standin.mutex.Lock()
		faults := standin.faults
		standin.mutex.Unlock()
		time.Sleep(faults.Delay)
		if faults.Down {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if faults.LoseWrites && request.Method != http.MethodGet {
			next.ServeHTTP(discard{http.Header{}}, request)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(writer, request)
	})
}

// discard is the writer of an answer that is lost.
type discard struct{ header http.Header }

// Header returns a header that nobody reads.
func (discard discard) Header() http.Header { return discard.header }

// Write drops the part.
func (discard) Write(part []byte) (int, error) { return len(part), nil }

// WriteHeader does nothing.
func (discard) WriteHeader(int) {}

func (standin *Platform) get(writer http.ResponseWriter, request *http.Request) {
	key := keyOf(request)
	after, _ := strconv.ParseInt(request.FormValue("after"), 10, 64)
	wait, _ := time.ParseDuration(request.FormValue("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		object, changed := standin.read(key)
		switch {
		case object.Version > after:
			writer.Header().Set("ETag", etag(object.Version))
			// The client may be gone.
			_, _ = writer.Write(object.Value)
			return
		case !request.URL.Query().Has("wait"):
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writer.WriteHeader(http.StatusNotModified)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (standin *Platform) read(key objectKey) (platform.Object, <-chan struct{}) {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	if standin.changed == nil {
		standin.changed = make(chan struct{})
	}
	return standin.objects[key], standin.changed
}

func (standin *Platform) put(writer http.ResponseWriter, request *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, platform.MaxObjectBytes))
	if err != nil {
		writer.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	key := keyOf(request)
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	present := standin.objects[key].Version
	if !allowed(request, present) {
		writer.Header().Set("ETag", etag(present))
		writer.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	standin.version++
	standin.store(platform.Object{Kind: key.kind, Name: key.name, Version: standin.version, Value: value})
	writer.Header().Set("ETag", etag(standin.version))
}

func (standin *Platform) store(object platform.Object) {
	if standin.objects == nil {
		standin.objects = map[objectKey]platform.Object{}
	}
	standin.objects[objectKey{object.Kind, object.Name}] = object
	standin.wake()
}

func (standin *Platform) wake() {
	if standin.changed != nil {
		close(standin.changed)
	}
	standin.changed = make(chan struct{})
}

func (standin *Platform) remove(writer http.ResponseWriter, request *http.Request) {
	key := keyOf(request)
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	present := standin.objects[key].Version
	if present == 0 {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	if !allowed(request, present) {
		writer.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	delete(standin.objects, key)
	standin.wake()
}

func (standin *Platform) list(writer http.ResponseWriter, request *http.Request) {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	objects := []platform.Object{}
	for key, object := range standin.objects {
		if key.kind == request.PathValue("kind") {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	_ = json.NewEncoder(writer).Encode(objects)
}

func (standin *Platform) listHosts(writer http.ResponseWriter, _ *http.Request) {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(standin.hosts)
}

func (standin *Platform) setHosts(writer http.ResponseWriter, request *http.Request) {
	var hosts []platform.ListedHost
	if !decodeBody(writer, request, &hosts) {
		return
	}
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	standin.hosts = hosts
}

func (standin *Platform) setFaults(writer http.ResponseWriter, request *http.Request) {
	var faults PlatformFaults
	if !decodeBody(writer, request, &faults) {
		return
	}
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	standin.faults = faults
}

func keyOf(request *http.Request) objectKey {
	return objectKey{request.PathValue("kind"), request.PathValue("name")}
}

func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

func allowed(request *http.Request, present int64) bool {
	if request.Header.Get("If-None-Match") == "*" {
		return present == 0
	}
	return strings.Trim(request.Header.Get("If-Match"), `"`) == strconv.FormatInt(present, 10)
}

func decodeBody(writer http.ResponseWriter, request *http.Request, into any) bool {
	if err := json.NewDecoder(request.Body).Decode(into); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
