package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is the time between two writes of a server to its entry.
	heartbeat = 1200 * time.Millisecond
	// eventTokens is the number of tokens of an event of a stream.
	eventTokens = 6
	// oneInUnframed is one over the share of answers without a length at a server that garbles.
	oneInUnframed = 20
)

// targetServer stands in for a server of a service: a model server that streams, or a plain one.
type targetServer struct {
	id, service, zone, version string
	slots                      int
	// queue is the number of requests that wait for a slot, beyond which others are rejected.
	queue int
	// garbles is set while one in oneInUnframed of its answers has neither a length nor chunks, and
	// ends with its connection. onUnframed is called when the run of such an answer begins, onHalf
	// when half of the body of a plain one was sent. They may be nil.
	garbles            atomic.Bool
	onUnframed, onHalf func()
	// keepAlive is the idle timeout that it states and keeps, 0 for none.
	keepAlive time.Duration
	// link is the address that the entry names, empty for the server's own.
	link string
	// isEngine means that the server streams events, one each interval; a plain one answers
	// after work.
	isEngine       bool
	interval, work time.Duration
	record         *record
	store          *store

	address  string
	born     int64
	listener net.Listener
	http     *http.Server
	running  atomic.Int64
	turns    chan struct{}
	conns    map[net.Conn]http.ConnState
	hijacked map[net.Conn]bool
	runs     atomic.Int64
	sequence atomic.Int64
	mutex    sync.Mutex
	state    string
	isGone   bool
	// ran are the ids of the requests that the server began to run.
	ran  []string
	stop chan struct{}
}

// arrived returns the ids of the requests that the server began to run.
func (server *targetServer) arrived() []string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]string(nil), server.ran...)
}

// start listens at an address, ip:0 for any port, and registers the server.
func (server *targetServer) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server.listener, server.address = listener, listener.Addr().String()
	server.born, server.state, server.stop = time.Now().UnixMilli(), "ready", make(chan struct{})
	server.turns, server.conns = make(chan struct{}, server.slots), map[net.Conn]http.ConnState{}
	server.hijacked = map[net.Conn]bool{}
	server.http = &http.Server{Handler: server, ConnState: server.setState, IdleTimeout: server.keepAlive}
	go func() { _ = server.http.Serve(quietable{listener}) }()
	server.beat()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-server.stop:
				return
			case <-ticker.C:
				server.beat()
			}
		}
	}()
	return nil
}

// beat writes the entry. The store makes a change of it only if more than the sequence has
// changed, so that is left as it was at the start or at the last change of the state.
func (server *targetServer) beat() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.isGone {
		return
	}
	server.store.put("servers", server.id, server.entry())
}

func (server *targetServer) entry() map[string]any {
	entry := map[string]any{
		"service": server.service, "address": cmp.Or(server.link, server.address), "zone": server.zone, "version": server.version, "slots": server.slots,
		"state": server.state, "cold_remaining_ms": 0, "sequence": server.sequence.Load(), "born": server.born,
	}
	if server.isEngine {
		entry["stage"], entry["models"] = "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return entry
}

// drain reports that the server leaves. It returns when the store has acknowledged that.
func (server *targetServer) drain() time.Time {
	server.mutex.Lock()
	server.state = "draining"
	server.sequence.Add(1)
	server.mutex.Unlock()
	server.beat()
	return time.Now()
}

// end ends the server with all that it runs.
func (server *targetServer) end() {
	server.mutex.Lock()
	wasGone := server.isGone
	server.isGone = true
	server.mutex.Unlock()
	if wasGone {
		return
	}
	close(server.stop)
	_ = server.http.Close()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.hijacked {
		_ = conn.Close()
	}
}

// startAgain starts another process of the server under its id, at its address. It knows nothing
// of the one before.
func (server *targetServer) startAgain() (*targetServer, error) {
	again := &targetServer{
		id: server.id, service: server.service, zone: server.zone, version: server.version, slots: server.slots, queue: server.queue,
		isEngine: server.isEngine, interval: server.interval, work: server.work, keepAlive: server.keepAlive, link: server.link,
		record: server.record, store: server.store,
	}
	return again, again.start(server.address)
}

// ServeHTTP answers a request.
func (server *targetServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	id := request.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	header.Set("X-Instance-Id", server.id)
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", server.running.Load(), server.slots))
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != server.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if server.keepAlive > 0 {
		header.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(server.keepAlive.Seconds())))
	}
	if server.isEngine && request.URL.Path == "/v1/report" {
		// It needs no slot.
		header.Set("Content-Type", "application/json")
		fmt.Fprintf(writer, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":%d,"kv_used":0,"kv_total":864756,"handles":0,"born":%d}`, server.running.Load(), server.born)
		return
	}
	isHealth := request.URL.Path == "/health"
	if id == "" && !isHealth {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if server.running.Add(1) > int64(server.slots+server.queue) {
		server.running.Add(-1)
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer server.running.Add(-1)
	deadline := time.After(time.Minute)
	if milliseconds, err := strconv.Atoi(request.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.After(time.Duration(milliseconds) * time.Millisecond)
	}
	select {
	case server.turns <- struct{}{}:
		defer func() { <-server.turns }()
	case <-deadline:
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-request.Context().Done():
		return
	}
	if isHealth {
		if server.isLeaving() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	server.mutex.Lock()
	server.ran = append(server.ran, id)
	server.mutex.Unlock()
	server.record.add("server %s runs %s %s of request %s", server.id, request.Method, request.URL.Path, id)
	isUnframed := server.runs.Add(1)%oneInUnframed == 0 && server.garbles.Load()
	if isUnframed {
		server.record.add("the answer of server %s to request %s has no length", server.id, id)
		if server.onUnframed != nil {
			server.onUnframed()
		}
	}
	header.Set("X-Response-Seal", "seal."+server.id+"."+id)
	if server.isEngine {
		server.stream(writer, request, deadline, isUnframed)
	} else {
		server.answerPlain(writer, request, deadline, isUnframed)
	}
}

// isLeaving reports whether the server has said that it leaves.
func (server *targetServer) isLeaving() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.state != "ready"
}

// plainBody is the body of a plain answer.
var plainBody = strings.Repeat("x", 800)

// answerPlain sends a plain answer at the end of its work, or one without a length in two halves.
func (server *targetServer) answerPlain(writer http.ResponseWriter, request *http.Request, deadline <-chan time.Time, isUnframed bool) {
	id := request.Header.Get("X-Request-Id")
	select {
	case <-time.After(server.work / 2):
	case <-deadline:
		writer.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-request.Context().Done():
		server.record.add("server %s drops request %s, whose connection was closed", server.id, id)
		return
	}
	if !isUnframed {
		time.Sleep(server.work / 2)
		writer.Header().Set("Content-Length", strconv.Itoa(len(plainBody)))
		_, _ = io.WriteString(writer, plainBody)
		server.record.add("server %s has answered request %s", server.id, id)
		return
	}
	conn, end, ok := server.takeOver(writer)
	if !ok {
		return
	}
	defer end()
	_, _ = io.WriteString(conn, plainBody[:len(plainBody)/2])
	if server.onHalf != nil {
		server.onHalf()
	}
	time.Sleep(server.work / 2)
	if _, err := io.WriteString(conn, plainBody[len(plainBody)/2:]); err == nil {
		server.record.add("server %s has answered request %s", server.id, id)
	}
}

// takeOver takes over the connection of a request, and sends the head of an answer that has no
// length.
func (server *targetServer) takeOver(writer http.ResponseWriter) (conn net.Conn, end func(), ok bool) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return nil, nil, false
	}
	server.mutex.Lock()
	server.hijacked[conn] = true
	server.mutex.Unlock()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = writer.Header().Write(conn)
	_, _ = io.WriteString(conn, "\r\n")
	return conn, func() {
		server.mutex.Lock()
		delete(server.hijacked, conn)
		server.mutex.Unlock()
		_ = conn.Close()
	}, true
}

// stream sends the events of an answer: as many as the tokens for it make.
func (server *targetServer) stream(writer http.ResponseWriter, request *http.Request, deadline <-chan time.Time, isUnframed bool) {
	id := request.Header.Get("X-Request-Id")
	promptText, outputText, _ := strings.Cut(request.Header.Get("X-Token-Usage"), ",")
	prompt, _ := strconv.Atoi(promptText)
	output, _ := strconv.Atoi(outputText)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("X-Weights-Versions", "1")
	var answer io.Writer = writer
	flush := http.NewResponseController(writer).Flush
	if isUnframed {
		conn, end, ok := server.takeOver(writer)
		if !ok {
			return
		}
		defer end()
		answer, flush = conn, func() error { return nil }
	}
	wait := time.Duration(prompt) * time.Second / 112_000
	for number := last + 1; number <= output/eventTokens; number++ {
		select {
		case <-time.After(wait + server.interval):
		case <-deadline:
			server.record.add("server %s stops request %s at its deadline", server.id, id)
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			server.record.add("server %s drops request %s after event %d, as its connection was closed", server.id, id, number-1)
			return
		}
		wait = 0
		if _, err := fmt.Fprintf(answer, "id: %d\ndata: %s piece %d\n\n", number, id, number); err != nil {
			server.record.add("server %s drops request %s after event %d, as its connection was closed", server.id, id, number-1)
			return
		}
		_ = flush()
	}
	server.record.add("server %s has answered request %s", server.id, id)
}

// setState keeps the states of the open connections.
func (server *targetServer) setState(conn net.Conn, state http.ConnState) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(server.conns, conn)
		return
	}
	server.conns[conn] = state
}

// silence lets the open connections that carry no request go silent for good, without a reset.
// New ones work. It returns their number.
func (server *targetServer) silence() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	silenced := 0
	for conn, state := range server.conns {
		if slices.Contains([]http.ConnState{http.StateNew, http.StateIdle}, state) {
			conn.(*quietConn).isQuiet.Store(true)
			silenced++
		}
	}
	return silenced
}

// quietable is a listener whose connections can go silent.
type quietable struct{ net.Listener }

// Accept returns the next connection.
func (quietable quietable) Accept() (net.Conn, error) {
	conn, err := quietable.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &quietConn{Conn: conn}, nil
}

// quietConn is a connection of which, once it is quiet, nothing arrives at either end.
type quietConn struct {
	net.Conn
	isQuiet atomic.Bool
}

// Read reads what arrives.
func (conn *quietConn) Read(buffer []byte) (int, error) {
	for {
		n, err := conn.Conn.Read(buffer)
		if err != nil || !conn.isQuiet.Load() {
			return n, err
		}
	}
}

// Write writes, unless the connection is quiet.
func (conn *quietConn) Write(part []byte) (int, error) {
	if conn.isQuiet.Load() {
		return len(part), nil
	}
	return conn.Conn.Write(part)
}
