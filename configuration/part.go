package configuration

import (
	"nutmegfield.example/kernel"
	"nutmegfield.example/objects"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "configuration", Rank: kernel.RankConfiguration, New: newStorePart})
	kernel.Register(kernel.Plugin{Name: "configuration relay", Rank: kernel.RankPeers + 1, New: newRelayPart})
}

func newStorePart(host *kernel.Host) (*kernel.Part, error) {
	kernel.Provide(host, &profile.Store{Events: host.Events})
	return &kernel.Part{}, nil
}

func newRelayPart(host *kernel.Host) (*kernel.Part, error) {
	store, err := kernel.Require[profile.Store](host)
	if err != nil {
		return nil, err
	}
	api, err := kernel.Require[objects.API](host)
	if err != nil {
		return nil, err
	}
	members, err := kernel.Require[peer.Members](host)
	if err != nil {
		return nil, err
	}
	links, err := kernel.Require[peer.Links](host)
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
	// Without RegisteredNames the relay accepts any names of policies and
	// protocols.
	if registeredNames, err := kernel.Require[profile.RegisteredNames](host); err == nil {
		relay.RegisteredNames = *registeredNames
	}
	links.OnEnvelope(relay.Receive)
	members.OnVersion(relay.ObserveVersion)
	store.Listen(func(snapshot *profile.Snapshot) { members.SetVersion(snapshot.Version) })
	return &kernel.Part{Run: relay.Run}, nil
}
