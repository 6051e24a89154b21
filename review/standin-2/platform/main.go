// Command standin-2 plays the cases of the second review: it starts hosts as separate processes
// between stand-ins of the platform's store, of servers and of clients on loopback addresses.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// runTime limits a case.
const runTime = 110 * time.Second

// deployment is a small deployment.
type deployment struct {
	root, folder string
	record       *record
	store        *store
	storeAddress string
	hosts        []*host
	servers      []*targetServer
	// hasTrouble is unset for a run without the disruption.
	hasTrouble bool
}

var cases = map[string]func(*deployment) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER, in the repository")
		os.Exit(failed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*deployment) (int, error), folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	work, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	root, _ := os.Getwd()
	deployment := &deployment{root: root, folder: work, record: record, hasTrouble: os.Getenv("TROUBLE") != "0"}
	defer deployment.end()
	type outcome struct {
		result int
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		result, err := play(deployment)
		done <- outcome{result, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := outcome{failed, fmt.Errorf("the case did not end in time")}
	select {
	case result = <-done:
	case <-time.After(runTime):
	case <-signals:
	}
	if result.err != nil {
		record.add("the case could not run: %v", result.err)
		fmt.Fprintln(os.Stderr, result.err)
		return failed
	}
	word := map[int]string{held: "held", broken: "BROKEN"}[result.result]
	record.add("the rule was %s", word)
	fmt.Println("the rule was", word)
	return result.result
}

// end ends all processes and servers.
func (deployment *deployment) end() {
	for _, host := range deployment.hosts {
		host.kill()
	}
	for _, server := range deployment.servers {
		server.end()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println(deployment.folder)
		return
	}
	_ = os.RemoveAll(deployment.folder)
}

// startStore starts the store with a configuration.
func (deployment *deployment) startStore(configuration any) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	deployment.store, deployment.storeAddress = newStore(), listener.Addr().String()
	go func() { _ = http.Serve(listener, deployment.store) }()
	deployment.store.put("config", "main", configuration)
	return nil
}

// addServer starts a server.
func (deployment *deployment) addServer(server *targetServer) error {
	server.record, server.store, server.version = deployment.record, deployment.store, "v1"
	deployment.servers = append(deployment.servers, server)
	return server.start("127.0.0.1:0")
}

// startHosts starts hosts in zones, each at an address of its own, and waits until they are
// ready.
func (deployment *deployment) startHosts(zones ...string) error {
	// Other cases may run beside this one.
	network := fmt.Sprintf("127.%d.%d", 32+os.Getpid()>>8%192, os.Getpid()&255)
	ports, err := freePorts(network+".1", 4)
	if err != nil {
		return err
	}
	for i, zone := range zones {
		deployment.hosts = append(deployment.hosts, &host{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s.%d", network, i+1),
			front: ports[0], ready: ports[1], peers: ports[2], operatorPort: ports[3],
		})
	}
	for _, host := range deployment.hosts {
		if err := deployment.startHost(host); err != nil {
			return err
		}
	}
	for _, host := range deployment.hosts {
		if !host.awaitReady(15 * time.Second) {
			hasEnded, reason := host.hasEnded()
			return fmt.Errorf("host %s does not get ready, has ended: %t %s; its last line: %s", host.name, hasEnded, reason, host.lastLine())
		}
	}
	// The hosts hear of each other.
	time.Sleep(3 * time.Second)
	return nil
}

// freePorts returns ports that are free at an address.
func freePorts(address string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", address+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// frontAddress returns the address at which a host serves clients.
func (host *host) frontAddress() string { return fmt.Sprintf("%s:%d", host.ip, host.front) }

// configuration is that of a small deployment: two routes for streams of a pool of model servers,
// and two for a plain service.
func configuration(version int) map[string]any {
	route := func(name, path, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "path_prefix": path, "kind": kind, "timeout_ms": timeout, "response_target_ms": target,
			"priority": 0, "service": service, "max_attempts": attempts, "anonymous": false,
		}
	}
	draft := route("design-draft", "/draft/", "streaming", "nutmeg-pool", 15000, 600, 2)
	draft["session_affinity"], draft["stream_resume"], draft["gap_target_ms"] = true, true, 400
	advice := route("fit-advice", "/advice/", "streaming", "nutmeg-pool", 12000, 400, 1)
	advice["session_affinity"], advice["stream_resume"], advice["gap_target_ms"] = true, false, 400
	return map[string]any{
		"version": version,
		"routes": []any{
			draft, advice,
			route("order-confirm", "/confirm/", "non_idempotent", "order-desk", 1500, 300, 1),
			route("status-check", "/status/", "idempotent", "order-desk", 1500, 300, 2),
		},
		"services": []any{
			map[string]any{"name": "nutmeg-pool", "health_path": "/health", "connection_limit": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 14, "kv_tokens": 864756, "kv_token_bytes": 35136, "link_mbps": 260000.0, "moves": true, "backups": true, "stride": eventTokens,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "order-desk", "health_path": "/health", "connection_limit": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "api_keys": []string{apiKey}, "unit": "token_count", "plain_tokens": 200, "rate_per_s": 289549, "burst": 289549,
		}},
	}
}
