package peer_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/peer"
)

// The required load of one host: the limit of its control traffic in bytes per
// second, hosts in a zone, requests per second that enter at the host, pools of a
// zone, and the longest allowed times of a request. segmentOverhead is the size
// of the TCP and IP headers of a segment in bytes.
const (
	maxHostBytes     = 2000
	zoneHosts        = 66
	hostRequests     = 12.1
	modelPools       = 7
	servicePools     = 2
	zonePools        = modelPools + servicePools
	firstToken       = 860 * time.Millisecond
	answerTime       = firstToken + 300*65*time.Millisecond
	serviceTime      = 20 * time.Millisecond
	holdingsInterval = 5 * time.Second
	segmentOverhead  = 52
)

// membershipBytes measures the bytes per second that an idle host sends for the
// membership. They do not depend on the number of hosts; make test checks the
// limit with 330 hosts in TestMembers.
func membershipBytes(t *testing.T) float64 {
	t.Helper()
	var each float64
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(1)
		network.startHosts(zoneHosts)
		time.Sleep(2 * time.Minute)
		network.takeCounts()
		const over = time.Minute
		time.Sleep(over)
		_, bytes := network.takeCounts()
		network.stop()
		each = float64(bytes) / zoneHosts / over.Seconds()
	})
	return each
}

// TestControlBytes checks the sum of a host's control traffic at the required
// load. All hosts are alike and what one sends another receives, so the bytes
// that an average host sends are those in both directions between one entry host
// and the schedulers of its zone.
func TestControlBytes(t *testing.T) {
	const over = 3 * time.Minute
	membership := membershipBytes(t)
	idle := peer.MeasureLink(t, peer.LinkLoad{}, over)
	var table strings.Builder
	fmt.Fprintf(&table, "bytes per second and host: membership %.0f, %d idle pairs of links %.0f, without tickets and grants %.0f\n",
		membership, zonePools, zonePools*idle.Bytes, membership+zonePools*idle.Bytes)
	qt.Check(t, membership+zonePools*idle.Bytes <= maxHostBytes, qt.IsTrue)
	load := peer.LinkLoad{
		Requests: hostRequests / zonePools, Granted: 20 * time.Millisecond,
		OtherGrants: zoneHosts, Holdings: holdingsInterval,
	}
	service := load
	service.FirstToken, service.Total = serviceTime, 2*serviceTime
	services := peer.MeasureLink(t, service, over)
	for _, prefixes := range []int{0, 4, 16} {
		model := load
		model.FirstToken, model.Total, model.Prefixes = firstToken, answerTime, prefixes
		models := peer.MeasureLink(t, model, over)
		model.Holdings = 0
		unlisted := peer.MeasureLink(t, model, over)
		links := modelPools*models.Bytes + servicePools*services.Bytes
		writes := modelPools*models.Writes + servicePools*services.Writes
		sum := membership + links
		fmt.Fprintf(&table, "%2d prefixes: links %.0f, of them lists of models' grants %.0f; sum %.0f of %d; envelopes %.1f, TCP and IP headers with acknowledgements at most %.0f\n",
			prefixes, links, modelPools*(models.Bytes-unlisted.Bytes), sum, maxHostBytes,
			modelPools*models.Envelopes+servicePools*services.Envelopes, 2*segmentOverhead*writes)
		t.Run(fmt.Sprint("prefixes", prefixes), func(t *testing.T) {
			qt.Check(t, sum <= maxHostBytes, qt.IsTrue, qt.Commentf("%.0f bytes per second", sum))
		})
	}
	t.Log("\n" + table.String())
}
