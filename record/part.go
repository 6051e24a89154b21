package record

import (
	"time"

	"nutmegfield.example/kernel"
	"nutmegfield.example/objects"
	"nutmegfield.example/once"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
)

// defaultRetention applies until a configuration is loaded.
const defaultRetention = 24 * time.Hour

func init() {
	kernel.Register(kernel.Plugin{Name: "records", Rank: kernel.RankRecords, New: newPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	client, err := kernel.Require[objects.Client](host)
	if err != nil {
		return nil, err
	}
	profiles, err := kernel.Require[profile.Store](host)
	if err != nil {
		return nil, err
	}
	links, err := kernel.Require[peer.Links](host)
	if err != nil {
		return nil, err
	}
	store := newStore(&objectStore{client: client}, func() time.Duration {
		if snapshot := profiles.Current(); snapshot != nil {
			return snapshot.Configuration.Limits.RecordRetention
		}
		return defaultRetention
	})
	forwarder := &Forwarder{Members: links.Members, Store: store, Send: links.Send}
	store.Forward = forwarder.Forward
	links.OnEnvelope(forwarder.Receive)
	kernel.Provide(host, store)
	return &kernel.Part{}, nil
}

func newStore(objectStore *objectStore, retention func() time.Duration) *once.Store {
	store := &once.Store{}
	for index := range once.RangeCount {
		store.Ranges = append(store.Ranges, &once.KeyRange{
			Name:          once.RangeName(index),
			Read:          objectStore.read,
			Write:         objectStore.write,
			Remove:        objectStore.remove,
			Retention:     retention,
			WriteInterval: once.WriteInterval,
		})
	}
	return store
}
