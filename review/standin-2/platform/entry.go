package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["entry"] = playEntry }

const (
	// drainTime is drain_ms of the deployment.
	drainTime = 2 * time.Second
	// foreignAfterDrain is when the other writer puts its entry after the report, and
	// lastsAfterDrain how long the leaving server serves after it.
	foreignAfterDrain = drainTime + 500*time.Millisecond
	lastsAfterDrain   = drainTime + time.Second
)

// playEntry lets a server of a plain service leave. Between two of its writes another writer puts
// an entry under its id that lacks fields, so that it names no server to use. Clients send orders
// all the while; none that is sent later than drain_ms after the report may reach the server.
func playEntry(deployment *deployment) (int, error) {
	if err := deployment.startStore(configuration(1)); err != nil {
		return failed, err
	}
	var leaving *targetServer
	for i := range 4 {
		desk := &targetServer{id: fmt.Sprintf("i-desk%d", i), service: "order-desk", zone: fmt.Sprintf("kyushu-%c", 'a'+i%2), slots: 6, queue: 24, work: 60 * time.Millisecond}
		if err := deployment.addServer(desk); err != nil {
			return failed, err
		}
		leaving = desk
	}
	if err := deployment.startHosts("kyushu-a", "kyushu-b"); err != nil {
		return failed, err
	}
	var group sync.WaitGroup
	stop := make(chan struct{})
	var mutex sync.Mutex
	sent := map[string]time.Time{}
	statuses, served := map[int]int{}, map[string]bool{}
	for i := range 12 {
		host := deployment.hosts[i%2]
		group.Go(func() {
			client, err := dial(fmt.Sprintf("client-%d", i), host.frontAddress(), deployment.record)
			if err != nil {
				return
			}
			defer func() { client.close() }()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				call := &call{method: http.MethodPost, path: "/confirm/2f", id: newID(), deadline: 600 * time.Millisecond, body: "order"}
				mutex.Lock()
				sent[call.id] = time.Now()
				mutex.Unlock()
				answer := client.send(call)
				mutex.Lock()
				statuses[answer.status]++
				served[call.id] = answer.status == http.StatusOK && answer.complete
				mutex.Unlock()
				if answer.err != nil {
					client.close()
					if client, err = dial(client.name, host.frontAddress(), deployment.record); err != nil {
						return
					}
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	acknowledged := leaving.drain()
	deployment.record.add("server %s reports that it is draining, and the store has accepted that", leaving.id)
	time.Sleep(time.Until(acknowledged.Add(foreignAfterDrain)))
	if deployment.hasTrouble {
		deployment.record.add("another writer puts an entry without zone, version, born, cold_remaining_ms and sequence at servers/%s", leaving.id)
		deployment.store.put("servers", leaving.id, map[string]any{
			"service": leaving.service, "address": leaving.address, "slots": leaving.slots, "state": "ready",
		})
	}
	time.Sleep(time.Until(acknowledged.Add(lastsAfterDrain)))
	deployment.store.remove("servers", leaving.id)
	leaving.end()
	deployment.record.add("server %s ends, and its entry is removed", leaving.id)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	group.Wait()
	late, lost := 0, 0
	for _, id := range leaving.arrived() {
		if at := sent[id]; at.After(acknowledged.Add(drainTime)) {
			late++
			if !served[id] {
				lost++
			}
		}
	}
	deployment.record.add("%d orders that were sent over %s after the report reached the leaving server; %d of them were lost with it; answers by status: %v", late, drainTime, lost, statuses)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
