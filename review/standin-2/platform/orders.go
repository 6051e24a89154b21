package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// sentOrder is an order of a client.
type sentOrder struct {
	id string
	// isKept means that the client had got an answer over the connection before.
	isKept bool
	answer *answer
}

// orders are those of clients that send one after the other, each over a connection that it keeps.
type orders struct {
	deployment *deployment
	deadline   time.Duration
	stop       chan struct{}
	group      sync.WaitGroup
	mutex      sync.Mutex
	sent       []sentOrder
}

// restStep is by how much longer each client waits than the one before, so that they don't keep step.
const restStep = 3 * time.Millisecond

// startOrders starts clients, each at a host, that wait for some time between an answer and the
// next order.
func (deployment *deployment) startOrders(hosts []*host, clients int, deadline, rest time.Duration) *orders {
	orders := &orders{deployment: deployment, deadline: deadline, stop: make(chan struct{})}
	for i := range clients {
		host := hosts[i%len(hosts)]
		orders.group.Go(func() { orders.run(fmt.Sprintf("order-%d", i), host, rest+time.Duration(i)*restStep) })
	}
	return orders
}

func (orders *orders) run(name string, host *host, rest time.Duration) {
	for {
		client, err := dial(name, host.frontAddress(), orders.deployment.record)
		if err != nil {
			return
		}
		for isKept := false; ; isKept = true {
			select {
			case <-orders.stop:
				client.close()
				return
			case <-time.After(rest):
			}
			call := &call{method: http.MethodPost, path: "/confirm/2f", id: newID(), deadline: orders.deadline, body: "order"}
			answer := client.send(call)
			orders.mutex.Lock()
			orders.sent = append(orders.sent, sentOrder{id: call.id, isKept: isKept, answer: answer})
			orders.mutex.Unlock()
			if answer.err != nil {
				break
			}
		}
		client.close()
	}
}

// end ends the clients and returns their orders.
func (orders *orders) end() []sentOrder {
	close(orders.stop)
	orders.group.Wait()
	return orders.sent
}
