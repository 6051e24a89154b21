package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// host is a process of the system, started as the deploy file does.
type host struct {
	name, zone, ip                    string
	front, ready, peers, operatorPort int
	settings                          string
	command                           *exec.Cmd
	log                               *os.File
	ended                             chan struct{}
}

// hasEnded reports whether the process has ended, and the first line that the runtime wrote of
// the reason, if it did.
func (host *host) hasEnded() (bool, string) {
	select {
	case <-host.ended:
	default:
		return false, ""
	}
	text, _ := os.ReadFile(host.log.Name())
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") {
			return true, strings.TrimSpace(line)
		}
	}
	return true, host.command.ProcessState.String()
}

// settings returns what the template of the deploy file gives for a machine of a small
// deployment.
func (deployment *deployment) settings(host *host) string {
	seeds := []string{}
	for _, other := range deployment.hosts[:min(3, len(deployment.hosts))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", other.ip, other.peers)))
	}
	return fmt.Sprintf(`host:
  id: %q
  zone: %q
  role: gateway
  memory: 284
  descriptors: 4100
callers:
  listen: "%s:%d"
gateway:
  ready: "%s:%d"
  retries:
    ratio: 0.2
    window: 10s
    spare: 54
  quotas:
    window: 8s
    overage: 0.1
    slack: 140000
peers:
  listen: %s:%d
  seeds: [%s]
  seedPort: %d
  link: 1000.0
operators:
  listen: %s:%d
platform:
  address: http://%s
  routesWithin: 2000ms
  targetsWithin: 2000ms
drain:
  limit: 8s
  notice: 2500ms
`, host.name, host.zone, host.ip, host.front, host.ip, host.ready, host.ip, host.peers, strings.Join(seeds, ","), host.peers,
		host.ip, host.operatorPort, deployment.storeAddress)
}

// startHost starts the process of a host.
func (deployment *deployment) startHost(host *host) error {
	host.settings = filepath.Join(deployment.folder, host.name+".yaml")
	if err := os.WriteFile(host.settings, []byte(deployment.settings(host)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(deployment.folder, host.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(deployment.root, "target", "nutmegfield.example"), "serve")
	command.Dir = deployment.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + deployment.folder, "NUTMEGFIELD_CONFIG=" + host.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startCommand(command); err != nil {
		return err
	}
	host.command, host.log, host.ended = command, log, make(chan struct{})
	ended := host.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	deployment.record.add("host %s starts", host.name)
	return nil
}

// awaitReady waits until the host says that it is ready.
func (host *host) awaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if host.isReady() {
			return true
		}
	}
	return false
}

func (host *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", host.ip, host.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// lastLine returns the last line of the log.
func (host *host) lastLine() string {
	text, _ := os.ReadFile(host.log.Name())
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// signal sends the process a signal.
func (host *host) signal(signal syscall.Signal) { _ = host.command.Process.Signal(signal) }

// kill ends the process.
func (host *host) kill() {
	if host.command == nil {
		return
	}
	_ = host.command.Process.Kill()
	<-host.ended
	_ = host.log.Close()
}

// starting receives the commands that are to be started. Their processes are killed when the
// thread that started them ends, so that this one does not end before the program.
var starting = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starting {
			start()
		}
	}()
}

// startCommand starts a process that does not outlive this program.
func startCommand(command *exec.Cmd) error {
	done := make(chan error)
	starting <- func() { done <- command.Start() }
	return <-done
}
