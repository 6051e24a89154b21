package status

import (
	"nutmegfield.example/kernel"
	"nutmegfield.example/objects"
	"nutmegfield.example/peer"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "status", Rank: kernel.RankPeers + 2, New: newPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	api, err := kernel.Require[objects.API](host)
	if err != nil {
		return nil, err
	}
	members, err := kernel.Require[peer.Members](host)
	if err != nil {
		return nil, err
	}
	writer := &Writer{API: *api, Members: members}
	members.OnVersion(writer.RecordVersion)
	return &kernel.Part{Run: writer.Run}, nil
}
