package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["witness"] = playWitness
	cases["dropped"] = playDropped
}

// startTwoServices starts two services of model servers, of which those of the first send answers
// that end with their connections, and two hosts. The routes for streams go to the first one.
func startTwoServices(deployment *deployment) (first []*targetServer, err error) {
	if err := deployment.startStore(configuration(1)); err != nil {
		return nil, err
	}
	for i := range 4 {
		zone := fmt.Sprintf("kyushu-%c", 'a'+i%2)
		pool := &targetServer{id: fmt.Sprintf("i-pool%d", i), service: "nutmeg-pool", zone: zone, slots: 14, queue: 84, isEngine: true, isUnframed: true, interval: 75 * time.Millisecond}
		next := &targetServer{id: fmt.Sprintf("i-next%d", i), service: "nutmeg-pool-2", zone: zone, slots: 14, queue: 84, isEngine: true, interval: 75 * time.Millisecond}
		for _, added := range []*targetServer{pool, next} {
			if err := deployment.addServer(added); err != nil {
				return nil, err
			}
		}
		first = append(first, pool)
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

// keptClients returns clients that have each got an answer over the connection that they keep.
func keptClients(deployment *deployment, name string, count int) ([]*caller, error) {
	var clients []*caller
	for i := range count {
		client, err := dial(fmt.Sprintf("%s-%d", name, i), deployment.hosts[0].frontAddress(), deployment.record)
		if err != nil {
			return nil, err
		}
		clients = append(clients, client)
		if answer := client.send(stream("/draft/2f", 8)); answer.status != http.StatusOK || !answer.complete {
			return nil, fmt.Errorf("an answer before the trouble has status %d, complete %t: %v", answer.status, answer.complete, answer.err)
		}
	}
	return clients, nil
}

// stream returns a request for a stream of some events.
func stream(path string, events int) *call {
	return &call{method: http.MethodPost, path: path, id: newID(), usage: fmt.Sprintf("628,%d", events*eventTokens), deadline: 12 * time.Second, body: "prompt"}
}

// sendAll lets each client send a request, and returns the number of those that got no complete
// answer.
func sendAll(clients []*caller, path string, events int) int {
	var group sync.WaitGroup
	answers := make([]*answer, len(clients))
	for i, client := range clients {
		group.Go(func() { answers[i] = client.send(stream(path, events)) })
	}
	group.Wait()
	lost := 0
	for _, answer := range answers {
		if !answer.complete || answer.status != http.StatusOK || answer.events() != events {
			lost++
		}
	}
	return lost
}

// playWitness drops a service while a host looks whether the server of an answer without a length
// has outlived it. The idle connections to the servers of the service have gone silent before; new
// ones work.
func playWitness(deployment *deployment) (int, error) {
	first, err := startTwoServices(deployment)
	if err != nil {
		return failed, err
	}
	clients, err := keptClients(deployment, "kept", 7)
	if err != nil {
		return failed, err
	}
	var group sync.WaitGroup
	// One answer, during which the idle connections go silent. It takes 1.5 s.
	group.Go(func() { clients[0].send(stream("/advice/2f", 20)) })
	time.Sleep(700 * time.Millisecond)
	if deployment.hasTrouble {
		silenced := 0
		for _, server := range first {
			silenced += server.silence()
		}
		deployment.record.add("%d idle connections to the servers of nutmeg-pool go silent; new ones work", silenced)
	}
	time.Sleep(2 * time.Second)
	if deployment.hasTrouble {
		dropService(deployment)
	}
	time.Sleep(500 * time.Millisecond)
	// Requests that run over three seconds after that.
	lost := sendAll(clients[1:], "/draft/2f", 40)
	group.Wait()
	time.Sleep(time.Second)
	hasEnded, reason := deployment.hosts[0].hasEnded()
	deployment.record.add("%d of %d requests over kept connections to sound servers ended without a complete answer; the host's process has ended: %t %s", lost, len(clients)-1, hasEnded, reason)
	if lost > 3 {
		return broken, nil
	}
	if hasEnded && strings.HasPrefix(reason, "panic") {
		return broken, nil
	}
	return held, nil
}

// playDropped drops a service while its servers send answers without a length.
func playDropped(deployment *deployment) (int, error) {
	if _, err := startTwoServices(deployment); err != nil {
		return failed, err
	}
	clients, err := keptClients(deployment, "kept", 8)
	if err != nil {
		return failed, err
	}
	before := sendAll(clients, "/advice/2f", 30)
	if before > 0 {
		return failed, fmt.Errorf("%d of %d answers before the trouble are not complete", before, len(clients))
	}
	timer := time.AfterFunc(800*time.Millisecond, func() {
		if deployment.hasTrouble {
			dropService(deployment)
		}
	})
	defer timer.Stop()
	// Each takes 2.3 s.
	lost := sendAll(clients, "/advice/2f", 30)
	deployment.record.add("%d of %d answers were cut beside the configuration, %d of %d before", lost, len(clients), before, len(clients))
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
