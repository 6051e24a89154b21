package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["drain"] = playDrain }

// playDrain stops a host while a client uses a kept connection: a draft that began before the
// SIGTERM ends some 3.2 s after it, and the client sends its next request over the connection: an
// advice of the usual 49 events, on a route whose last answers were shorter. It may not be resumed.
func playDrain(deployment *deployment) (int, error) {
	if err := deployment.startStore(configuration(1)); err != nil {
		return failed, err
	}
	for i := range 4 {
		zone := fmt.Sprintf("kyushu-%c", 'a'+i%2)
		pool := &targetServer{id: fmt.Sprintf("i-pool%d", i), service: "nutmeg-pool", zone: zone, slots: 14, isEngine: true, interval: 100 * time.Millisecond}
		if err := deployment.addServer(pool); err != nil {
			return failed, err
		}
	}
	if err := deployment.startHosts("kyushu-a", "kyushu-b"); err != nil {
		return failed, err
	}
	host := deployment.hosts[0]
	// Short answers on the route.
	for i := range 8 {
		client, err := dial(fmt.Sprintf("usual-%d", i), host.frontAddress(), deployment.record)
		if err != nil {
			return failed, err
		}
		answer := client.send(&call{method: http.MethodPost, path: "/advice/2f", id: newID(), usage: "628,48", deadline: 12 * time.Second, body: "advice"})
		client.close()
		if answer.status != http.StatusOK || !answer.complete {
			return failed, fmt.Errorf("an advice before the trouble has status %d", answer.status)
		}
	}
	client, err := dial("kept", host.frontAddress(), deployment.record)
	if err != nil {
		return failed, err
	}
	defer client.close()
	var stoppedAt time.Time
	timer := time.AfterFunc(300*time.Millisecond, func() {
		if stoppedAt = time.Now(); deployment.hasTrouble {
			deployment.record.add("the platform sends SIGTERM to host %s", host.name)
			host.signal(syscall.SIGTERM)
		}
	})
	defer timer.Stop()
	draft := client.send(&call{method: http.MethodPost, path: "/draft/2f", id: newID(), usage: "6610,204", deadline: 15 * time.Second, body: "draft"})
	if draft.status != http.StatusOK || !draft.complete || draft.events() != 34 {
		return failed, fmt.Errorf("the answer across the SIGTERM has status %d and %d events: %v", draft.status, draft.events(), draft.err)
	}
	long := client.send(&call{method: http.MethodPost, path: "/advice/2f", id: newID(), usage: "628,294", deadline: 12 * time.Second, body: "advice"})
	sinceStop := long.sentAt.Sub(stoppedAt)
	deployment.record.add("the advice was sent %.3f s after the SIGTERM; status %d, complete %t, %d of 49 events", sinceStop.Seconds(), long.status, long.complete, long.events())
	if sinceStop <= 3*time.Second {
		return failed, fmt.Errorf("the advice was sent %s after the SIGTERM", sinceStop)
	}
	switch {
	case long.status == 0 && !deployment.hasTrouble:
		return failed, fmt.Errorf("the connection ended without trouble: %v", long.err)
	case long.status == 0:
		// The request crossed the close of an idle connection.
		return held, nil
	case !long.complete:
		return broken, nil
	default:
		return held, nil
	}
}
