package rig

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store.
type Store struct {
	Address string

	rig         *Rig
	mutex       sync.Mutex
	revision    int64
	objects     map[string]*object
	history     []event
	compactedAt int64
	changed     chan struct{}
	// watchLife is how long a watch may wait until it is cut off, 0 for no limit.
	watchLife time.Duration
	// isBusy is set while the store answers hosts with 503.
	isBusy bool
}

type object struct {
	kind     string
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
		Created  int64  `json:"created"`
	} `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status,omitempty"`
}

type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

const pageSize = 500

func newStore(rig *Rig) *Store {
	store := &Store{rig: rig, revision: 100, compactedAt: 100, objects: map[string]*object{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", rig.IP()+":8225")
	if err != nil {
		rig.Fail("store: %v", err)
	}
	store.Address = listener.Addr().String()
	server := &http.Server{Handler: store}
	go func() { _ = server.Serve(listener) }()
	rig.closers = append(rig.closers, func() { _ = server.Close() })
	return store
}

// Put writes the specification of an object, as the operator or a server does. Nil removes it.
func (store *Store) Put(kind, name string, value any) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if value == nil {
		store.remove(kind, name)
		return
	}
	text, err := json.Marshal(value)
	if err != nil {
		store.rig.Fail("encode: %v", err)
	}
	store.write(kind, name, text, nil)
}

// CutWatches lets watches be cut off that have waited for a time: their connections are closed
// without an answer.
func (store *Store) CutWatches(after time.Duration) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.watchLife = after
}

// SetBusy says whether the store answers all calls of hosts with 503. The operator and the servers are
// served.
func (store *Store) SetBusy(isBusy bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.isBusy = isBusy
	close(store.changed)
	store.changed = make(chan struct{})
	store.rig.Note("the store is busy: %v", isBusy)
}

func (store *Store) remove(kind, name string) {
	current := store.objects[kind+"/"+name]
	if current == nil {
		return
	}
	delete(store.objects, kind+"/"+name)
	store.revision++
	removed := *current
	removed.Metadata.Revision = store.revision
	store.record(event{Object: removed, Removed: true})
}

// write creates or replaces an object. The caller holds the mutex.
func (store *Store) write(kind, name string, specification, status json.RawMessage) *object {
	store.revision++
	next := &object{kind: kind, Specification: specification, Status: status}
	next.Metadata.Name, next.Metadata.Revision, next.Metadata.Created = name, store.revision, store.revision
	if current := store.objects[kind+"/"+name]; current != nil {
		next.Metadata.Created = current.Metadata.Created
		if specification == nil {
			next.Specification = current.Specification
		}
		if status == nil {
			next.Status = current.Status
		}
	}
	store.objects[kind+"/"+name] = next
	store.record(event{Object: *next})
	return next
}

func (store *Store) record(event event) {
	store.history = append(store.history, event)
	close(store.changed)
	store.changed = make(chan struct{})
}

func answer(writer http.ResponseWriter, status int, value any) {
	text, _ := json.Marshal(value)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(status)
	_, _ = writer.Write(text)
}

// ServeHTTP answers one call.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	parts := strings.Split(strings.TrimPrefix(request.URL.Path, "/v1/objects/"), "/")
	query := request.URL.Query()
	kind := parts[0]
	store.mutex.Lock()
	isBusy := store.isBusy
	store.mutex.Unlock()
	switch {
	case isBusy:
		answer(writer, http.StatusServiceUnavailable, map[string]any{})
	case request.Method == http.MethodGet && len(parts) == 1 && query.Has("watch"):
		store.watch(writer, request, kind)
	case request.Method == http.MethodGet && len(parts) == 1:
		store.list(writer, kind, query.Get("after"))
	case request.Method == http.MethodGet:
		store.mutex.Lock()
		current := store.objects[kind+"/"+parts[1]]
		store.mutex.Unlock()
		if current == nil {
			answer(writer, http.StatusNotFound, map[string]any{})
			return
		}
		answer(writer, http.StatusOK, current)
	default:
		store.change(writer, request, kind, parts[1:])
	}
}

func (store *Store) list(writer http.ResponseWriter, kind, after string) {
	store.mutex.Lock()
	var items []*object
	for _, object := range store.objects {
		if object.kind == kind && object.Metadata.Name > after {
			items = append(items, object)
		}
	}
	at := store.revision
	store.mutex.Unlock()
	slices.SortFunc(items, func(one, other *object) int { return strings.Compare(one.Metadata.Name, other.Metadata.Name) })
	hasMore := len(items) > pageSize
	items = items[:min(len(items), pageSize)]
	if items == nil {
		items = []*object{}
	}
	answer(writer, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "at": at})
}

func (store *Store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	after, _ := strconv.ParseInt(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	began := time.Now()
	for isOver := false; ; {
		store.mutex.Lock()
		if after < store.compactedAt {
			store.mutex.Unlock()
			answer(writer, http.StatusGone, map[string]any{})
			return
		}
		events := []event{}
		for _, event := range store.history {
			if event.Object.kind == kind && event.Object.Metadata.Revision > after {
				events = append(events, event)
			}
		}
		at, changed, life := store.revision, store.changed, store.watchLife
		store.mutex.Unlock()
		if len(events) > 0 || isOver {
			answer(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		var cut <-chan time.Time
		if life > 0 {
			cut = time.After(time.Until(began.Add(life)))
		}
		select {
		case <-changed:
		case <-cut:
			store.rig.Note("store: a watch of %s by %s is cut off", kind, request.RemoteAddr)
			panic(http.ErrAbortHandler)
		case <-timer.C:
			isOver = true
		case <-request.Context().Done():
			return
		}
	}
}

func (store *Store) change(writer http.ResponseWriter, request *http.Request, kind string, rest []string) {
	text, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	var sent object
	_ = json.Unmarshal(text, &sent)
	name := sent.Metadata.Name
	if len(rest) > 0 {
		name = rest[0]
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.rig.Note("store: %s %s", request.Method, request.URL)
	current := store.objects[kind+"/"+name]
	wanted := sent.Metadata.Revision
	if text := request.URL.Query().Get("revision"); text != "" {
		wanted, _ = strconv.ParseInt(text, 10, 64)
	}
	switch {
	case request.Method == http.MethodPost && current != nil, current != nil && wanted != 0 && wanted != current.Metadata.Revision:
		answer(writer, http.StatusConflict, current)
	case request.Method == http.MethodPost:
		answer(writer, http.StatusCreated, store.write(kind, name, sent.Specification, nil))
	case current == nil:
		answer(writer, http.StatusNotFound, map[string]any{})
	case request.Method == http.MethodDelete:
		store.remove(kind, name)
		answer(writer, http.StatusOK, current)
	case len(rest) > 1 && rest[1] == "status":
		answer(writer, http.StatusOK, store.write(kind, name, nil, sent.Status))
	default:
		answer(writer, http.StatusOK, store.write(kind, name, sent.Specification, nil))
	}
}
