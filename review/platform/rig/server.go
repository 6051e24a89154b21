package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Server is a stand-in of a server of a service. It serves a request as Serve says, and rejects
// those that are meant for another one.
type Server struct {
	ID, Service, Address, Zone string
	Slots                      int
	// Serve answers a request that the server runs. It may be nil: the server answers after Work.
	Serve func(writer http.ResponseWriter, request *http.Request, body []byte)
	Work  time.Duration
	// Listener, if it is set before Start, is where the server listens.
	Listener net.Listener

	rig     *Rig
	server  *http.Server
	born    int64
	mutex   sync.Mutex
	running int
	stop    chan struct{}
}

// NewServer returns a server at an address of its own.
func (rig *Rig) NewServer(id, service, zone string, slots int) *Server {
	listener, err := net.Listen("tcp", rig.IP()+":0")
	if err != nil {
		rig.Fail("server: %v", err)
	}
	return &Server{ID: id, Service: service, Zone: zone, Slots: slots, Listener: listener, Address: listener.Addr().String(), rig: rig}
}

// Start begins to serve, and registers the server in the store.
func (server *Server) Start() {
	server.born, server.stop = time.Now().UnixMilli(), make(chan struct{})
	server.server = &http.Server{Handler: server, IdleTimeout: 20 * time.Second}
	go func() { _ = server.server.Serve(server.Listener) }()
	server.rig.closers = append(server.rig.closers, func() { _ = server.server.Close() })
	server.Register("ready")
}

// Register writes the entry of the server.
func (server *Server) Register(state string) {
	server.rig.Store.Put("servers", server.ID, map[string]any{
		"service": server.Service, "address": server.Address, "zone": server.Zone, "version": "1", "slots": server.Slots,
		"state": state, "cold_remaining_ms": 0, "sequence": time.Now().UnixMilli(), "born": server.born,
	})
}

// ServeHTTP answers one request.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	server.mutex.Lock()
	running := server.running
	server.mutex.Unlock()
	header.Set("X-Instance-Id", server.ID)
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, server.Slots))
	header.Set("Keep-Alive", "timeout=20")
	if request.URL.Path == "/health" {
		writer.WriteHeader(http.StatusOK)
		return
	}
	id := request.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if wanted := request.Header.Get("X-Expect-Instance"); wanted != "" && wanted != server.ID {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	server.mutex.Lock()
	isFull := server.running >= server.Slots
	if !isFull {
		server.running++
	}
	server.mutex.Unlock()
	if isFull {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		server.mutex.Lock()
		server.running--
		server.mutex.Unlock()
	}()
	server.rig.Note("server %s runs %s, deadline %s", server.ID, id, request.Header.Get("X-Deadline-Ms"))
	if server.Serve != nil {
		server.Serve(writer, request, body)
		return
	}
	select {
	case <-time.After(server.Work):
	case <-request.Context().Done():
		server.rig.Note("server %s drops %s", server.ID, id)
		return
	}
	Answer(writer, id)
}

// Answer writes a whole, signed answer.
func Answer(writer http.ResponseWriter, id string) {
	body := "done " + id + "\n"
	writer.Header().Set("X-Response-Seal", "seal-"+id)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(writer, body)
}

// Process is a stand-in of a server that runs as a process of its own.
type Process struct {
	ID, Service, Address, Zone string
	Slots                      int

	rig     *Rig
	born    int64
	command *exec.Cmd
	exited  chan struct{}
}

// StartProcess starts a program beside the present one as a server, and registers it. The program
// takes its id and address as flags, besides others.
func (rig *Rig) StartProcess(program, id, service, zone string, slots int, flags ...string) *Process {
	executable, err := os.Executable()
	if err != nil {
		rig.Fail("server: %v", err)
	}
	process := &Process{ID: id, Service: service, Zone: zone, Slots: slots, Address: rig.IP() + ":9000", rig: rig, exited: make(chan struct{})}
	process.command = exec.Command(filepath.Join(filepath.Dir(executable), program), append([]string{"-id", id, "-address", process.Address}, flags...)...)
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := process.command.StdoutPipe()
	if err == nil {
		err = process.command.Start()
	}
	if err != nil {
		rig.Fail("server: %v", err)
	}
	go func() {
		for scanner := bufio.NewScanner(output); scanner.Scan(); {
			rig.Note("%s", scanner.Text())
		}
		_ = process.command.Wait()
		close(process.exited)
	}()
	rig.closers = append(rig.closers, process.Kill)
	for range 100 {
		if conn, err := net.Dial("tcp", process.Address); err == nil {
			_ = conn.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	process.born = time.Now().UnixMilli()
	process.Register("ready")
	return process
}

// Register writes the entry of the server.
func (process *Process) Register(state string) {
	process.rig.Note("the store has %s as %s", process.ID, state)
	process.rig.Store.Put("servers", process.ID, map[string]any{
		"service": process.Service, "address": process.Address, "zone": process.Zone, "version": "1", "slots": process.Slots,
		"state": state, "cold_remaining_ms": 0, "sequence": time.Now().UnixMilli(), "born": process.born,
	})
}

// Remove removes the entry of the server.
func (process *Process) Remove() {
	process.rig.Note("the store has no entry of %s any more", process.ID)
	process.rig.Store.Put("servers", process.ID, nil)
}

// Kill ends the process at once.
func (process *Process) Kill() {
	process.rig.Note("server %s ends", process.ID)
	_ = process.command.Process.Kill()
	<-process.exited
}

// Stop ends the server, and with it its connections.
func (server *Server) Stop() {
	server.rig.Note("server %s ends", server.ID)
	_ = server.server.Close()
}
