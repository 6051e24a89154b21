// Command leaving lets model servers leave after their drain, while some of their streams have no
// length, and looks for streams that seem complete to their clients and are not.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"review/rig"
)

const (
	servers = 12
	slots   = 14
	// leaving servers are half of them, which is the share of a release.
	leaving = servers / 2
	// events and interval are those of a stream of 12 s.
	events   = 60
	interval = 200 * time.Millisecond
	// stay is how long a server serves after the store has accepted that it drains: drain_ms and
	// a little longer.
	stay = 2300 * time.Millisecond
)

func main() {
	run := rig.New(os.Args[1])
	run.Store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "draft", "host": "shop.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 15000,
			"response_target_ms": 600, "gap_target_ms": 400, "priority": 0, "service": "pool", "max_attempts": 2, "anonymous": true,
			"session_affinity": true, "stream_resume": true,
		}},
		"services": []any{map[string]any{"name": "pool", "health_path": "/health", "connection_limit": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	start := func(number int) *rig.Process {
		// Half of the servers send one in 20 answers without a length.
		unframed := 0
		if number%2 == 0 {
			unframed = 20
		}
		return run.StartProcess("server", fmt.Sprintf("i-%d", number), "pool", "a", slots, "-interval", interval.String(),
			"-events", fmt.Sprint(events), "-unframed", fmt.Sprint(unframed), "-first", "4")
	}
	var processes []*rig.Process
	for number := range servers {
		processes = append(processes, start(number))
	}
	ip := run.IP()
	host := run.NewHost("front-a-1", "a", ip, run.Store.Address, []string{ip}, rig.Small)
	host.Start()
	host.AwaitReady()
	time.Sleep(2 * time.Second)
	var mutex sync.Mutex
	counts := map[string]int{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for client := range servers * slots * 9 / 10 {
		group.Go(func() {
			time.Sleep(time.Duration(client) * 20 * time.Millisecond)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("r%d-%d", client, i)
				result := ask(run, host, id)
				mutex.Lock()
				counts[result]++
				mutex.Unlock()
				if strings.HasPrefix(result, "refused") {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(14 * time.Second)
	for number := range leaving {
		// The new server starts first, the old one drains.
		start(servers + number)
		if run.Trouble {
			processes[number].Register("draining")
			time.AfterFunc(stay, func() {
				processes[number].Remove()
				processes[number].Kill()
			})
		}
		time.Sleep(2500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	run.Say("%v", counts)
	run.Judge(counts["seems complete and is not"] > 0)
}

// ask sends one request and returns what came of it.
func ask(run *rig.Rig, host *rig.Host, id string) string {
	conn, err := rig.Connect(host.Front)
	if err != nil {
		run.Fail("connect: %v", err)
	}
	defer func() { _ = conn.Close() }()
	reply := conn.Send(&rig.Request{
		Method: http.MethodPost, Host: "shop.example", Path: "/draft/1", ID: id, DeadlineMs: 15000, Body: "draft",
		Header: []string{"X-Model: m", "X-Token-Usage: 1460,360", "X-Prompt-Prefix: 5c1e07a2:60," + fmt.Sprintf("%x", id) + ":1400"},
	})
	pieces := strings.Count(reply.Body, "data: piece")
	run.Note("client of %s got status %d, %d of %d pieces, complete: %v", id, reply.Status, pieces, events, reply.IsComplete)
	switch {
	case reply.Status == http.StatusOK && reply.IsComplete && pieces < events:
		return "seems complete and is not"
	case reply.Status == http.StatusOK && reply.IsComplete:
		return "complete"
	case reply.Status == http.StatusOK:
		return "broken off"
	default:
		return fmt.Sprintf("refused with %d", reply.Status)
	}
}
