package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"
)

// deployment is the store, the servers and the hosts of a case.
type deployment struct {
	root, folder, network string
	record                *record
	reservation           net.Listener
	store                 *store
	hosts                 []*host
	servers               []*server
}

func newDeployment(root string, record *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	network, reservation, err := reserveNetwork()
	if err != nil {
		return nil, err
	}
	deployment := &deployment{root: root, folder: folder, network: network, reservation: reservation, record: record}
	deployment.store, err = startStore(deployment.network + ".200:0")
	if err != nil {
		return nil, err
	}
	return deployment, nil
}

// ip returns the address of a host or server.
func (deployment *deployment) ip(number int) string {
	return deployment.network + "." + strconv.Itoa(number)
}

// seeds returns the control addresses of the first hosts.
func (deployment *deployment) seeds(numbers ...int) []string {
	var seeds []string
	for _, number := range numbers {
		seeds = append(seeds, deployment.ip(number)+":8229")
	}
	return seeds
}

// startHost starts a host and waits until it is ready.
func (deployment *deployment) startHost(options hostOptions) (*host, error) {
	storeAddress, err := deployment.store.listen(deployment.ip(200) + ":0")
	if err != nil {
		return nil, err
	}
	host, err := newHost(deployment, options, storeAddress)
	if err != nil {
		return nil, err
	}
	if err := host.start(deployment); err != nil {
		return nil, err
	}
	deployment.hosts = append(deployment.hosts, host)
	return host, nil
}

func (deployment *deployment) waitReady() error {
	for _, host := range deployment.hosts {
		if err := host.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes that the case started.
func (deployment *deployment) close() {
	for _, host := range deployment.hosts {
		host.stop()
	}
	for _, server := range deployment.servers {
		server.close()
	}
	_ = deployment.store.server.Close()
	_ = deployment.reservation.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.folder)
	} else {
		fmt.Println("kept", deployment.folder)
	}
}
