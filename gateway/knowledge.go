package gateway

import (
	"context"
	"time"

	"nutmegfield.example/discovery"
	"nutmegfield.example/exchange"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/timeline"
)

var eventAskFailed = timeline.Define(timeline.Kind{
	Number: 6104, Name: "snapshot not had", Level: timeline.Info,
	Meaning: "Another host knows newer routes or targets, and could not be asked for them.",
})

// knowledge is what the other hosts hear of this one's.
func (host *host) knowledge() exchange.Versions {
	targets := host.targetFollower.State()
	return exchange.Versions{
		Configuration:    host.routes.Version(),
		Verified:         host.routeFollower.Verified(),
		LastTargetChange: targets.Changed,
		TargetsRevision:  targets.At,
	}
}

// snapshot is what another host gets that asks.
func (host *host) snapshot(known *exchangepb.SnapshotRequest) *exchangepb.Snapshot {
	routes, targets := host.routeFollower.State(), host.targetFollower.State()
	snapshot := &exchangepb.Snapshot{Revision: targets.At}
	if object, ok := routes.Objects[host.routes.Name]; ok && object.Revision > known.GetConfiguration() {
		snapshot.Version = object.Revision
		snapshot.Configuration = object.Value
	}
	for _, object := range targets.Objects {
		snapshot.Names = append(snapshot.Names, object.Name)
		if object.Revision > known.GetTargets() {
			snapshot.Targets = append(snapshot.Targets, &exchangepb.TargetEntry{
				Name: object.Name, Value: object.Value, Revision: object.Revision,
			})
		}
	}
	return snapshot
}

// verify takes another host's word that the routes in force were the newest.
func (host *host) verify(version int64, at time.Time) {
	if version > 0 && version == host.routes.Version() {
		host.routeFollower.Verify(at)
	}
}

// newer asks a host that knows more than this one, one at a time.
func (host *host) newer(address string) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if time.Since(host.asked) < askInterval {
		return
	}
	host.asked = time.Now()
	go host.ask(address)
}

func (host *host) ask(address string) {
	known := &exchangepb.SnapshotRequest{Targets: host.targetFollower.State().At}
	if object, ok := host.routeFollower.State().Objects[host.routes.Name]; ok {
		known.Configuration = object.Revision
	}
	snapshot, err := host.snapshots.Request(context.Background(), address, known)
	if err != nil {
		host.gateway.Events.Record(eventAskFailed, timeline.Event{Peer: address, Detail: err.Error()})
		return
	}
	host.adopt(known.GetTargets(), snapshot)
}

// adopt takes what another host knows beyond a revision of the targets.
func (host *host) adopt(after int64, snapshot *exchangepb.Snapshot) {
	if len(snapshot.GetConfiguration()) > 0 {
		host.routeFollower.Replace(discovery.Listing{At: snapshot.GetVersion(), Objects: []discovery.Object{{
			Name: host.routes.Name, Revision: snapshot.GetVersion(), Value: snapshot.GetConfiguration(),
		}}})
	}
	listing := discovery.Listing{At: snapshot.GetRevision()}
	for _, entry := range snapshot.GetTargets() {
		listing.Objects = append(listing.Objects, discovery.Object{
			Name: entry.GetName(), Revision: entry.GetRevision(), Value: entry.GetValue(),
		})
	}
	host.targetFollower.Update(after, listing, snapshot.GetNames())
}
