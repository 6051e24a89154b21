package main

import (
	"fmt"
	"net/http"
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
	orders := deployment.startOrders(deployment.hosts, 20, 3*time.Second, 20*time.Millisecond)
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
	sent := map[string]*answer{}
	for _, order := range orders.end() {
		sent[order.id] = order.answer
	}
	late, lost := 0, 0
	for _, id := range leaving.arrived() {
		if answer := sent[id]; answer.sentAt.After(acknowledged.Add(drainTime)) {
			late++
			if answer.status != http.StatusOK || !answer.complete {
				lost++
			}
		}
	}
	deployment.record.add("%d orders that were sent over %s after the report reached the leaving server; %d of them were lost with it", late, drainTime, lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
