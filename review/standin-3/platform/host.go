package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// hostOptions are the settings of one host that cases vary.
type hostOptions struct {
	number      int
	zone        string
	memory      int
	descriptors int
	seeds       []string
}

// host is a process of the program, started by the command of the deploy file.
type host struct {
	name, ip, front, ready, peers string
	settings                      string
	command                       *exec.Cmd
	ended                         chan struct{}
	log                           *os.File
	endedWith                     string
	// storeAddress is where the store answers this host.
	storeAddress string
}

var sections = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}.*?\{\{/([^}]+)\}\}\n?`)

// fillTemplate fills the template of the deploy file.
func fillTemplate(text string, values map[string]string) string {
	text = sections.ReplaceAllString(text, "")
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
		text = strings.ReplaceAll(text, "{{"+name+"|json}}", value)
	}
	return text
}

// newHost writes the settings of a host. The address of the store may be that of a proxy.
func newHost(deployment *deployment, options hostOptions, storeAddress string) (*host, error) {
	ip := deployment.ip(options.number)
	name := "front-" + options.zone + "-" + strconv.Itoa(options.number)
	host := &host{
		name: name, ip: ip, front: ip + ":8221", ready: ip + ":8224", peers: ip + ":7600",
		settings: filepath.Join(deployment.folder, name+".yaml"), storeAddress: storeAddress,
	}
	template, err := os.ReadFile(filepath.Join(deployment.root, "deploy/settings.yaml"))
	if err != nil {
		return nil, fmt.Errorf("read the template: %w", err)
	}
	var seeds []string
	for _, seed := range options.seeds {
		seeds = append(seeds, strconv.Quote(seed))
	}
	filled := fillTemplate(string(template), map[string]string{
		"node_name": strconv.Quote(name), "zone": strconv.Quote(options.zone), "ip": ip,
		"limits.memory_mb": strconv.Itoa(options.memory), "limits.file_descriptors": strconv.Itoa(options.descriptors),
		"limits.link_mbps": "1000.0", "listen.front": strconv.Quote(host.front), "listen.ready": strconv.Quote(host.ready),
		"bounds.budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_slack": "54",
		"bounds.quota_window_s": "8", "bounds.quota_overage": "0.1", "bounds.quota_slack": "140000",
		"bounds.config_apply_ms": "2000", "bounds.drain_ms": "2000", "bounds.grace_s": "8",
		"internal_ports.0": "7600", "seeds": "[" + strings.Join(seeds, ",") + "]",
		"platform.address": storeAddress, "heartbeat_ms": "1200",
	})
	if err := os.WriteFile(host.settings, []byte(filled), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return host, nil
}

// start starts the process.
func (host *host) start(deployment *deployment) error {
	log, err := os.OpenFile(strings.TrimSuffix(host.settings, ".yaml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create a log: %w", err)
	}
	command := exec.Command(filepath.Join(deployment.root, "target/nutmegfield.example"), "serve")
	command.Dir = deployment.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "NUTMEGFIELD_CONFIG=" + host.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", host.name, err)
	}
	host.command, host.log, host.ended = command, log, make(chan struct{})
	go func() {
		err := command.Wait()
		host.endedWith = fmt.Sprint(err)
		_ = log.Close()
		close(host.ended)
	}()
	return nil
}

func (host *host) hasEnded() bool {
	select {
	case <-host.ended:
		return true
	default:
		return false
	}
}

func (host *host) signal(signal syscall.Signal) { _ = host.command.Process.Signal(signal) }

// stop kills the process, if it runs.
func (host *host) stop() {
	if host.command == nil || host.hasEnded() {
		return
	}
	_ = host.command.Process.Kill()
	<-host.ended
}

// isReady asks the host whether it is ready, as the platform does.
func (host *host) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + host.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

func (host *host) waitReady(timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if host.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", host.name, timeout)
}

// reservationPort is listened at while a run uses a network, also while its hosts are away.
const reservationPort = "18777"

// reserveNetwork returns the first three numbers of loopback addresses that nobody listens at, and what
// keeps other runs from taking them.
func reserveNetwork() (string, net.Listener, error) {
	for third := 16; third < 250; third++ {
		network := fmt.Sprintf("127.77.%d", third)
		reservation, err := net.Listen("tcp", network+".250:"+reservationPort)
		if err != nil {
			continue
		}
		if isFree(network) {
			return network, reservation, nil
		}
		_ = reservation.Close()
	}
	return "", nil, errors.New("no loopback network is free")
}

// isFree reports whether nobody listens at the ports of hosts.
func isFree(network string) bool {
	for _, port := range []string{"8221", "8224", "7600", "9090"} {
		for number := 1; number <= 12; number++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", network, number, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}
