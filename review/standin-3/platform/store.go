package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store.
type store struct {
	mutex    sync.Mutex
	revision int64
	objects  map[string]map[string]*object
	history  map[string][]change
	changed  chan struct{}
	server   *http.Server
	address  string
	era      int64
	isAway   bool
	// turnedAway are the addresses at which calls are turned away with 503.
	turnedAway map[string]bool
}

// storeCopy is an older state of the store.
type storeCopy struct {
	revision int64
	objects  map[string]map[string]object
	history  map[string][]change
}

type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
}

// pageItems is the number of objects of a page of a list.
const pageItems = 500

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	store := &store{
		revision: 100, objects: map[string]map[string]*object{}, history: map[string][]change{},
		changed: make(chan struct{}), address: listener.Addr().String(), era: 1,
	}
	store.server = &http.Server{Handler: store}
	go func() { _ = store.server.Serve(listener) }()
	return store, nil
}

// listen lets the store answer at one more address, so that the calls of one host can be told from
// those of others.
func (store *store) listen(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen for the store: %w", err)
	}
	go func() { _ = store.server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// turnAway turns the calls at some addresses away, with the watches that wait there.
func (store *store) turnAway(addresses ...string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.turnedAway = map[string]bool{}
	for _, address := range addresses {
		store.turnedAway[address] = true
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

// isTurnedAway reports whether a call is turned away. The caller holds the mutex.
func (store *store) isTurnedAway(request *http.Request) bool {
	address, _ := request.Context().Value(http.LocalAddrContextKey).(net.Addr)
	return address != nil && store.turnedAway[address.String()]
}

// put writes the specification of an object, as the operator and the servers do. It returns the
// time of the acknowledgement, zero while the store is away.
func (store *store) put(kind, name string, specification any) time.Time {
	text, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.isAway {
		return time.Time{}
	}
	store.write(kind, name, func(object *object) { object.Specification = text })
	return time.Now()
}

func (store *store) remove(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.removeLocked(kind, name)
}

func (store *store) removeLocked(kind, name string) {
	if object := store.objects[kind][name]; object != nil {
		delete(store.objects[kind], name)
		store.revision++
		object.Metadata.Revision = store.revision
		store.tell(kind, change{Removed: true, Object: *object})
	}
}

// write changes an object, which is created if there is none.
func (store *store) write(kind, name string, edit func(*object)) *object {
	if store.objects[kind] == nil {
		store.objects[kind] = map[string]*object{}
	}
	store.revision++
	entry := store.objects[kind][name]
	if entry == nil {
		entry = &object{Metadata: metadata{Name: name, Created: store.revision, Finalizers: []string{}}}
		store.objects[kind][name] = entry
	}
	edit(entry)
	entry.Metadata.Revision = store.revision
	store.tell(kind, change{Object: *entry})
	return entry
}

func (store *store) tell(kind string, change change) {
	store.history[kind] = append(store.history[kind], change)
	close(store.changed)
	store.changed = make(chan struct{})
}

// copyNow returns a copy of the present state.
func (store *store) copyNow() *storeCopy {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	copied := &storeCopy{revision: store.revision, objects: map[string]map[string]object{}, history: map[string][]change{}}
	for kind, objects := range store.objects {
		copied.objects[kind] = map[string]object{}
		for name, object := range objects {
			copied.objects[kind][name] = *object
		}
	}
	for kind, changes := range store.history {
		copied.history[kind] = append([]change(nil), changes...)
	}
	return copied
}

// leave lets the store be away: calls, and watches that wait, end without an answer.
func (store *store) leave() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.isAway = true
	close(store.changed)
	store.changed = make(chan struct{})
}

// comeBack lets the store come back from a copy. Its revisions go back, and its era rises by one.
func (store *store) comeBack(copied *storeCopy) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision, store.history = copied.revision, copied.history
	store.objects = map[string]map[string]*object{}
	for kind, objects := range copied.objects {
		store.objects[kind] = map[string]*object{}
		for name, object := range objects {
			store.objects[kind][name] = &object
		}
	}
	store.era++
	store.isAway = false
}

// names returns the names of the objects of a kind.
func (store *store) names(kind string) []string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var names []string
	for name := range store.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (store *store) answer(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Store-Era", strconv.FormatInt(store.era, 10))
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	isAway, isTurnedAway := store.isAway, store.isTurnedAway(request)
	store.mutex.Unlock()
	if isAway {
		panic(http.ErrAbortHandler)
	}
	if isTurnedAway {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path, ok := strings.CutPrefix(request.URL.Path, "/v1/objects/")
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case request.Method == http.MethodGet && name == "" && request.URL.Query().Get("watch") != "":
		store.watch(writer, request, kind)
	case request.Method == http.MethodGet && name == "":
		store.list(writer, request, kind)
	case request.Method == http.MethodGet:
		store.mutex.Lock()
		defer store.mutex.Unlock()
		if object := store.objects[kind][name]; object != nil {
			store.answer(writer, http.StatusOK, object)
			return
		}
		store.answer(writer, http.StatusNotFound, struct{}{})
	default:
		store.change(writer, request, kind, name, isStatus)
	}
}

func (store *store) list(writer http.ResponseWriter, request *http.Request, kind string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	after := request.URL.Query().Get("after")
	var names []string
	for name := range store.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	page := struct {
		Items   []object `json:"items"`
		HasMore bool     `json:"has_more"`
		At      int64    `json:"at"`
	}{Items: []object{}, At: store.revision}
	for i, name := range names {
		if i == pageItems {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, *store.objects[kind][name])
	}
	store.answer(writer, http.StatusOK, page)
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	after, _ := strconv.ParseInt(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		store.mutex.Lock()
		if store.isAway {
			store.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		if store.isTurnedAway(request) {
			store.mutex.Unlock()
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > store.revision {
			store.answer(writer, http.StatusGone, struct{}{})
			store.mutex.Unlock()
			return
		}
		answered := struct {
			Events []change `json:"events"`
			At     int64    `json:"at"`
		}{Events: []change{}, At: store.revision}
		for _, change := range store.history[kind] {
			if change.Object.Metadata.Revision > after {
				answered.Events = append(answered.Events, change)
			}
		}
		changed := store.changed
		if len(answered.Events) > 0 || isOver {
			store.answer(writer, http.StatusOK, answered)
			store.mutex.Unlock()
			return
		}
		store.mutex.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-request.Context().Done():
			return
		}
	}
}

func (store *store) change(writer http.ResponseWriter, request *http.Request, kind, name string, isStatus bool) {
	var sent struct {
		Metadata      metadata        `json:"metadata"`
		Specification json.RawMessage `json:"specification"`
		Status        json.RawMessage `json:"status"`
	}
	_ = json.NewDecoder(request.Body).Decode(&sent)
	if name == "" {
		name = sent.Metadata.Name
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	present := store.objects[kind][name]
	switch {
	case request.Method == http.MethodPost && present != nil,
		present != nil && sent.Metadata.Revision != 0 && sent.Metadata.Revision != present.Metadata.Revision:
		store.answer(writer, http.StatusConflict, present)
	case request.Method != http.MethodPost && present == nil:
		store.answer(writer, http.StatusNotFound, struct{}{})
	case request.Method == http.MethodDelete:
		store.removeLocked(kind, name)
		store.answer(writer, http.StatusOK, struct{}{})
	default:
		store.answer(writer, http.StatusOK, store.write(kind, name, func(object *object) {
			if isStatus {
				object.Status = sent.Status
				return
			}
			object.Specification = sent.Specification
		}))
	}
}

// resume lets the store answer again, with all that it had.
func (store *store) resume() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.isAway = false
}
