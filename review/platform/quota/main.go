// Command quota starts hosts whose seeds are all down, and looks at how much of a tenant's quota
// they use together.
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
	rate, burst = 40000, 40000
	tokens      = 5000
	window      = 8 * time.Second
	overage     = 0.1
	slack       = 140000
	key         = "i9n73hh2b9wu3fexd9dn"
)

type run struct{ sentAt, arrivedAt time.Time }

func main() {
	setup := rig.New(os.Args[1])
	setup.Store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "look", "host": "shop.example", "path_prefix": "/look/", "kind": "idempotent", "timeout_ms": 3000,
			"response_target_ms": 300, "priority": 2, "service": "desk", "max_attempts": 1, "anonymous": false,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "connection_limit": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "api_keys": []string{key}, "priority": 1, "unit": "token_count", "plain_tokens": 200, "rate_per_s": rate, "burst": burst,
		}},
	})
	var mutex sync.Mutex
	sent := map[string]time.Time{}
	var runs []run
	for number := range 4 {
		server := setup.NewServer(fmt.Sprintf("i-%d", number), "desk", "a", 14)
		server.Serve = func(writer http.ResponseWriter, request *http.Request, _ []byte) {
			id := request.Header.Get("X-Request-Id")
			mutex.Lock()
			runs = append(runs, run{sentAt: sent[id], arrivedAt: time.Now()})
			mutex.Unlock()
			time.Sleep(15 * time.Millisecond)
			rig.Answer(writer, id)
		}
		server.Start()
	}
	ips := []string{setup.IP(), setup.IP(), setup.IP()}
	seeds := ips
	if setup.Trouble {
		// Machines that are down.
		seeds = []string{setup.IP(), setup.IP(), setup.IP()}
	}
	var hosts []*rig.Host
	for number, ip := range ips {
		zone := string(rune('a' + number))
		hosts = append(hosts, setup.NewHost("front-"+zone+"-1", zone, ip, setup.Store.Address, seeds, rig.Small))
	}
	for _, host := range hosts {
		host.Start()
	}
	for _, host := range hosts {
		host.AwaitReady()
	}
	until := time.Now().Add(90 * time.Second)
	var group sync.WaitGroup
	for client := range 9 {
		host := hosts[client%len(hosts)]
		group.Go(func() {
			var conn *rig.Conn
			for i := 0; time.Now().Before(until); i++ {
				var err error
				if conn == nil {
					if conn, err = rig.Connect(host.Front); err != nil {
						setup.Fail("connect: %v", err)
					}
				}
				id := fmt.Sprintf("r%d-%d", client, i)
				mutex.Lock()
				sent[id] = time.Now()
				mutex.Unlock()
				reply := conn.Send(&rig.Request{
					Method: http.MethodGet, Host: "shop.example", Path: "/look/1", ID: id, DeadlineMs: 3000,
					Header: []string{"Api-Key: " + key, fmt.Sprintf("X-Token-Usage: %d,%d", tokens-1000, 1000)},
				})
				setup.Note("client %d at %s got status %d for %s", client, host.Name, reply.Status, id)
				if reply.Status == 0 || reply.Header.Get("Connection") == "close" {
					_ = conn.Close()
					conn = nil
				}
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	group.Wait()
	allowed := float64(rate*int(window/time.Second)+burst)*(1+overage) + slack
	most, began := 0.0, time.Time{}
	for _, first := range runs {
		used := 0.0
		for _, other := range runs {
			if !other.sentAt.Before(first.sentAt) && other.arrivedAt.Before(first.sentAt.Add(window)) {
				used += tokens
			}
		}
		if used > most {
			most, began = used, first.sentAt
		}
	}
	setup.Say("%d requests ran; at most %.0f tokens in a window of %s, of %.0f; that window began %s before the end", len(runs), most, window, allowed, time.Until(began)*-1)
	setup.Judge(most > allowed)
}
