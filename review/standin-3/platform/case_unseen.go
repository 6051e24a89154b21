package main

import (
	"syscall"
	"time"
)

func init() { cases["unseen"] = unseenCase }

// unseenCase replaces the only model server by one of a new version. With trouble all hosts are killed
// and away for 1 s meanwhile, so that none of them sees both versions.
func unseenCase(deployment *deployment, withTrouble bool) (int, error) {
	const events, gap = 64, 150 * time.Millisecond
	record := deployment.record
	old, err := deployment.startServer(101, modelPool, "kyushu-a", 14, versionedStream(events, gap))
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
		record.say("all hosts are killed")
		for _, host := range deployment.hosts {
			host.signal(syscall.SIGKILL)
			<-host.ended
		}
	}
	time.Sleep(200 * time.Millisecond)
	replacement, err := deployment.startServer(102, modelPool, "kyushu-a", 14, versionedStream(events, gap))
	if err != nil {
		return notRun, err
	}
	replacement.say("v2", "ready")
	record.say("server %s of version v2 is ready", replacement.id)
	time.Sleep(400 * time.Millisecond)
	old.withdraw()
	record.say("the entry of server %s of version v1 is removed; it serves for 9 s more", old.id)
	time.AfterFunc(9*time.Second, old.exit)
	time.Sleep(400 * time.Millisecond)
	if withTrouble {
		record.say("the hosts start again, 1 s after they were killed")
		for _, host := range deployment.hosts {
			if err := host.start(deployment); err != nil {
				return notRun, err
			}
		}
	}
	<-ended
	return judge(record, clients)
}
