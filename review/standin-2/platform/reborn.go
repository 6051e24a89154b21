package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["reborn"] = playReborn }

// quietTime is the time without orders before the trouble.
const quietTime = 9 * time.Second

// playReborn cuts off a server of a plain service while it sends an answer without a length. Behind
// the cut the server crashes and starts again under its id. When it is reached again, what it had
// sent arrives, and the end of the connection.
func playReborn(deployment *deployment) (int, error) {
	if err := deployment.startStore(configuration(1)); err != nil {
		return failed, err
	}
	links := map[string]*proxy{}
	for i := range 4 {
		desk := &targetServer{
			id: fmt.Sprintf("i-desk%d", i), service: "order-desk", zone: fmt.Sprintf("kyushu-%c", 'a'+i%2), slots: 6, queue: 24,
			work: 60 * time.Millisecond, isUnframed: true, pause: 200 * time.Millisecond,
		}
		if err := deployment.addLinkedServer(desk, links); err != nil {
			return failed, err
		}
	}
	defer func() {
		for _, link := range links {
			link.close()
		}
	}()
	if err := deployment.startHosts("kyushu-a", "kyushu-b"); err != nil {
		return failed, err
	}
	host := deployment.hosts[0]
	order := func(name string) *answer {
		client, err := dial(name, host.frontAddress(), deployment.record)
		if err != nil {
			return &answer{err: err}
		}
		defer client.close()
		return client.send(&call{method: http.MethodPost, path: "/confirm/2f", id: newID(), deadline: 3 * time.Second, body: "order"})
	}
	for i := range 8 {
		if answer := order(fmt.Sprintf("usual-%d", i)); answer.status != http.StatusOK || answer.body != plainBody {
			return failed, fmt.Errorf("an order before the trouble has status %d and %d bytes: %v", answer.status, len(answer.body), answer.err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	// A quiet time, after which the host keeps no connection to the servers.
	time.Sleep(quietTime)
	var group sync.WaitGroup
	answers := make([]*answer, 4)
	ranBefore := map[string]int{}
	for _, server := range deployment.servers {
		ranBefore[server.id] = len(server.arrived())
	}
	for i := range answers {
		group.Go(func() { answers[i] = order(fmt.Sprintf("client-%d", i)) })
	}
	time.Sleep(30 * time.Millisecond)
	if deployment.hasTrouble {
		// A server that runs an order.
		busy := slices.IndexFunc(deployment.servers, func(server *targetServer) bool {
			return len(server.arrived()) > ranBefore[server.id]
		})
		if busy < 0 {
			return failed, errors.New("no server runs the orders")
		}
		if err := deployment.restartBehindCut(deployment.servers[busy], links); err != nil {
			return failed, err
		}
	}
	group.Wait()
	short := 0
	for _, answer := range answers {
		if answer.status == http.StatusOK && answer.sealed && answer.complete && answer.body != plainBody {
			short++
		}
	}
	deployment.record.add("%d of %d orders were answered 200, complete and with the server's seal, by a body that is not the server's whole one of %d bytes", short, len(answers), len(plainBody))
	if short > 0 {
		return broken, nil
	}
	return held, nil
}

// restartBehindCut cuts the link to a server, which crashes meanwhile and starts again.
func (deployment *deployment) restartBehindCut(server *targetServer, links map[string]*proxy) error {
	links[server.id].cut()
	deployment.record.add("server %s is cut off from all hosts", server.id)
	time.Sleep(120 * time.Millisecond)
	server.end()
	deployment.record.add("server %s crashes, in the middle of its answers", server.id)
	time.Sleep(600 * time.Millisecond)
	again, err := server.startAgain()
	if err != nil {
		return err
	}
	deployment.servers = append(deployment.servers, again)
	deployment.record.add("server %s has started again under its id", server.id)
	time.Sleep(500 * time.Millisecond)
	links[server.id].heal()
	deployment.record.add("the hosts reach server %s again", server.id)
	return nil
}

// addLinkedServer starts a server behind a link of its own.
func (deployment *deployment) addLinkedServer(server *targetServer, links map[string]*proxy) error {
	ports, err := freePorts("127.0.0.1", 1)
	if err != nil {
		return err
	}
	address := fmt.Sprintf("127.0.0.1:%d", ports[0])
	link, err := newProxy(address)
	if err != nil {
		return err
	}
	links[server.id], server.link = link, link.address()
	server.record, server.store, server.version = deployment.record, deployment.store, "v1"
	deployment.servers = append(deployment.servers, server)
	return server.start(address)
}
