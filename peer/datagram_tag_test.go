package peer

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/peer/peerpb"
)

// TestDatagramWithoutSecretIsRefused checks that if there is a secret, only a
// datagram keyed with it can add a host.
func TestDatagramWithoutSecretIsRefused(t *testing.T) {
	secret := make([]byte, minSecretBytes)
	other := append([]byte{1}, secret[1:]...)
	probe, err := proto.Marshal(&peerpb.Probe{
		Kind: kindPing, Number: 1, From: "stranger",
		Hosts: []*peerpb.Host{{Id: "stranger", Zone: "z", Address: "10.0.0.2:1", Incarnation: 1 << 12, State: uint32(stateAlive)}},
	})
	qt.Assert(t, err, qt.IsNil)
	sealed := func(with []byte) []byte { return (&Prober{Secret: with}).appendTag(append([]byte(nil), probe...)) }
	for name, stranger := range map[string]struct {
		datagram []byte
		secret   []byte
		added    bool
	}{
		"no hash":      {probe, secret, false},
		"short":        {probe[:tagBytes-1], secret, false},
		"other secret": {sealed(other), secret, false},
		"changed":      {append([]byte{probe[0] ^ 1}, sealed(secret)[1:]...), secret, false},
		"same secret":  {sealed(secret), secret, true},
		"no secret":    {probe, nil, true},
	} {
		prober := &Prober{
			Members: &Members{Self: Host{ID: "a", Zone: "z", Address: "10.0.0.1:1", Incarnation: 1}},
			Send:    func(string, []byte) {},
			Secret:  stranger.secret,
		}
		prober.Receive(stranger.datagram)
		qt.Check(t, prober.table.records["stranger"] != nil, qt.Equals, stranger.added, qt.Commentf(name))
	}
}

// TestSecretFile checks the errors for a secret that is too short or can't be
// read.
func TestSecretFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "secret")
	_, err := readSecret(file)
	qt.Check(t, err, qt.ErrorIs, os.ErrNotExist)
	qt.Assert(t, os.WriteFile(file, make([]byte, minSecretBytes-1), 0o600), qt.IsNil)
	_, err = readSecret(file)
	qt.Check(t, Is(err, ShortSecret), qt.IsTrue)
	qt.Assert(t, os.WriteFile(file, make([]byte, minSecretBytes), 0o600), qt.IsNil)
	secret, err := readSecret(file)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, secret, qt.HasLen, minSecretBytes)
	none, err := readSecret("")
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, none, qt.HasLen, 0)
}
