package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/balance"
	"nutmegfield.example/discovery"
	"nutmegfield.example/exchange"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/quarantine"
	"nutmegfield.example/quota"
	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
)

// narrowLink is a host's link, whose bandwidth all of its connections share.
type narrowLink struct {
	// bandwidth is in bytes a second.
	bandwidth float64

	mutex     sync.Mutex
	busyUntil time.Time
}

// narrowPacketBytes is what one connection sends before the next one has its turn.
const narrowPacketBytes = 1400

// transfer waits until the link has carried a packet.
func (narrowLink *narrowLink) transfer(bytes int) {
	narrowLink.mutex.Lock()
	now := time.Now()
	if narrowLink.busyUntil.Before(now) {
		narrowLink.busyUntil = now
	}
	narrowLink.busyUntil = narrowLink.busyUntil.Add(time.Duration(float64(bytes) / narrowLink.bandwidth * float64(time.Second)))
	until := narrowLink.busyUntil
	narrowLink.mutex.Unlock()
	time.Sleep(time.Until(until))
}

// narrowConn is the far end of a connection over a narrow link.
type narrowConn struct {
	net.Conn
	link *narrowLink
}

func (narrowConn *narrowConn) Write(bytes []byte) (int, error) {
	written := 0
	for written < len(bytes) {
		packet := bytes[written:min(len(bytes), written+narrowPacketBytes)]
		narrowConn.link.transfer(len(packet))
		n, err := narrowConn.Conn.Write(packet)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// pipeListener accepts the far ends of pipes.
type pipeListener struct{ conns chan net.Conn }

func (pipeListener *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-pipeListener.conns
	if !ok {
		return nil, errors.New("closed")
	}
	return conn, nil
}

func (pipeListener *pipeListener) Close() error   { return nil }
func (pipeListener *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// newRoutesHost returns a host without connections that has a version of the routes, none
// for 0.
func newRoutesHost(version byte, size int) *host {
	events := &timeline.Recorder{}
	host := &host{gateway: &Gateway{Events: events}}
	host.routes = &discovery.Routes{
		Name: "main", Events: events, OnChange: func(*route.Table) {},
		Decode: func(value []byte) (*route.Configuration, error) {
			return &route.Configuration{Version: int64(value[0])}, nil
		},
	}
	host.routeFollower = &discovery.Follower{Events: events, Outage: &discovery.Outage{}, OnChange: host.routes.Apply}
	host.targetFollower = &discovery.Follower{OnChange: func(discovery.State) {}}
	host.exchange = &exchange.Exchange{
		Host: "own", Address: "own", Events: events, Balancer: &balance.Balancer{}, Ledger: &quota.Ledger{}, Suspects: &quarantine.Suspects{},
		Versions: host.objectVersions, OnVerified: host.confirmVersion, OnNewerVersion: host.requestSnapshot,
	}
	host.exchange.Ledger.Interval = host.exchange.Interval
	if version > 0 {
		value := make([]byte, size)
		value[0] = version
		host.routeFollower.Replace(discovery.Listing{
			Revision: int64(version), Objects: []discovery.Object{{Name: "main", Revision: int64(version), Value: value}},
		})
	}
	return host
}

// TestLargeRoutesOverANarrowLink guards against a host that keeps old routes as long as others
// report newer ones: requests for a snapshot that began before the last one had ended shared
// the link, and none was complete in time.
func TestLargeRoutesOverANarrowLink(t *testing.T) {
	const (
		routesBytes    = 450_000
		reportInterval = 50 * time.Millisecond
		within         = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		newer := newRoutesHost(13, routesBytes)
		listener := &pipeListener{conns: make(chan net.Conn)}
		server := &exchange.Snapshots{Build: newer.buildSnapshot}
		var group sync.WaitGroup
		group.Go(func() { c.Check(server.Serve(ctx, listener), qt.IsNil) })

		older := newRoutesHost(10, 1)
		link := &narrowLink{bandwidth: 10e6 / 8}
		older.snapshots = &exchange.Snapshots{
			Build: func(*exchangepb.SnapshotRequest) *exchangepb.Snapshot { return nil },
			Dial: func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				listener.conns <- &narrowConn{Conn: far, link: link}
				return near, nil
			},
		}
		for begun := time.Now(); older.routes.Version() != 13 && time.Since(begun) < within; {
			older.requestSnapshot("newer")
			time.Sleep(reportInterval)
		}
		c.Check(older.routes.Version(), qt.Equals, int64(13))
		cancel()
		time.Sleep(time.Minute)
		close(listener.conns)
		group.Wait()
	})
}

// TestNewerRoutesOfASilentHost guards against a host that waits for the routes of another one
// which reports newer ones but gives out none.
func TestNewerRoutesOfASilentHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := newRoutesHost(10, 1)
		host.routeFollower.Source.List = func(context.Context) (discovery.Listing, error) {
			return discovery.Listing{Revision: 13, Objects: []discovery.Object{{Name: "main", Revision: 13, Value: []byte{13}}}}, nil
		}
		host.snapshots = &exchange.Snapshots{
			Dial: func(context.Context, string, string) (net.Conn, error) {
				near, _ := net.Pipe()
				return near, nil
			},
		}
		report, err := proto.Marshal(&exchangepb.Report{Host: "b", Address: "b", Life: 1, Sequence: 1, Configuration: 13})
		c.Assert(err, qt.IsNil)
		host.exchange.Receive(report)
		time.Sleep(2 * time.Second)
		c.Assert(host.routes.Version(), qt.Equals, int64(13))
	})
}
