package gateway

import (
	"context"
	"time"

	"nutmegfield.example/discovery"
	"nutmegfield.example/exchange"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/timeline"
)

var eventSnapshotFailed = timeline.Define(timeline.Kind{
	Number: 6104, Name: "snapshot request failed", Level: timeline.Info,
	Meaning: "Another host has newer routes or targets, and the request for its snapshot failed.",
})

// objectVersions returns the versions of routes and targets that reports to other
// hosts carry.
func (host *host) objectVersions() exchange.Versions {
	targets := host.targetFollower.State()
	return exchange.Versions{
		Configuration:    host.routes.Version(),
		Verified:         host.routeFollower.VerifiedAt(),
		LastTargetChange: targets.ChangedRevision,
		TargetsRevision:  targets.Revision,
	}
}

// buildSnapshot returns the routes and targets that are newer than the revisions of
// the request, and the names of all targets.
func (host *host) buildSnapshot(known *exchangepb.SnapshotRequest) *exchangepb.Snapshot {
	routes, targets := host.routeFollower.State(), host.targetFollower.State()
	snapshot := &exchangepb.Snapshot{Revision: targets.Revision}
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

// confirmVersion marks the routes in force as verified at a time when another host
// has seen the same version to be the newest.
func (host *host) confirmVersion(version int64, at time.Time) {
	if version > 0 && version == host.routes.Version() {
		host.routeFollower.MarkVerified(at)
	}
}

// requestSnapshot asks a host with newer objects for them, at most once per
// snapshotInterval.
func (host *host) requestSnapshot(address string) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if time.Since(host.snapshotRequestedAt) < snapshotInterval {
		return
	}
	host.snapshotRequestedAt = time.Now()
	go host.fetchSnapshot(address)
}

func (host *host) fetchSnapshot(address string) {
	known := &exchangepb.SnapshotRequest{Targets: host.targetFollower.State().Revision}
	if object, ok := host.routeFollower.State().Objects[host.routes.Name]; ok {
		known.Configuration = object.Revision
	}
	snapshot, err := host.snapshots.Request(context.Background(), address, known)
	if err != nil {
		host.gateway.Events.Record(eventSnapshotFailed, timeline.Event{Peer: address, Detail: err.Error()})
		return
	}
	host.applySnapshot(known.GetTargets(), snapshot)
}

// applySnapshot applies another host's snapshot; its targets are the changes after
// a revision.
func (host *host) applySnapshot(after int64, snapshot *exchangepb.Snapshot) {
	if len(snapshot.GetConfiguration()) > 0 {
		host.routeFollower.Replace(discovery.Listing{Revision: snapshot.GetVersion(), Objects: []discovery.Object{{
			Name: host.routes.Name, Revision: snapshot.GetVersion(), Value: snapshot.GetConfiguration(),
		}}})
	}
	listing := discovery.Listing{Revision: snapshot.GetRevision()}
	for _, entry := range snapshot.GetTargets() {
		listing.Objects = append(listing.Objects, discovery.Object{
			Name: entry.GetName(), Revision: entry.GetRevision(), Value: entry.GetValue(),
		})
	}
	host.targetFollower.ApplyDelta(after, listing, snapshot.GetNames())
}
