package objects

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

const (
	// LeaseKind is the kind of lease objects.
	LeaseKind = "lease"
	// LeaseTerm is the usual term of a lease.
	LeaseTerm = 10 * time.Second
	// maxLeaseTerm limits the terms of other hosts: a lease is free only after its term.
	maxLeaseTerm = time.Hour
	// LeaseMargin is the usual Lease.Margin.
	LeaseMargin = 2 * time.Second
	// renewalsPerTerm is the average number of renewals within a term.
	renewalsPerTerm = 4
)

// Events of leases.
var (
	eventLeaseHeld = timeline.Define(timeline.Kind{
		Number: 5001, Name: "lease held", Level: timeline.Info,
		Meaning: "This host acquired the lease; the detail holds its name and fencing number.",
	})
	eventLeaseLost = timeline.Define(timeline.Kind{
		Number: 5002, Name: "lease lost", Level: timeline.Info,
		Meaning: "This host no longer holds the lease in the detail: it could not renew it in time, or another host acquired it.",
	})
	eventLeaseReleased = timeline.Define(timeline.Kind{
		Number: 5003, Name: "lease released", Level: timeline.Info,
		Meaning: "This host released the lease in the detail.",
	})
	eventLeaseInvalid = timeline.Define(timeline.Kind{
		Number: 5004, Name: "lease refused", Level: timeline.Error,
		Meaning: "The object of the lease in the detail can't be decoded, belongs to another zone or has a number out of range; it is left unchanged.",
		Action:  "find out what writes the object; delete it if it is not needed",
	})
)

var leasesRefused = expvar.NewInt("leasesRefused")

// LeaseRecord is the JSON value of a lease's object.
type LeaseRecord struct {
	// Holder is an ID that is unique to one incarnation of a process.
	Holder string `json:"holder"`
	Zone   string `json:"zone"`
	// FencingNumber increases with each new holder.
	FencingNumber int64 `json:"number"`
	// Term is how long the lease is valid. The holder counts it from before it
	// wrote the record, other hosts from when they first read it, each by its
	// own clock.
	Term time.Duration `json:"term"`
	// Renewal counts the writes of a holder, so that each has a different value.
	Renewal int64 `json:"renewal"`
	// Released means that other hosts may take the lease before its term ends.
	Released bool `json:"released,omitempty"`
}

// Lease acquires and renews a lease while it is wanted. The clocks of two hosts
// are never compared: the holder counts the term from before it sent the write,
// other hosts from after they read it. Fields are set before Run.
type Lease struct {
	API API
	// Name is the name of the lease and of its object.
	Name string
	// Zone must be the same in the lease's record.
	Zone string
	// Holder is an ID that is unique to this incarnation of the process.
	Holder string
	Term   time.Duration
	// Margin is how long before the end of the term the holder stops using the
	// lease, and how long after it another host waits before taking it.
	Margin time.Duration
	// Wanted reports whether this host should hold the lease now.
	Wanted func() bool
	Events *timeline.Recorder

	// hold is nil if the lease is not held; its term may have passed.
	hold atomic.Pointer[hold]
	// mutex guards the fields below.
	mutex    sync.Mutex
	observed observedLease
	// fencingNumber is the last one that this host wrote, or tried to write.
	fencingNumber   int64
	renewal         int64
	reportedInvalid bool
}

// hold is a lease that this host has acquired.
type hold struct {
	fencingNumber int64
	// startedAt is the time before the write, by the monotonic and wall clocks.
	startedAt time.Time
	// term is the lease's term less the margin.
	term time.Duration
}

// observedLease is a version of another host's lease and when it was first read.
type observedLease struct {
	version     int64
	firstReadAt time.Time
}

// valid reports whether the term has not passed by either clock: the monotonic
// clock may stop while the machine is suspended.
func (hold *hold) valid(now time.Time) bool {
	wall := now.Round(0).Sub(hold.startedAt.Round(0))
	return now.Sub(hold.startedAt) < hold.term && wall < hold.term
}

// Check returns the fencing number of the lease. It fails with NotHeld if the
// lease is not held. Callers must check right before each action under the
// lease, as the process may have been suspended since the last check.
func (lease *Lease) Check() (int64, error) {
	hold := lease.hold.Load()
	if hold == nil {
		return 0, NotHeld.New("lease %s is not held", lease.Name)
	}
	if !hold.valid(time.Now()) {
		return 0, NotHeld.New("lease %s has expired", lease.Name)
	}
	return hold.fencingNumber, nil
}

// Run acquires and renews the lease while Wanted returns true and releases it
// otherwise. When the context ends it releases the lease and returns nil;
// everything that needs the lease must have stopped by then.
func (lease *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if lease.Wanted() {
			lease.acquireOrRenew(ctx)
		} else {
			lease.Release(ctx)
		}
		pause.For(ctx, pause.Jitter(lease.Term/renewalsPerTerm))
	}
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lease.Term)
	defer cancel()
	lease.Release(releaseCtx)
	return nil
}

// acquireOrRenew reads the lease and acquires it if it is free, renews it if
// this host holds it, and drops the hold if another host has it.
func (lease *Lease) acquireOrRenew(ctx context.Context) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	current, record, err := lease.readRecord(ctx)
	if err != nil {
		lease.dropExpiredHold()
		return
	}
	switch {
	case record.Holder == lease.Holder && !record.Released && record.FencingNumber == lease.fencingNumber:
		lease.writeRecord(ctx, current, record.FencingNumber)
	case lease.isFree(current, record):
		lease.dropHold()
		lease.writeRecord(ctx, current, max(record.FencingNumber, lease.fencingNumber)+1)
	default:
		lease.dropHold()
	}
}

// readRecord reads the lease's object and decodes it. For a missing object it
// returns a released record.
func (lease *Lease) readRecord(ctx context.Context) (Object, LeaseRecord, error) {
	var record LeaseRecord
	current, err := lease.API.getIfExists(ctx, LeaseKind, lease.Name)
	if err != nil {
		return current, record, err
	}
	if current.Version == 0 {
		return current, LeaseRecord{Released: true}, nil
	}
	if err := json.Unmarshal(current.Value, &record); err != nil {
		return current, record, lease.recordInvalid(err.Error())
	}
	if record.Zone != lease.Zone {
		return current, record, lease.recordInvalid("it belongs to zone " + record.Zone)
	}
	if record.FencingNumber < 0 || record.FencingNumber > MaxVersion || !record.Released && (record.Term <= 0 || record.Term > maxLeaseTerm) {
		return current, record, lease.recordInvalid(fmt.Sprintf("fencing number %d or term %s is out of range", record.FencingNumber, record.Term))
	}
	if record.FencingNumber < lease.fencingNumber {
		return current, record, OutdatedVersion.New("fencing number %d of lease %s is lower than %d", record.FencingNumber, lease.Name, lease.fencingNumber)
	}
	return current, record, nil
}

// recordInvalid counts an invalid lease object, records the first one as an event
// and returns an InvalidLease error.
func (lease *Lease) recordInvalid(reason string) error {
	leasesRefused.Add(1)
	if !lease.reportedInvalid {
		lease.reportedInvalid = true
		lease.Events.Record(eventLeaseInvalid, timeline.Event{Detail: lease.Name + ": " + reason})
	}
	return InvalidLease.New("lease %s: %s", lease.Name, reason)
}

// isFree reports whether the lease may be taken: it was released, or its version
// has not changed for its whole term and the margin.
func (lease *Lease) isFree(current Object, record LeaseRecord) bool {
	if record.Released {
		return true
	}
	if lease.observed.version != current.Version {
		lease.observed = observedLease{version: current.Version, firstReadAt: time.Now()}
		return false
	}
	return time.Since(lease.observed.firstReadAt) >= record.Term+lease.Margin
}

// writeRecord acquires or renews the lease, unless the object has changed since
// it was read.
func (lease *Lease) writeRecord(ctx context.Context, current Object, fencingNumber int64) {
	startedAt := time.Now()
	lease.renewal++
	value, err := json.Marshal(LeaseRecord{
		Holder: lease.Holder, Zone: lease.Zone, FencingNumber: fencingNumber, Term: lease.Term, Renewal: lease.renewal,
	})
	if err != nil {
		return
	}
	current.Value = value
	// Set before the write: if its answer is lost and the record is read back
	// later, this host may renew it.
	lease.fencingNumber = fencingNumber
	if _, err := lease.API.PutConfirmed(ctx, current); err != nil {
		lease.dropExpiredHold()
		return
	}
	previous := lease.hold.Swap(&hold{fencingNumber: fencingNumber, startedAt: startedAt, term: lease.Term - lease.Margin})
	if previous == nil {
		lease.Events.Record(eventLeaseHeld, timeline.Event{Detail: lease.eventDetail(fencingNumber)})
	}
}

// dropExpiredHold drops the hold if its term has passed.
func (lease *Lease) dropExpiredHold() {
	if hold := lease.hold.Load(); hold != nil && !hold.valid(time.Now()) {
		lease.dropHold()
	}
}

// dropHold marks the lease as lost if it is held.
func (lease *Lease) dropHold() {
	if hold := lease.hold.Swap(nil); hold != nil {
		lease.Events.Record(eventLeaseLost, timeline.Event{Detail: lease.eventDetail(hold.fencingNumber)})
	}
}

// Release releases the lease if it is held, so that another host can take it
// before its term ends. Everything that needs the lease must have stopped.
func (lease *Lease) Release(ctx context.Context) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	hold := lease.hold.Swap(nil)
	if hold == nil {
		return
	}
	lease.Events.Record(eventLeaseReleased, timeline.Event{Detail: lease.eventDetail(hold.fencingNumber)})
	current, record, err := lease.readRecord(ctx)
	if err != nil || record.Holder != lease.Holder || record.FencingNumber != hold.fencingNumber {
		return
	}
	record.Released = true
	if current.Value, err = json.Marshal(record); err != nil {
		return
	}
	// If this fails, other hosts wait until the term has passed.
	_, _ = lease.API.PutConfirmed(ctx, current)
}

func (lease *Lease) eventDetail(fencingNumber int64) string {
	return fmt.Sprintf("%s, fencing number %d", lease.Name, fencingNumber)
}
