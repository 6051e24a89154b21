package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata is that of an object of the store.
type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`

	kind     string
	revision int64
}

// store stands in for the platform's metadata store: lists, watches and conditional writes, as
// the section "The platform's metadata store" of the protocol has them. It forgets nothing.
type store struct {
	mutex    sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object, whatever it was before, and returns its revision. A write that changes
// nothing makes no revision.
func (store *store) put(kind, name string, specification any) int64 {
	text, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, ok := store.kinds[kind][name]
	if ok && string(found.Specification) == string(text) {
		return found.Metadata.Revision
	}
	found.Metadata.Name, found.Specification = name, text
	return store.setLocked(kind, found).Metadata.Revision
}

// remove removes an object.
func (store *store) remove(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if found, ok := store.kinds[kind][name]; ok {
		store.removeLocked(kind, found)
	}
}

func (store *store) setLocked(kind string, written object) object {
	store.revision++
	written.Metadata.Revision = store.revision
	if written.Metadata.Created == 0 {
		written.Metadata.Created = store.revision
	}
	if written.Metadata.Finalizers == nil {
		written.Metadata.Finalizers = []string{}
	}
	if store.kinds[kind] == nil {
		store.kinds[kind] = map[string]object{}
	}
	store.kinds[kind][written.Metadata.Name] = written
	store.appendLocked(event{Object: written, kind: kind, revision: store.revision})
	return written
}

func (store *store) removeLocked(kind string, removed object) {
	store.revision++
	delete(store.kinds[kind], removed.Metadata.Name)
	removed.Metadata.Revision = store.revision
	store.appendLocked(event{Removed: true, Object: removed, kind: kind, revision: store.revision})
}

func (store *store) appendLocked(added event) {
	store.events = append(store.events, added)
	close(store.changed)
	store.changed = make(chan struct{})
}

// ServeHTTP answers a call.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	parts := strings.Split(strings.TrimPrefix(request.URL.Path, "/v1/objects/"), "/")
	query := request.URL.Query()
	switch {
	case request.Method == http.MethodGet && len(parts) == 1 && query.Has("watch"):
		store.watch(writer, request, parts[0])
	case request.Method == http.MethodGet && len(parts) == 1:
		store.list(writer, parts[0], query.Get("after"))
	default:
		store.change(writer, request, parts)
	}
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Store-Era", "1")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (store *store) list(writer http.ResponseWriter, kind, after string) {
	store.mutex.Lock()
	items := []object{}
	for name, found := range store.kinds[kind] {
		if name > after {
			items = append(items, found)
		}
	}
	at := store.revision
	store.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(writer, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": at})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	query := request.URL.Query()
	since, _ := strconv.ParseInt(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		store.mutex.Lock()
		events := []event{}
		for _, happened := range store.events {
			if happened.kind == kind && happened.revision > since {
				events = append(events, happened)
			}
		}
		at, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) > 0 || isOver {
			reply(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-request.Context().Done():
			return
		}
	}
}

// change makes the calls for one object. Each may bear the revision that the object must have.
func (store *store) change(writer http.ResponseWriter, request *http.Request, parts []string) {
	var sent object
	_ = json.NewDecoder(request.Body).Decode(&sent)
	kind, name := parts[0], sent.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	expected := sent.Metadata.Revision
	if text := request.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, ok := store.kinds[kind][name]
	switch {
	case request.Method == http.MethodPost && ok, ok && expected != 0 && expected != found.Metadata.Revision:
		reply(writer, http.StatusConflict, found)
	case request.Method == http.MethodPost:
		sent.Metadata.Created = 0
		reply(writer, http.StatusOK, store.setLocked(kind, sent))
	case !ok:
		reply(writer, http.StatusNotFound, map[string]any{})
	case request.Method == http.MethodPut && len(parts) == 3:
		found.Status = sent.Status
		reply(writer, http.StatusOK, store.setLocked(kind, found))
	case request.Method == http.MethodPut:
		found.Specification, found.Metadata.Finalizers = sent.Specification, sent.Metadata.Finalizers
		reply(writer, http.StatusOK, store.setLocked(kind, found))
	case request.Method == http.MethodDelete:
		store.removeLocked(kind, found)
		reply(writer, http.StatusOK, found)
	default:
		reply(writer, http.StatusOK, found)
	}
}
