package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["witness"] = playWitness }

// startTwoServices starts two services of model servers, a plain one, and two hosts. The routes for
// streams go to the first one.
func startTwoServices(deployment *deployment) (first []*targetServer, err error) {
	if err := deployment.startStore(configuration(1)); err != nil {
		return nil, err
	}
	for i := range 4 {
		zone := fmt.Sprintf("kyushu-%c", 'a'+i%2)
		pool := &targetServer{id: fmt.Sprintf("i-pool%d", i), service: "nutmeg-pool", zone: zone, slots: 14, queue: 84, isEngine: true, interval: 75 * time.Millisecond}
		next := &targetServer{id: fmt.Sprintf("i-next%d", i), service: "nutmeg-pool-2", zone: zone, slots: 14, queue: 84, isEngine: true, interval: 75 * time.Millisecond}
		desk := &targetServer{id: fmt.Sprintf("i-desk%d", i), service: "order-desk", zone: zone, slots: 6, queue: 24, work: 60 * time.Millisecond}
		first = append(first, pool)
		for _, added := range []*targetServer{pool, next, desk} {
			if err := deployment.addServer(added); err != nil {
				return nil, err
			}
		}
	}
	return first, deployment.startHosts("kyushu-a", "kyushu-b")
}

// dropService writes version 2, which moves the routes of the first service to the second one and
// drops the first. It is in force when the store accepts it.
func dropService(deployment *deployment) {
	second := configuration(2)
	for _, route := range second["routes"].([]any) {
		if route := route.(map[string]any); route["service"] == "nutmeg-pool" {
			route["service"] = "nutmeg-pool-2"
		}
	}
	second["services"].([]any)[0].(map[string]any)["name"] = "nutmeg-pool-2"
	deployment.store.put("config", "main", second)
	deployment.record.add("the store has accepted version 2: the routes of nutmeg-pool go to nutmeg-pool-2, and nutmeg-pool, which no route uses any more, is dropped")
}

// startStreams lets clients of a host take streams of 1.5 s, one after the other, until stop is
// closed.
func (deployment *deployment) startStreams(host *host, clients int, stop <-chan struct{}) *sync.WaitGroup {
	group := &sync.WaitGroup{}
	for i := range clients {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				client, err := dial(fmt.Sprintf("stream-%d", i), host.frontAddress(), deployment.record)
				if err != nil {
					return
				}
				client.send(&call{method: http.MethodPost, path: "/draft/2f", id: newID(), usage: fmt.Sprintf("628,%d", 20*eventTokens), deadline: 12 * time.Second, body: "prompt"})
				client.close()
			}
		})
	}
	return group
}

// playWitness drops a service while a host looks whether the server of an answer without a length
// has outlived it. The idle connections to that server have gone silent before; new ones work. Half
// of the servers send one in 20 answers so. Clients send orders over kept connections meanwhile.
func playWitness(deployment *deployment) (int, error) {
	first, err := startTwoServices(deployment)
	if err != nil {
		return failed, err
	}
	garbling, unframed := first[:2], make(chan *targetServer, 64)
	for _, server := range garbling {
		server.onUnframed = func() { unframed <- server }
	}
	host, stop := deployment.hosts[0], make(chan struct{})
	streams := deployment.startStreams(host, 16, stop)
	orders := deployment.startOrders(deployment.hosts[:1], 20, 3*time.Second, 20*time.Millisecond)
	time.Sleep(3 * time.Second)
	watched, err := awaitUnframed(garbling, unframed)
	if err == nil && deployment.hasTrouble {
		// The answer takes 1.5 s.
		time.Sleep(500 * time.Millisecond)
		deployment.record.add("%d idle connections to server %s go silent; new ones work", watched.silence(), watched.id)
		time.Sleep(2 * time.Second)
		dropService(deployment)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	sent := orders.end()
	if err != nil {
		return failed, err
	}
	ran := []string{}
	for _, server := range deployment.servers {
		ran = append(ran, server.arrived()...)
	}
	slices.Sort(ran)
	lost := 0
	for _, order := range sent {
		if _, hasRun := slices.BinarySearch(ran, order.id); hasRun && order.isKept && order.answer.status == 0 {
			lost++
			deployment.record.add("order %s was passed on to a server, and its connection was closed without an answer", order.id)
		}
	}
	hasEnded, reason := host.hasEnded()
	deployment.record.add("of %d orders %d that were passed on from kept connections to sound servers got no answer; the host's process has ended: %t %s", len(sent), lost, hasEnded, reason)
	streams.Wait()
	if lost > 3 {
		return broken, nil
	}
	return held, nil
}
