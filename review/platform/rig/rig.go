// Package rig starts the program's gateways between stand-ins of the platform, the servers and
// the clients, all on loopback addresses, and records what was sent, run and answered.
package rig

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// longest is how long a case may take.
const longest = 115 * time.Second

// Rig holds everything that a case started.
type Rig struct {
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	Store   *Store

	root      string
	directory string
	record    *os.File
	began     time.Time
	mutex     sync.Mutex
	hosts     []*Host
	closers   []func()
	addresses int
}

// New prepares a run. The working directory is the root of the repository; the arguments are the
// folder of the case.
func New(folder string) *Rig {
	rig := &Rig{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if rig.root, err = os.Getwd(); err != nil {
		rig.Fail("working directory: %v", err)
	}
	if rig.directory, err = os.MkdirTemp("", "case"); err != nil {
		rig.Fail("temporary folder: %v", err)
	}
	if rig.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		rig.Fail("record: %v", err)
	}
	rig.Note("trouble: %v", rig.Trouble)
	time.AfterFunc(longest, func() { rig.Fail("it takes longer than %s", longest) })
	rig.Store = newStore(rig)
	return rig
}

// Note writes a line to the record.
func (rig *Rig) Note(format string, arguments ...any) {
	rig.mutex.Lock()
	defer rig.mutex.Unlock()
	if rig.record != nil {
		_, _ = fmt.Fprintf(rig.record, "%9.3f %s\n", time.Since(rig.began).Seconds(), fmt.Sprintf(format, arguments...))
	}
}

// Say writes a line to the record and to the standard output.
func (rig *Rig) Say(format string, arguments ...any) {
	fmt.Printf(format+"\n", arguments...)
	rig.Note(format, arguments...)
}

// Fail ends the run, as it can't be done.
func (rig *Rig) Fail(format string, arguments ...any) {
	rig.Say("can't run: "+format, arguments...)
	rig.End(NotRun)
}

// End ends all processes and exits.
func (rig *Rig) End(code int) {
	for _, host := range rig.hosts {
		host.Kill()
	}
	for _, closer := range rig.closers {
		closer()
	}
	if rig.record != nil {
		rig.Note("exit %d", code)
		_ = rig.record.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(rig.directory)
	} else {
		fmt.Println("logs:", rig.directory)
	}
	os.Exit(code)
}

// Judge ends the run by whether the rule was broken.
func (rig *Rig) Judge(isBroken bool) {
	if isBroken {
		rig.End(Broken)
	}
	rig.End(Held)
}

// IP returns a loopback address that nothing else in this run uses.
func (rig *Rig) IP() string {
	rig.addresses++
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+process/250%200, 1+process%250, rig.addresses)
}

// Host is a gateway of the program, which runs as a process.
type Host struct {
	Name, Zone, IP string
	Front, Ready   string
	Peers          string
	// Settings are the lines of its settings file.
	Settings string

	rig     *Rig
	command *exec.Cmd
	exited  chan struct{}
	// IsTold is set if the process was told to end.
	isTold bool
}

// Bounds are the figures of a deployment that the settings of a host hold.
type Bounds struct {
	MemoryMB, Descriptors      int
	BudgetSlack, QuotaSlack    int
	ConfigMs, DrainMs, GraceS  int
	BudgetWindowS, QuotaWindow int
}

// Small are the figures of the site tkk-nutmeg.
var Small = Bounds{
	MemoryMB: 284, Descriptors: 4100, BudgetSlack: 54, QuotaSlack: 140000, ConfigMs: 2000, DrainMs: 2000, GraceS: 8,
	BudgetWindowS: 10, QuotaWindow: 8,
}

// NewHost prepares a host. Its settings are those that deploy/settings.yaml makes of the
// platform's fields. Store is the address at which it reaches the store; seeds are the IP
// addresses of hosts.
func (rig *Rig) NewHost(name, zone, ip, store string, seeds []string, bounds Bounds) *Host {
	host := &Host{Name: name, Zone: zone, IP: ip, Front: ip + ":8221", Ready: ip + ":8224", Peers: ip + ":7600", rig: rig}
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = fmt.Sprintf("%q", seed+":8229")
	}
	host.Settings = fmt.Sprintf(`host:
  id: %q
  zone: %q
  role: gateway
  memory: %d
  descriptors: %d
callers:
  listen: %q
gateway:
  ready: %q
  retries:
    ratio: 0.2
    window: %ds
    spare: %d
  quotas:
    window: %ds
    overage: 0.1
    slack: %d
peers:
  listen: %s
  seeds: [%s]
  seedPort: 7600
  link: 1000
operators:
  listen: %s:9090
platform:
  address: http://%s
  routesWithin: %dms
  targetsWithin: %dms
drain:
  limit: %ds
  notice: 2500ms
`, name, zone, bounds.MemoryMB, bounds.Descriptors, host.Front, host.Ready, bounds.BudgetWindowS, bounds.BudgetSlack,
		bounds.QuotaWindow, bounds.QuotaSlack, host.Peers, strings.Join(quoted, ","), ip, store, bounds.ConfigMs, bounds.DrainMs, bounds.GraceS)
	rig.hosts = append(rig.hosts, host)
	return host
}

// Start starts the process with the command of the deploy file.
func (host *Host) Start() {
	rig := host.rig
	file := filepath.Join(rig.directory, host.Name+".yaml")
	if err := os.WriteFile(file, []byte(host.Settings), 0o600); err != nil {
		rig.Fail("settings: %v", err)
	}
	log, err := os.OpenFile(filepath.Join(rig.directory, host.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		rig.Fail("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(rig.root, "target", "nutmegfield.example"), "serve")
	command.Dir = rig.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "NUTMEGFIELD_CONFIG=" + file}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		rig.Fail("start %s: %v", host.Name, err)
	}
	host.command, host.exited, host.isTold = command, make(chan struct{}), false
	rig.Note("host %s started", host.Name)
	go func(exited chan struct{}) {
		err := command.Wait()
		rig.Note("host %s ended: %v", host.Name, err)
		close(exited)
	}(host.exited)
}

// Process returns the id of the process.
func (host *Host) Process() int { return host.command.Process.Pid }

// HasEnded reports whether the process has ended.
func (host *Host) HasEnded() bool {
	select {
	case <-host.exited:
		return true
	default:
		return false
	}
}

// Exited is closed once the process has ended.
func (host *Host) Exited() <-chan struct{} { return host.exited }

// Signal sends a signal to the process.
func (host *Host) Signal(signal syscall.Signal) {
	if host.command == nil || host.HasEnded() {
		return
	}
	host.rig.Note("host %s gets %v", host.Name, signal)
	_ = host.command.Process.Signal(signal)
}

// Kill ends the process at once.
func (host *Host) Kill() {
	if host.command == nil || host.HasEnded() {
		return
	}
	host.Signal(syscall.SIGKILL)
	<-host.exited
}

// AwaitReady waits until the host says that it is ready.
func (host *Host) AwaitReady() {
	for range 200 {
		if host.IsReady() {
			return
		}
		if host.HasEnded() {
			host.rig.Fail("host %s ended at its start", host.Name)
		}
		time.Sleep(50 * time.Millisecond)
	}
	host.rig.Fail("host %s does not become ready", host.Name)
}

// IsReady asks the host whether it is ready, as the platform does.
func (host *Host) IsReady() bool {
	conn, err := net.DialTimeout("tcp", host.Ready, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(conn, "GET /v1/readiness HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", host.Ready)
	buffer := make([]byte, 64)
	n, _ := conn.Read(buffer)
	return strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200")
}

// AnonymousMB returns the memory of the process in megabytes, without the pages of its program.
func (host *Host) AnonymousMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", host.Process()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes float64
		if n, _ := fmt.Sscanf(line, "RssAnon: %f kB", &kilobytes); n == 1 {
			return kilobytes / 1024
		}
	}
	return 0
}

// Memory returns what the system says of the memory of the process.
func (host *Host) Memory() string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", host.Process()))
	if err != nil {
		return err.Error()
	}
	var fields []string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "VmRSS") || strings.HasPrefix(line, "Rss") {
			fields = append(fields, strings.Join(strings.Fields(line), " "))
		}
	}
	return strings.Join(fields, ", ")
}
