package exchange

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/balance"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/origin"
)

// maxBeginningBytes is the size of a datagram for one stream: a host that begins six streams
// a second, and tells three others of each, may send 2,000 bytes a second for control.
const maxBeginningBytes = 2000 / (6 * 3)

// TestOriginsReachOtherHosts checks that hosts tell each other of streams and ask, in small
// datagrams, and that a host which is not heard is answered but not believed.
func TestOriginsReachOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		names := []string{"10.10.100.100:7600", "10.10.100.101:7600", "10.10.100.102:7600", "10.10.100.103:7600", "10.10.100.104:7600"}
		hosts := map[string]*Exchange{}
		var mutex sync.Mutex
		largest := 0
		for _, name := range names {
			hosts[name] = network.start(t, name, func(host *Exchange) {
				host.Origins = &origin.Origins{
					Members: func() []string { return host.Members().Others }, Send: host.SendOrigins, Events: host.Events,
					Known: host.KnownPeers, KeepsMarks: func() bool { return false },
				}
				send := host.Send
				host.Send = func(address string, datagram []byte) {
					mutex.Lock()
					if datagram[0] == originsMarker {
						largest = max(largest, len(datagram)+datagramOverhead)
					}
					mutex.Unlock()
					send(address, datagram)
				}
				host.Origins.SetTargets([]balance.Target{{Pool: "p", Version: "v1"}, {Pool: "p", Version: "v2"}})
			}, names...)
		}
		time.Sleep(2 * time.Second)
		version := balance.NewVersionID("p", "v1")
		hosts[names[0]].Origins.RecordBegin(origin.NewStream("s"), "p", version)
		time.Sleep(100 * time.Millisecond)
		mutex.Lock()
		t.Logf("%d bytes", largest)
		c.Assert(largest <= maxBeginningBytes, qt.IsTrue, qt.Commentf("%d bytes", largest))
		mutex.Unlock()
		for _, name := range names {
			c.Assert(hosts[name].Origins.Find(t.Context(), "r", "s", "p"), qt.Equals, version)
			c.Assert(hosts[name].Origins.Find(t.Context(), "r", "other", "p"), qt.Equals, balance.VersionID(0))
		}

		receive := func(message *exchangepb.Origins) {
			encoded, err := proto.Marshal(message)
			c.Assert(err, qt.IsNil)
			hosts[names[1]].Receive(append([]byte{originsMarker}, encoded...))
		}
		stranger := uint64(origin.NewStream("stranger"))
		receive(&exchangepb.Origins{Address: "x", Beginnings: []*exchangepb.Beginning{{Stream: stranger, Version: 7}}})
		receive(&exchangepb.Origins{Address: names[2], Beginnings: make([]*exchangepb.Beginning, maxReceivedOriginItems+1)})
		hosts[names[1]].Receive([]byte{originsMarker, 0xff})
		c.Assert(hosts[names[1]].Origins.Find(t.Context(), "r", "stranger", "p"), qt.Equals, balance.VersionID(0))
		events := hosts[names[1]].Events.Events()
		rejected := 0
		for i := range events {
			if events[i].Number == 6108 {
				rejected++
			}
		}
		c.Assert(rejected, qt.Equals, 3)
	})
}

// originStore keeps the marks of a test's hosts, and counts calls.
type originStore struct {
	mutex      sync.Mutex
	written    map[string][]byte
	calls      int
	turnedAway map[string]bool
}

func (store *originStore) withLock(edit func()) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	edit()
}

// call counts a call of a host. The caller holds the mutex.
func (store *originStore) call(host string) error {
	store.calls++
	if store.turnedAway[host] {
		return errors.New("turned away")
	}
	return nil
}

// marks returns the calls of a host.
func (store *originStore) marks(host string) origin.Marks {
	return origin.Marks{
		List: func(context.Context) (map[string][]byte, error) {
			store.mutex.Lock()
			defer store.mutex.Unlock()
			return maps.Clone(store.written), store.call(host)
		},
		Save: func(_ context.Context, name string, value []byte) error {
			store.mutex.Lock()
			defer store.mutex.Unlock()
			if err := store.call(host); err != nil {
				return err
			}
			store.written[name] = value
			return nil
		},
	}
}

// startOriginHosts starts nine hosts with targets. They end with the test.
func startOriginHosts(t *testing.T, targets ...balance.Target) (store *originStore, names []string, hosts []*Exchange) {
	network := newNetwork()
	store = &originStore{written: map[string][]byte{}, turnedAway: map[string]bool{}}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for i := range 9 {
		names = append(names, fmt.Sprintf("10.10.100.10%d:7600", i))
	}
	for _, name := range names {
		hosts = append(hosts, network.start(t, name, func(host *Exchange) {
			host.Origins = &origin.Origins{
				Members: func() []string { return host.Members().Others }, Send: host.SendOrigins, Events: host.Events,
				Known: host.KnownPeers, KeepsMarks: func() bool { return host.Leads(1) }, Turn: host.Succession, Marks: store.marks(name),
			}
			host.Origins.SetTargets(targets)
			go func() { _ = host.Origins.RunHistory(ctx) }()
			go func() { _ = host.Origins.Run(ctx) }()
		}, names...))
	}
	return store, names, hosts
}

// TestOneHostWritesTheHistory guards against hosts that write the history of versions each for itself,
// and against a history that nobody writes as the platform turns the first hosts away.
func TestOneHostWritesTheHistory(t *testing.T) {
	for _, targets := range [][]balance.Target{{{Pool: "p", Version: "v1"}}, nil} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			store, names, _ := startOriginHosts(t, targets...)
			time.Sleep(61 * time.Second)
			store.withLock(func() {
				// A list and a write each ten seconds.
				c.Check(store.calls <= 14, qt.IsTrue, qt.Commentf("%d calls with %d targets", store.calls, len(targets)))
				c.Check(len(store.written), qt.Equals, 1)
				clear(store.written)
				for _, name := range names[:3] {
					store.turnedAway[name] = true
				}
			})
			time.Sleep(13 * time.Second)
			store.withLock(func() { c.Check(len(store.written), qt.Equals, 1) })
		})
	}
}

// TestMarksOfHostsTurnedAway guards against a mark of several versions that nobody writes as the platform
// turns the first hosts away, and against one that all hosts write.
func TestMarksOfHostsTurnedAway(t *testing.T) {
	for _, turnedAway := range []int{0, 3, 8} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			store, names, hosts := startOriginHosts(t, balance.Target{Pool: "p", Version: "v1"})
			time.Sleep(8 * time.Second)
			store.withLock(func() {
				clear(store.written)
				store.calls = 0
				for _, name := range names[:turnedAway] {
					store.turnedAway[name] = true
				}
			})
			for _, host := range hosts {
				host.Origins.SetTargets([]balance.Target{{Pool: "p", Version: "v1"}, {Pool: "p", Version: "v2"}})
			}
			time.Sleep(time.Duration(turnedAway+1)*200*time.Millisecond + 300*time.Millisecond)
			store.withLock(func() {
				c.Check(store.written["p"], qt.IsNotNil, qt.Commentf("%d turned away", turnedAway))
				// A mark, a list and a history; those turned away try for the mark and the list, and some twice.
				c.Check(store.calls <= 3+3*turnedAway, qt.IsTrue, qt.Commentf("%d calls, %d turned away", store.calls, turnedAway))
			})
		})
	}
}
