// Command memory sends requests with long ids, which are within the limit for a head, to the hosts of
// a small deployment, and ends a host that takes more memory than its machine has, as the platform
// does.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/rig"
)

const (
	// memoryMB is the memory of the machines of the site acmg-ruteo, headerBytes the limit that
	// configurations set for a head.
	memoryMB    = 134
	headerBytes = 16384
	machines    = 2
	// crowd is the number of connections that send long heads to a host, pause the time between
	// two of them.
	crowd = 200
	pause = 200 * time.Millisecond
	// ends is how often a process may not end on each of two machines, by the rule.
	ends     = 3
	duration = 85 * time.Second
	restart  = 500 * time.Millisecond
)

func main() {
	run := rig.New(os.Args[1])
	run.Store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "look", "host": "shop.example", "path_prefix": "/look/", "kind": "idempotent", "timeout_ms": 3000,
			"response_target_ms": 300, "priority": 2, "service": "desk", "max_attempts": 2, "anonymous": true,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": headerBytes, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for number := range 3 {
		server := run.NewServer(fmt.Sprintf("i-%d", number), "desk", "a", 6)
		server.Serve = func(writer http.ResponseWriter, request *http.Request, _ []byte) {
			time.Sleep(5 * time.Millisecond)
			rig.Answer(writer, request.Header.Get("X-Request-Id"))
		}
		server.Start()
	}
	var ips []string
	for range machines {
		ips = append(ips, run.IP())
	}
	bounds := rig.Small
	bounds.MemoryMB = memoryMB
	var hosts []*rig.Host
	for number, ip := range ips {
		zone := string(rune('a' + number))
		hosts = append(hosts, run.NewHost("front-"+zone+"-1", zone, ip, run.Store.Address, ips, bounds))
	}
	for _, host := range hosts {
		host.Start()
	}
	for _, host := range hosts {
		host.AwaitReady()
	}
	time.Sleep(time.Second)
	until := time.Now().Add(duration)
	var sent, served, unserved atomic.Int64
	var group sync.WaitGroup
	for _, host := range hosts {
		for client := range crowd {
			group.Go(func() { press(run, host, client, until, &sent) })
		}
		group.Go(func() { ask(host, until, &served, &unserved) })
	}
	over := make([]int, machines)
	most := 0.0
	for time.Now().Before(until) {
		time.Sleep(100 * time.Millisecond)
		isBroken := true
		for number, host := range hosts {
			megabytes := host.AnonymousMB()
			most = max(most, megabytes)
			if megabytes > memoryMB || host.HasEnded() {
				run.Note("host %s holds %.0f MB of %d: %s", host.Name, megabytes, memoryMB, host.Memory())
				over[number]++
				host.Kill()
				time.Sleep(restart)
				host.Start()
			}
			isBroken = isBroken && over[number] >= ends
		}
		if isBroken {
			until = time.Now()
		}
	}
	run.Say("%d heads of the crowd; the processes ended %v times, as they held up to %.0f MB of %d; ordinary requests: %d served, %d not",
		sent.Load(), over, most, memoryMB, served.Load(), unserved.Load())
	run.Judge(min(over[0], over[1]) >= ends)
}

// press sends one request after the other on a connection. They have no route.
func press(run *rig.Rig, host *rig.Host, client int, until time.Time, sent *atomic.Int64) {
	var conn *rig.Conn
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(pause)
		if conn == nil {
			var err error
			if conn, err = rig.Connect(host.Front); err != nil {
				continue
			}
		}
		request := &rig.Request{Method: http.MethodGet, Host: "shop.example", Path: "/none/1", ID: fmt.Sprintf("c%d-%d-", client, i), DeadlineMs: 3000}
		if run.Trouble {
			request.ID += strings.Repeat("x", headerBytes-len(request.Text()))
		}
		reply := conn.Send(request)
		sent.Add(1)
		if i == 0 && client == 0 {
			run.Note("the crowd sends heads of %d bytes; the first one is answered with %d", len(request.Text()), reply.Status)
		}
		if reply.Err != nil || reply.Header.Get("Connection") == "close" {
			_ = conn.Close()
			conn = nil
		}
	}
}

// ask sends ordinary requests.
func ask(host *rig.Host, until time.Time, served, unserved *atomic.Int64) {
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(100 * time.Millisecond)
		conn, err := rig.Connect(host.Front)
		if err != nil {
			unserved.Add(1)
			continue
		}
		reply := conn.Send(&rig.Request{Method: http.MethodGet, Host: "shop.example", Path: "/look/1", ID: fmt.Sprintf("o%d", i), DeadlineMs: 3000})
		_ = conn.Close()
		if reply.Status == http.StatusOK && reply.IsComplete {
			served.Add(1)
		} else {
			unserved.Add(1)
		}
	}
}
