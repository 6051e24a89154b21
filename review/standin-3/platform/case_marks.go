package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["restored"] = func(deployment *deployment, withTrouble bool) (int, error) {
		return marksCase(deployment, &marksTrouble{zones: []string{"kyushu-a", "kyushu-b", "kyushu-c"}, isRestored: withTrouble})
	}
	cases["turned-away"] = func(deployment *deployment, withTrouble bool) (int, error) {
		zones := []string{"kyushu-a", "kyushu-a", "kyushu-a", "kyushu-b", "kyushu-b", "kyushu-b", "kyushu-c", "kyushu-c", "kyushu-c"}
		return marksCase(deployment, &marksTrouble{zones: zones, isTurnedAway: withTrouble})
	}
}

// marksTrouble says what happens before all hosts are killed.
type marksTrouble struct {
	// zones are those of the hosts.
	zones []string
	// isRestored: the store comes back from an older copy. isTurnedAway: it turns the first host of each
	// zone away.
	isRestored, isTurnedAway bool
}

// piece is an event of a stream that a client got.
type piece struct {
	id      int
	version string
}

// resumingClient sends one request for a stream, and takes it up after a broken connection, at any
// host, until its deadline.
type resumingClient struct {
	deployment *deployment
	// number is the host that the first attempt goes to.
	number   int
	pieces   []piece
	complete bool
	// began is the attempt that brought the first event, hasBegun is closed then.
	began    string
	hasBegun chan struct{}
}

// streamCount is the number of streams of a case. ORDER is broken by more than allowedMixed of them.
const (
	streamCount  = 8
	allowedMixed = 2
)

// startClients starts the clients, one each 0.2 s. The channel is closed when all have ended.
func startClients(deployment *deployment) (clients []*resumingClient, ended chan struct{}) {
	var group sync.WaitGroup
	for number := range streamCount {
		client := &resumingClient{deployment: deployment, number: number, hasBegun: make(chan struct{})}
		clients = append(clients, client)
		group.Go(func() {
			time.Sleep(time.Duration(number) * 200 * time.Millisecond)
			client.run(15 * time.Second)
		})
	}
	ended = make(chan struct{})
	go func() { group.Wait(); close(ended) }()
	return clients, ended
}

// waitBegun waits until all streams have begun.
func waitBegun(clients []*resumingClient) error {
	timer := time.NewTimer(6 * time.Second)
	defer timer.Stop()
	for _, client := range clients {
		select {
		case <-client.hasBegun:
		case <-timer.C:
			return fmt.Errorf("the stream of client %d has not begun in 6 s", client.number)
		}
	}
	return nil
}

func (client *resumingClient) run(deadline time.Duration) {
	until := time.Now().Add(deadline)
	for attempt := client.number; time.Now().Before(until) && !client.complete; attempt++ {
		host := client.deployment.hosts[attempt%len(client.deployment.hosts)]
		after := client.ask(host, time.Until(until))
		time.Sleep(min(after, time.Until(until)/3))
	}
}

// ask sends one attempt, and returns the time after which the client tries again.
func (client *resumingClient) ask(host *host, left time.Duration) time.Duration {
	const pause = 100 * time.Millisecond
	record := client.deployment.record
	conn, err := net.DialTimeout("tcp", host.front, time.Second)
	if err != nil {
		return pause
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(left))
	id, body := newID(), "prompt "+strconv.Itoa(client.number)
	more := []string{"X-Model: m\r\n", "X-Token-Usage: 1460,400\r\n", fmt.Sprintf("Content-Length: %d\r\n", len(body))}
	last := 0
	if len(client.pieces) > 0 {
		last = client.pieces[len(client.pieces)-1].id
		more = append(more, "Last-Event-Id: "+strconv.Itoa(last)+"\r\n", "Resumes: "+client.began+"\r\n")
	}
	record.add("client %d sends attempt %s to %s, Last-Event-Id %d, Resumes %q", client.number, id, host.name, last, client.began)
	if _, err := io.WriteString(conn, head(http.MethodPost, draftPath, id, left, more...)+body); err != nil {
		return pause
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return pause
	}
	record.add("attempt %s is answered: status %d", id, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil {
			return pause
		}
		return time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewReader(response.Body)
	for current := (piece{}); ; {
		line, err := lines.ReadString('\n')
		line = strings.TrimSpace(line)
		switch {
		case err != nil:
			client.complete = err == io.EOF
			record.add("attempt %s ends after event %d: %v", id, current.id, err)
			return pause
		case strings.HasPrefix(line, "id: "):
			current.id, _ = strconv.Atoi(strings.TrimPrefix(line, "id: "))
		case strings.HasPrefix(line, "data: "):
			current.version = line[strings.LastIndex(line, " ")+1:]
			if len(client.pieces) == 0 {
				client.began = id
				close(client.hasBegun)
			}
			client.pieces = append(client.pieces, current)
			record.add("attempt %s gets event %d: %s", id, current.id, line)
		}
	}
}

// marksCase replaces the only model server by one of a new version. All hosts are killed at once, while
// streams of the old version run.
func marksCase(deployment *deployment, trouble *marksTrouble) (int, error) {
	const events, gap = 80, 150 * time.Millisecond
	record := deployment.record
	old, err := deployment.startServer(101, modelPool, "kyushu-a", 14, versionedStream(events, gap))
	if err != nil {
		return notRun, err
	}
	deployment.store.put("config", "main", configuration(7))
	for i, zone := range trouble.zones {
		options := hostOptions{number: i + 1, zone: zone, memory: 284, descriptors: 4100, seeds: deployment.seeds(1, len(trouble.zones)/3+1, 2*len(trouble.zones)/3+1)}
		if _, err := deployment.startHost(options); err != nil {
			return notRun, err
		}
	}
	if err := deployment.waitReady(); err != nil {
		return notRun, err
	}
	time.Sleep(2 * time.Second)
	clients, ended := startClients(deployment)
	if err := waitBegun(clients); err != nil {
		return notRun, err
	}
	time.Sleep(700 * time.Millisecond)
	copied, copiedAt := deployment.store.copyNow(), time.Now()
	time.Sleep(300 * time.Millisecond)
	if trouble.isTurnedAway {
		var addresses []string
		for i, host := range deployment.hosts {
			if i == 0 || trouble.zones[i] != trouble.zones[i-1] {
				addresses = append(addresses, host.storeAddress)
				record.say("the store turns %s away", host.name)
			}
		}
		deployment.store.turnAway(addresses...)
		time.Sleep(500 * time.Millisecond)
	}
	replacement, err := deployment.startServer(102, modelPool, "kyushu-a", 14, versionedStream(events, gap))
	if err != nil {
		return notRun, err
	}
	replacement.say("v2", "ready")
	record.say("server %s of version v2 is ready", replacement.id)
	time.Sleep(500 * time.Millisecond)
	old.say("v1", "draining")
	record.say("server %s of version v1 is draining", old.id)
	time.Sleep(time.Second)
	record.say("marks in the store: %v", deployment.store.names("versionMarks"))
	if trouble.isRestored {
		deployment.store.leave()
		time.Sleep(500 * time.Millisecond)
		deployment.store.comeBack(copied)
		record.say("the store is back after 0.5 s from a copy that is %.1f s old", time.Since(copiedAt).Seconds())
		// What the operator and the servers wrote is written again.
		deployment.store.put("config", "main", configuration(7))
		old.say("v1", "draining")
		replacement.say("v2", "ready")
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	record.say("marks in the store: %v; all hosts are killed, and start again after 0.5 s", deployment.store.names("versionMarks"))
	deployment.store.turnAway()
	for _, host := range deployment.hosts {
		host.signal(syscall.SIGKILL)
		<-host.ended
	}
	old.exit()
	record.say("server %s of version v1 has ended", old.id)
	time.Sleep(500 * time.Millisecond)
	for _, host := range deployment.hosts {
		if err := host.start(deployment); err != nil {
			return notRun, err
		}
	}
	<-ended
	return judge(record, clients)
}

// judge reports whether more than allowedMixed streams have pieces of two versions, or one lacks or repeats
// a piece.
func judge(record *record, clients []*resumingClient) (int, error) {
	mixed, whole, disordered := 0, 0, 0
	for _, client := range clients {
		if len(client.pieces) == 0 {
			return notRun, fmt.Errorf("client %d got no piece", client.number)
		}
		if client.complete {
			whole++
		}
		for i, piece := range client.pieces {
			if piece.id != i+1 {
				record.say("client %d: piece %d comes after piece %d", client.number, piece.id, i)
				disordered++
				break
			}
			if i > 0 && piece.version != client.pieces[i-1].version {
				record.say("client %d: piece %d is of a run of version %s, piece %d of one of version %s",
					client.number, piece.id, piece.version, i, client.pieces[i-1].version)
				mixed++
				break
			}
		}
	}
	record.say("of %d streams %d are complete, %d hold pieces of two versions", len(clients), whole, mixed)
	if mixed > allowedMixed || disordered > 0 {
		record.say("ORDER is broken")
		return broken, nil
	}
	return held, nil
}
