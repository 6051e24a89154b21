package peer_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"nutmegfield.example/peer"
	"nutmegfield.example/peer/peerpb"
)

// FuzzReceive passes datagrams to a host. It must not panic, must send no
// datagram larger than the limit, and must stay in its own view.
func FuzzReceive(f *testing.F) {
	for kind := range uint32(7) {
		datagram, err := proto.Marshal(&peerpb.Probe{
			Kind: kind, Number: 1, From: "b", Target: "a", ConfigurationVersion: 1,
			Hosts: []*peerpb.Host{
				{Id: "b", Zone: "z", Address: "10.0.0.2:1", Incarnation: 1 << 12, State: 1},
				{Id: "a", Zone: "z", Address: "10.0.0.1:1", Incarnation: 2 << 12, State: 2},
				{Id: "c", Zone: "z", Address: "10.0.0.3:1", Incarnation: 1 << 12, State: kind},
			},
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(datagram)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if len(datagram) > 2400 {
			return
		}
		prober := &peer.Prober{
			Members: &peer.Members{Self: peer.Host{ID: "a", Zone: "z", Address: "10.0.0.1:1", Incarnation: 1}},
			Send: func(_ string, sent []byte) {
				if len(sent) > 1200 {
					t.Errorf("sent %d bytes", len(sent))
				}
			},
		}
		prober.Receive(datagram)
		prober.Receive(datagram)
		if _, ok := prober.Members.View().Find("a"); !ok {
			t.Error("host is not in its own view")
		}
	})
}
