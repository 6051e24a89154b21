package profile

import (
	"nutmegfield.example/kernel"
	"nutmegfield.example/peer"
	"nutmegfield.example/platform"
)

const (
	// ObjectKind is the kind of the configuration in the platform.
	ObjectKind = "configuration"
	// ObjectName is its name.
	ObjectName = "current"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "configuration", Rank: kernel.RankConfiguration, New: newPart})
	kernel.Register(kernel.Plugin{Name: "configuration relay", Rank: kernel.RankPeers + 1, New: newRelayPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	kernel.Provide(host, &Store{Events: host.Events})
	return &kernel.Part{}, nil
}

func newRelayPart(host *kernel.Host) (*kernel.Part, error) {
	store, err := kernel.Need[Store](host)
	if err != nil {
		return nil, err
	}
	api, err := kernel.Need[platform.API](host)
	if err != nil {
		return nil, err
	}
	members, err := kernel.Need[peer.Members](host)
	if err != nil {
		return nil, err
	}
	links, err := kernel.Need[peer.Links](host)
	if err != nil {
		return nil, err
	}
	relay := &Relay{
		Self:   members.Self,
		Store:  store,
		API:    *api,
		View:   members.View,
		Send:   links.Send,
		Events: host.Events,
	}
	// Names are checked where the program says which it has.
	if known, err := kernel.Need[Known](host); err == nil {
		relay.Known = *known
	}
	links.Receive(relay.Receive)
	members.ListenVersions(relay.Heard)
	store.Listen(func(snapshot *Snapshot) { members.SetVersion(snapshot.Version) })
	return &kernel.Part{Run: relay.Run}, nil
}
