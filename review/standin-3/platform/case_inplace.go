package main

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["in-place"] = inPlaceCase }

// crash ends the server's process: nothing listens any more, and its connections end.
func (server *server) crash() {
	server.mutex.Lock()
	conns := server.conns
	server.conns = map[net.Conn]bool{}
	server.isSilent = true
	server.mutex.Unlock()
	_ = server.listener.Close()
	for conn := range conns {
		_ = conn.Close()
	}
}

// startAgain starts the server again under its id, at its address, with a version.
func (server *server) startAgain(version string) error {
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		return fmt.Errorf("start the server again: %w", err)
	}
	server.mutex.Lock()
	server.listener, server.version, server.sequence, server.isSilent = listener, version, 0, false
	server.born = time.Now().UnixMilli()
	server.mutex.Unlock()
	go server.accept()
	server.writeEntry()
	return nil
}

// inPlaceCase lets the only model server end, and start again under its id with a new version. With trouble
// the store is down meanwhile, so that the entry of the server is old.
func inPlaceCase(deployment *deployment, withTrouble bool) (int, error) {
	const events, gap = 64, 150 * time.Millisecond
	record := deployment.record
	server, err := deployment.startServer(101, modelPool, "kyushu-a", 14, versionedStream(events, gap))
	if err != nil {
		return notRun, err
	}
	deployment.store.put("config", "main", configuration(7))
	for i, zone := range []string{"kyushu-a", "kyushu-b", "kyushu-c"} {
		options := hostOptions{number: i + 1, zone: zone, memory: 284, descriptors: 4100, seeds: deployment.seeds(1, 2, 3)}
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
	time.Sleep(time.Second)
	if withTrouble {
		record.say("the store is down")
		deployment.store.leave()
	}
	time.Sleep(300 * time.Millisecond)
	server.crash()
	record.say("server %s of version v1 ends", server.id)
	time.Sleep(time.Second)
	if err := server.startAgain("v2"); err != nil {
		return notRun, err
	}
	record.say("server %s starts again, with version v2", server.id)
	time.Sleep(3200 * time.Millisecond)
	if withTrouble {
		deployment.store.resume()
		record.say("the store is back after 4.5 s")
	}
	<-ended
	return judge(record, clients)
}
