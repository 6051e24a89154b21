// Command lockout lets a crowd of clients send small requests without a route again and again to the
// hosts of a small deployment, and looks whether ordinary clients are still let in.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/rig"
)

const (
	// memoryMB is the memory of the machines of the site acmg-ruteo.
	memoryMB = 134
	machines = 2
	// crowd is the number of clients of the crowd at each host, pause the time between two of the
	// requests of each.
	crowd = 1060
	pause = 850 * time.Millisecond
	// ordinary is the number of other clients at each host, and between the time between two of
	// their requests. The first kept of them keep their connection.
	ordinary = 14
	kept     = 4
	between  = 300 * time.Millisecond
	// settle is how long an ordinary client waits after its connection is open until it sends.
	settle = 50 * time.Millisecond
	// stableWindow is the bound stable_window_ms, enough the number of clients that have to try.
	stableWindow = 3 * time.Second
	enough       = 7
	// descriptors is what this process needs for the clients, with room for the servers.
	descriptors = 3000
	duration    = 45 * time.Second
	crowdAfter  = 8 * time.Second
)

// try is what became of a new connection of a client, one of the crowd or another.
type try struct {
	at     time.Time
	client int
	// isTaken is set for an ordinary client unless the host ended the connection before anything was
	// sent, and for one of the crowd if its first request was answered as one without a route.
	isTaken bool
}

// watch is what is seen of a host.
type watch struct {
	host   *rig.Host
	number int
	mutex  sync.Mutex
	tries  []try
	// unready are the times at which the host did not say that it is ready.
	unready []time.Time
	// served and unserved count the requests of ordinary clients, before the crowd comes and with it.
	served, unserved [2]int

	crowdAnswered, crowdEnded atomic.Int64
}

func main() {
	run := rig.New(os.Args[1])
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < descriptors {
		run.Fail("%d descriptors, %v; the case needs %d", limit.Cur, err, descriptors)
	}
	run.Store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "pay", "host": "shop.example", "path_prefix": "/pay/", "kind": "non_idempotent", "timeout_ms": 1500,
			"response_target_ms": 300, "priority": 2, "service": "desk", "max_attempts": 1, "anonymous": true,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for number := range 3 {
		server := run.NewServer(fmt.Sprintf("i-%d", number), "desk", "a", 6)
		server.Work = 20 * time.Millisecond
		server.Start()
	}
	var ips []string
	for range machines {
		ips = append(ips, run.IP())
	}
	bounds := rig.Small
	bounds.MemoryMB = memoryMB
	var watches []*watch
	for number, ip := range ips {
		host := run.NewHost(fmt.Sprintf("front-a-%d", number+1), "a", ip, run.Store.Address, ips, bounds)
		host.Start()
		watches = append(watches, &watch{host: host, number: number})
	}
	for _, watch := range watches {
		watch.host.AwaitReady()
	}
	time.Sleep(stableWindow)
	began := time.Now()
	until, crowdAt := began.Add(duration), began.Add(crowdAfter)
	var group sync.WaitGroup
	for _, watch := range watches {
		group.Go(func() { watch.poll(run, until) })
		for client := range ordinary {
			group.Go(func() { watch.ask(run, client, crowdAt, until) })
		}
		for client := range crowd {
			if run.Trouble {
				group.Go(func() { watch.press(client, crowdAt, until) })
			}
		}
	}
	group.Wait()
	isBroken := false
	for _, watch := range watches {
		longest, clients := watch.longestRefusal()
		run.Say("host %s: ordinary requests before the crowd: %d served, %d not; with it: %d served, %d not; of the crowd %d answered with 404, %d connections ended; not ready at %d polls; %.0f MB",
			watch.host.Name, watch.served[0], watch.unserved[0], watch.served[1], watch.unserved[1],
			watch.crowdAnswered.Load(), watch.crowdEnded.Load(), len(watch.unready), watch.host.AnonymousMB())
		run.Say("host %s: for %.1f s it took no new connection from anybody, while %d clients tried", watch.host.Name, longest.Seconds(), clients)
		isBroken = isBroken || longest >= stableWindow && clients >= enough
	}
	run.Judge(isBroken)
}

// poll asks the host once a second whether it is ready, as the platform does.
func (watch *watch) poll(run *rig.Rig, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Second)
		isReady := watch.host.IsReady()
		run.Note("host %s says that it is ready: %v", watch.host.Name, isReady)
		if !isReady {
			watch.mutex.Lock()
			watch.unready = append(watch.unready, time.Now())
			watch.mutex.Unlock()
		}
	}
}

// press sends small requests to a path without a route, one after the other, on a connection that
// stays open.
func (watch *watch) press(client int, from, until time.Time) {
	time.Sleep(time.Until(from) + time.Duration(client)*time.Millisecond)
	var conn *rig.Conn
	for i := 0; time.Now().Before(until); i++ {
		isNew := conn == nil
		if isNew {
			var err error
			if conn, err = rig.Connect(watch.host.Front); err != nil {
				watch.record(ordinary+client, false)
				time.Sleep(pause)
				continue
			}
		}
		reply := conn.Send(&rig.Request{Method: http.MethodGet, Host: "shop.example", Path: "/none/1", ID: fmt.Sprintf("c%d-%d", client, i), DeadlineMs: 3000})
		if isNew {
			watch.record(ordinary+client, reply.Status == http.StatusNotFound)
		}
		if reply.Status == http.StatusNotFound {
			watch.crowdAnswered.Add(1)
		} else {
			watch.crowdEnded.Add(1)
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(pause)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// ask sends ordinary requests: the first clients on a connection that they keep while the host
// does, the others each on a new one.
func (watch *watch) ask(run *rig.Rig, client int, crowdAt, until time.Time) {
	keeps := client < kept
	// The clients of both hosts don't ask at the same moments.
	time.Sleep(time.Duration(client*machines+watch.number) * between / (ordinary * machines))
	var conn *rig.Conn
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(between)
		if keeps {
			// Its requests are further apart.
			time.Sleep(4 * between)
		}
		phase := 0
		if time.Now().After(crowdAt) {
			phase = 1
		}
		id := fmt.Sprintf("%s-o%d-%d", watch.host.Name, client, i)
		if conn != nil && hasEnded(conn) {
			run.Note("%s: the host has ended the kept connection", id)
			_ = conn.Close()
			conn = nil
		}
		if conn == nil {
			opened, err := rig.Connect(watch.host.Front)
			isTaken := err == nil && !hasEnded(opened)
			watch.record(client, isTaken)
			if !isTaken {
				run.Note("%s: the new connection is ended before anything is sent on it", id)
				watch.count(phase, false)
				if err == nil {
					_ = opened.Close()
				}
				continue
			}
			conn = opened
		}
		reply := conn.Send(&rig.Request{Method: http.MethodPost, Host: "shop.example", Path: "/pay/1", ID: id, DeadlineMs: 1500, Body: "x"})
		run.Note("%s: answered with %d, whole: %v", id, reply.Status, reply.IsComplete)
		watch.count(phase, reply.Status == http.StatusOK && reply.IsComplete)
		if !keeps || reply.Err != nil || reply.Header.Get("Connection") == "close" {
			_ = conn.Close()
			conn = nil
		}
	}
}

// record records what became of a new connection of a client.
func (watch *watch) record(client int, isTaken bool) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.tries = append(watch.tries, try{at: time.Now(), client: client, isTaken: isTaken})
}

func (watch *watch) count(phase int, isServed bool) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if isServed {
		watch.served[phase]++
	} else {
		watch.unserved[phase]++
	}
}

// hasEnded reports whether the host sends something on, or ends, a connection without a request.
func hasEnded(conn *rig.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(settle))
	_, err := conn.Reader.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// longestRefusal returns the longest time for which the host, ready all the while, took no new
// connection, and the number of clients that tried.
func (watch *watch) longestRefusal() (longest time.Duration, clients int) {
	for first := range watch.tries {
		tried := map[int]bool{}
		for _, try := range watch.tries[first:] {
			if try.isTaken || watch.wasUnready(watch.tries[first].at, try.at) {
				break
			}
			tried[try.client] = true
			if lasted := try.at.Sub(watch.tries[first].at); lasted > longest {
				longest, clients = lasted, len(tried)
			}
		}
	}
	return longest, clients
}

func (watch *watch) wasUnready(from, to time.Time) bool {
	for _, at := range watch.unready {
		if at.After(from) && at.Before(to.Add(time.Second)) {
			return true
		}
	}
	return false
}
