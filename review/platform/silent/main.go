// Command silent lets the open connections of all hosts to the store go silent, takes a key away, and
// looks for requests with that key that still run.
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
	// stableWindow and apply are stable_window_ms and config_apply_ms.
	stableWindow = 3 * time.Second
	apply        = 2 * time.Second
	// asked is how long clients use a key that was taken away.
	asked = 6 * time.Second
	// busy is how long the store answers 503 before, and calm how long it has been stable again
	// when the connections go silent.
	busy = 4 * time.Second
	calm = 5 * time.Second

	taken = "i9n73hh2b9wu3fexd9dn"
	kept  = "n2ctnfzs989anu6wsjnb"
)

func config(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "pay", "host": "shop.example", "path_prefix": "/pay/", "kind": "non_idempotent", "timeout_ms": 3000,
			"response_target_ms": 300, "priority": 2, "service": "desk", "max_attempts": 1, "anonymous": false,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": keys, "priority": 1, "unit": "token_count", "plain_tokens": 200}},
	}
}

func main() {
	run := rig.New(os.Args[1])
	run.Store.Put("config", "main", config(7, taken, kept))
	for number := range 4 {
		run.NewServer(fmt.Sprintf("i-%d", number), "desk", "a", 6).Start()
	}
	ips := []string{run.IP(), run.IP(), run.IP(), run.IP(), run.IP(), run.IP(), run.IP()}
	zones := []string{"a", "a", "b", "b", "c", "c", "d"}
	var hosts []*rig.Host
	var proxies []*rig.Proxy
	for number, ip := range ips {
		proxy := run.NewProxy(run.Store.Address)
		proxies = append(proxies, proxy)
		hosts = append(hosts, run.NewHost(fmt.Sprintf("front-%s-%d", zones[number], number), zones[number], ip, proxy.Address, ips[:3], rig.Small))
	}
	for _, host := range hosts {
		host.Start()
	}
	for _, host := range hosts {
		host.AwaitReady()
	}
	time.Sleep(5 * time.Second)
	var mutex sync.Mutex
	late, latest := 0, time.Duration(0)
	if run.Trouble {
		run.Store.SetBusy(true)
		time.Sleep(busy)
		run.Store.SetBusy(false)
	}
	time.Sleep(calm)
	if run.Trouble {
		for _, proxy := range proxies {
			proxy.Silence()
		}
	}
	silentAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	run.Store.Put("config", "main", config(8, kept))
	takenAt := time.Now()
	run.Note("the store has accepted version 8")
	var group sync.WaitGroup
	for _, host := range hosts {
		group.Go(func() {
			last := time.Duration(0)
			for i := 0; time.Since(takenAt) < asked; i++ {
				time.Sleep(50 * time.Millisecond)
				conn, err := rig.Connect(host.Front)
				if err != nil {
					run.Fail("connect: %v", err)
				}
				sentAt := time.Now()
				reply := conn.Send(&rig.Request{
					Method: http.MethodPost, Host: "shop.example", Path: "/pay/1", ID: fmt.Sprintf("r-%s-%d", host.Name, i), DeadlineMs: 3000,
					Header: []string{"Api-Key: " + taken}, Body: "payment",
				})
				_ = conn.Close()
				run.Note("%s sent %s after the key was taken away: status %d", host.Name, sentAt.Sub(takenAt), reply.Status)
				if reply.Status != http.StatusOK {
					continue
				}
				last = sentAt.Sub(takenAt)
				if last > apply && sentAt.Sub(silentAt) > stableWindow {
					mutex.Lock()
					late++
					latest = max(latest, last)
					mutex.Unlock()
				}
			}
			run.Note("%s served the key until %s after it was taken away", host.Name, last)
		})
	}
	group.Wait()
	run.Say("%d requests ran late, up to %s after their key was taken away", late, latest)
	run.Judge(late > 0)
}
