package status

import (
	"nutmegfield.example/kernel"
	"nutmegfield.example/peer"
	"nutmegfield.example/platform"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "status", Rank: kernel.RankPeers + 2, New: newPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	api, err := kernel.Need[platform.API](host)
	if err != nil {
		return nil, err
	}
	members, err := kernel.Need[peer.Members](host)
	if err != nil {
		return nil, err
	}
	writer := &Writer{API: *api, Members: members}
	members.ListenVersions(writer.Heard)
	return &kernel.Part{Run: writer.Run}, nil
}
