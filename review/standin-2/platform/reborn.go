package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["reborn"] = playReborn }

const (
	// garbleTime is how long servers send answers without a length; maxGarbles limits the times.
	garbleTime = 5 * time.Second
	maxGarbles = 6
)

// playReborn cuts off a server of a plain service while it sends an answer without a length. Behind
// the cut the server crashes and starts again under its id. When it is reached again, what it had
// sent arrives, and the end of the connection. Half of the servers send one in 20 answers so.
func playReborn(deployment *deployment) (int, error) {
	if err := deployment.startStore(configuration(1)); err != nil {
		return failed, err
	}
	links := map[string]*proxy{}
	defer func() {
		for _, link := range links {
			link.close()
		}
	}()
	unframed, half := make(chan *targetServer, 64), make(chan *targetServer, 64)
	for i := range 4 {
		desk := &targetServer{
			id: fmt.Sprintf("i-desk%d", i), service: "order-desk", zone: fmt.Sprintf("kyushu-%c", 'a'+i%2), slots: 6, queue: 24,
			work: 60 * time.Millisecond, keepAlive: time.Second,
		}
		var once sync.Once
		desk.onUnframed = func() {
			once.Do(func() {
				if deployment.hasTrouble {
					// The answer is not sent yet.
					links[desk.id].cut()
					deployment.record.add("server %s is cut off from all hosts", desk.id)
				}
				unframed <- desk
			})
		}
		desk.onHalf = func() { half <- desk }
		if err := deployment.addLinkedServer(desk, links); err != nil {
			return failed, err
		}
	}
	garbling := deployment.servers[:2]
	if err := deployment.startHosts("kyushu-a", "kyushu-b"); err != nil {
		return failed, err
	}
	orders := deployment.startOrders(deployment.hosts, 8, 3*time.Second, 150*time.Millisecond)
	time.Sleep(2 * time.Second)
	cut, err := awaitUnframed(garbling, unframed)
	if err == nil && deployment.hasTrouble {
		err = deployment.restartBehindCut(cut, links, half)
	}
	time.Sleep(2 * time.Second)
	for _, server := range garbling {
		server.garbles.Store(false)
	}
	time.Sleep(time.Second)
	sent := orders.end()
	if err != nil {
		return failed, err
	}
	short, whole := 0, 0
	for _, order := range sent {
		switch answer := order.answer; {
		case answer.status != http.StatusOK || !answer.sealed || !answer.complete:
		case answer.body != plainBody:
			short++
		default:
			whole++
		}
	}
	deployment.record.add("of %d orders %d were answered 200 by the server's whole body, and %d, complete and with its seal, by another one", len(sent), whole, short)
	if short > 0 {
		return broken, nil
	}
	return held, nil
}

// awaitUnframed lets servers send answers without a length until one has begun. Those of the
// first such server go on to.
func awaitUnframed(garbling []*targetServer, unframed <-chan *targetServer) (*targetServer, error) {
	for range maxGarbles {
		for _, server := range garbling {
			server.garbles.Store(true)
		}
		select {
		case server := <-unframed:
			for _, other := range garbling {
				other.garbles.Store(false)
			}
			return server, nil
		case <-time.After(garbleTime):
		}
		for _, server := range garbling {
			server.garbles.Store(false)
		}
		time.Sleep(time.Second)
	}
	return nil, errors.New("no answer without a length has begun")
}

// restartBehindCut crashes a server that is cut off when it has sent half of a body, and starts it
// again.
func (deployment *deployment) restartBehindCut(server *targetServer, links map[string]*proxy, half <-chan *targetServer) error {
	<-half
	server.end()
	deployment.record.add("server %s crashes, in the middle of its answer", server.id)
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
