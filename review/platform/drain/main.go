// Command drain lets servers leave while the store cuts off watches that wait, and looks for requests
// that reach a server later than drain_ms after the store has accepted that it is gone.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"review/rig"
)

const (
	drain = 2 * time.Second
	// stay is how long a server serves after its entry is removed: drain_ms and a little longer.
	stay = drain + 150*time.Millisecond
	// watchLife is how long a watch waits before the store cuts it off.
	watchLife = 600 * time.Millisecond
	// leaving servers are half of them, which is the share of a release.
	servers = 12
	leaving = servers / 2
)

func main() {
	run := rig.New(os.Args[1])
	run.Store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "pay", "host": "shop.example", "path_prefix": "/pay/", "kind": "non_idempotent", "timeout_ms": 3000,
			"response_target_ms": 300, "priority": 2, "service": "desk", "max_attempts": 1, "anonymous": true,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var mutex sync.Mutex
	removedAt := map[string]time.Time{}
	late, total, lost, latest := 0, 0, 0, time.Duration(0)
	newServer := func(number int) *rig.Server {
		server := run.NewServer(fmt.Sprintf("i-%d", number), "desk", "a", 6)
		server.Serve = func(writer http.ResponseWriter, request *http.Request, _ []byte) {
			id := request.Header.Get("X-Request-Id")
			mutex.Lock()
			total++
			if at, ok := removedAt[server.ID]; ok && time.Since(at) > drain {
				late++
				latest = max(latest, time.Since(at))
				run.Note("late: %s reaches %s %s after the store accepted that it is gone", id, server.ID, time.Since(at))
			}
			mutex.Unlock()
			time.Sleep(60 * time.Millisecond)
			rig.Answer(writer, id)
		}
		server.Start()
		return server
	}
	var all []*rig.Server
	for number := range servers {
		all = append(all, newServer(number))
	}
	ips := []string{run.IP(), run.IP(), run.IP()}
	var hosts []*rig.Host
	for number, ip := range ips {
		zone := string(rune('a' + number))
		hosts = append(hosts, run.NewHost("front-"+zone+"-1", zone, ip, run.Store.Address, ips, rig.Small))
	}
	for _, host := range hosts {
		host.Start()
	}
	for _, host := range hosts {
		host.AwaitReady()
	}
	time.Sleep(3 * time.Second)
	if run.Trouble {
		run.Store.CutWatches(watchLife)
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for client := range 24 {
		host := hosts[client%len(hosts)]
		group.Go(func() {
			var conn *rig.Conn
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				var err error
				if conn == nil {
					if conn, err = rig.Connect(host.Front); err != nil {
						run.Fail("connect: %v", err)
					}
				}
				reply := conn.Send(&rig.Request{
					Method: http.MethodPost, Host: "shop.example", Path: "/pay/1", ID: fmt.Sprintf("r%d-%d", client, i), DeadlineMs: 3000, Body: "payment",
				})
				if reply.Status != http.StatusOK {
					run.Note("client %d got for r%d-%d: status %d, %v", client, client, i, reply.Status, reply.Err)
					mutex.Lock()
					lost++
					mutex.Unlock()
				}
				if reply.Status == 0 {
					_ = conn.Close()
					conn = nil
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	for number := range leaving {
		// Another one starts first.
		all = append(all, newServer(len(all)))
		time.Sleep(1400 * time.Millisecond)
		server := all[number]
		mutex.Lock()
		run.Store.Put("servers", server.ID, nil)
		removedAt[server.ID] = time.Now()
		mutex.Unlock()
		run.Note("the store has accepted that %s is gone", server.ID)
		time.AfterFunc(stay, server.Stop)
		time.Sleep(1670 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	run.Say("%d requests ran, %d of them late, by up to %s after the entry was removed; %d were not served", total, late, latest, lost)
	run.Judge(late > 0)
}
