package gateway

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/discovery"
	"nutmegfield.example/exchange"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/timeline"
)

// errOlderRoutes means that another host has newer routes.
var errOlderRoutes = errorx.NewNamespace("gateway").NewType("olderRoutes")

var eventSnapshotFailed = timeline.Define(timeline.Kind{
	Number: 6104, Name: "snapshot request failed", Level: timeline.Info,
	Meaning: "Another host has newer routes or targets, and the request for its snapshot failed. If it has newer routes, this host reads them from the platform.",
})

// objectVersions returns the versions of routes and targets that reports to other
// hosts carry.
func (host *host) objectVersions() exchange.Versions {
	targets := host.targetFollower.State()
	return exchange.Versions{
		Configuration:    host.routes.Version(),
		Verified:         host.routeFollower.Verified(),
		LastTargetChange: targets.ChangedRevision,
		TargetsRevision:  targets.Revision,
		TargetsVerified:  host.targetFollower.Verified(),
	}
}

// checkTargets verifies the targets after a read of the routes, by the revision that the
// platform had then: mostly nothing has changed, and they need not be read as well.
func (host *host) checkTargets(revision int64, verification discovery.Verification) {
	// A failed read is recorded, and poll reads them later.
	go func() { _ = host.targetFollower.ReadUnlessAt(context.Background(), revision, verification) }()
}

// buildSnapshot returns the routes and targets that are newer than the revisions of
// the request, and the names of all targets.
func (host *host) buildSnapshot(known *exchangepb.SnapshotRequest) *exchangepb.Snapshot {
	routes, targets := host.routeFollower.State(), host.targetFollower.State()
	snapshot := &exchangepb.Snapshot{Revision: targets.Revision}
	if host.routes.Version() > known.GetRoutesVersion() {
		snapshot.Version = routes.Objects[host.routes.Name].Revision
		snapshot.Configuration = host.routes.Value()
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

// confirmVersion marks the routes in force as verified by a read that found the same version
// to be the newest.
func (host *host) confirmVersion(version int64, verification discovery.Verification) {
	if version > 0 && version == host.routes.Version() {
		host.routeFollower.MarkVerified(verification)
	}
}

// refreshRoutes returns once the routes in force are the newest that this host can know
// of, or an error. The platform's may be older, if it came back from a copy.
func (host *host) refreshRoutes(ctx context.Context) error {
	if err := host.routeFollower.Refresh(ctx); err != nil {
		return err
	}
	if newest := host.exchange.NewestConfiguration(); newest > host.routes.Version() {
		return errOlderRoutes.New("another host has version %d", newest)
	}
	return nil
}

// requestSnapshot asks a host with newer objects for them, at most once per
// snapshotInterval and one host at a time: several transfers of large routes over a narrow
// link would delay each other until none is complete in time.
func (host *host) requestSnapshot(address string) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.isFetchingSnapshot || time.Since(host.snapshotRequestedAt) < snapshotInterval {
		return
	}
	host.snapshotRequestedAt, host.isFetchingSnapshot = time.Now(), true
	go host.fetchSnapshot(address)
}

func (host *host) fetchSnapshot(address string) {
	defer func() {
		host.mutex.Lock()
		defer host.mutex.Unlock()
		host.isFetchingSnapshot = false
	}()
	known := &exchangepb.SnapshotRequest{Targets: host.targetFollower.State().Revision, RoutesVersion: host.routes.Version()}
	snapshot, err := host.snapshots.Request(context.Background(), address, known)
	if err != nil {
		host.gateway.Events.Record(eventSnapshotFailed, timeline.Event{Peer: address, Detail: err.Error()})
		if host.exchange.NewestConfiguration() > host.routes.Version() {
			// A failed read is recorded by the follower.
			_ = host.routeFollower.Refresh(context.Background())
		}
		return
	}
	host.applySnapshot(known.GetTargets(), snapshot)
}

// applySnapshot applies another host's snapshot; its targets are the changes after
// a revision.
func (host *host) applySnapshot(after int64, snapshot *exchangepb.Snapshot) {
	if len(snapshot.GetConfiguration()) > 0 {
		host.routes.Learn(snapshot.GetVersion(), snapshot.GetConfiguration())
		host.routeFollower.Replace(discovery.Listing{Revision: snapshot.GetVersion(), Objects: []discovery.Object{{
			Name: host.routes.Name, Revision: snapshot.GetVersion(), Value: snapshot.GetConfiguration(),
		}}})
	}
	listing := discovery.Listing{Revision: snapshot.GetRevision()}
	for _, entry := range snapshot.GetTargets() {
		if object := host.readTarget(entry, listing.Revision); discovery.CheckName(object.Name) == nil {
			listing.Objects = append(listing.Objects, object)
		}
	}
	host.targetFollower.ApplyDelta(after, listing, snapshot.GetNames())
}

// readTarget returns the object of a target's entry in a snapshot that is complete up to a
// revision. A host that can't read an entry passes it on without its value.
func (host *host) readTarget(entry *exchangepb.TargetEntry, revision int64) discovery.Object {
	object := discovery.Object{Name: entry.GetName(), Revision: entry.GetRevision(), Value: entry.GetValue()}
	if len(object.Value) == 0 {
		object.Unreadable = "the host that told of it could not read it"
	} else if _, err := host.targets.Decode(object.Name, object.Value); err != nil {
		object.Unreadable, object.Value = err.Error(), nil
	}
	if object.Revision <= 0 || object.Revision > revision+discovery.MaxRevisionLead {
		object.Unreadable, object.Value = "the revision is out of range", nil
		object.Revision, object.IsUndated = revision, true
	}
	return object
}
