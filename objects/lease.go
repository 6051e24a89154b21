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
	// LeaseMargin is how long before the end of its term a holder stops.
	LeaseMargin = 2 * time.Second
	// renewalsPerTerm is the number of renewalsPerTerm tried within a term.
	renewalsPerTerm = 4
)

// Events of leases.
var (
	eventLeaseHeld = timeline.Define(timeline.Kind{
		Number: 5001, Name: "lease held", Level: timeline.Info,
		Meaning: "This host holds the lease in the detail from now on, with the fencing number in it.",
	})
	eventLeaseLost = timeline.Define(timeline.Kind{
		Number: 5002, Name: "lease lost", Level: timeline.Info,
		Meaning: "This host could not renew the lease in the detail in time, or another host took it.",
	})
	eventLeaseReleased = timeline.Define(timeline.Kind{
		Number: 5003, Name: "lease released", Level: timeline.Info,
		Meaning: "This host gave the lease in the detail back.",
	})
	eventLeaseInvalid = timeline.Define(timeline.Kind{
		Number: 5004, Name: "lease refused", Level: timeline.Error,
		Meaning: "The object of the lease in the detail can't be read or is another zone's; it is left as it is.",
		Action:  "see who writes the object; delete it if it is of no use",
	})
)

var leasesRefused = expvar.NewInt("leasesRefused")

// LeaseRecord is the value of a lease's object.
type LeaseRecord struct {
	// Holder is unique to one life of a process.
	Holder string `json:"holder"`
	Zone   string `json:"zone"`
	// FencingNumber is the fencing number. It grows with each new holder.
	FencingNumber int64 `json:"number"`
	// Term is how long the holder acts after it began to write the record;
	// others wait it out by their own clock from when they read it.
	Term time.Duration `json:"term"`
	// Renewal tells the writes of a holder apart.
	Renewal  int64 `json:"renewal"`
	Released bool  `json:"released,omitempty"`
}

// Lease holds an office while it is wanted. No two hosts' clocks are compared:
// the holder counts its term from before it sent the write, another host from
// after it read it. Fields are set before Run.
type Lease struct {
	API API
	// Name names the office; it is the object's name.
	Name   string
	Zone   string
	Holder string
	Term   time.Duration
	Margin time.Duration
	// Wanted reports whether this host should hold the lease now.
	Wanted func() bool
	Events *timeline.Recorder

	hold            atomic.Pointer[hold]
	mutex           sync.Mutex
	observed        observedLease
	fencingNumber   int64
	renewal         int64
	reportedInvalid bool
}

// hold is a lease that was granted, until its term has passed.
type hold struct {
	fencingNumber int64
	// startedAt is taken before the write, with both clocks of the host.
	startedAt time.Time
	term      time.Duration
}

// observedLease is another's lease and when this version of it was read first.
type observedLease struct {
	version     int64
	firstReadAt time.Time
}

// valid reports whether the hold still stands, by the monotonic clock and, as
// that may stand still while a machine is suspended, by the wall clock too.
func (hold *hold) valid(now time.Time) bool {
	wall := now.Round(0).Sub(hold.startedAt.Round(0))
	return now.Sub(hold.startedAt) < hold.term && wall < hold.term
}

// Check returns the fencing number of the lease. It fails with NotHeld when
// the lease is not held any more. It is to be called right before each act:
// the process may have stood still since the last one.
func (lease *Lease) Check() (int64, error) {
	hold := lease.hold.Load()
	if hold == nil {
		return 0, NotHeld.New("lease %s is not held", lease.Name)
	}
	if !hold.valid(time.Now()) {
		return 0, NotHeld.New("lease %s has run out", lease.Name)
	}
	return hold.fencingNumber, nil
}

// Run takes, renews and gives back the lease until the context ends, and then
// releases it. What needs the lease must have ended before.
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

// acquireOrRenew takes or renews the lease once.
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

// readRecord returns the object and what it says. A missing one is free.
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
		return current, record, lease.invalid(err.Error())
	}
	if record.Zone != lease.Zone {
		return current, record, lease.invalid("it is of zone " + record.Zone)
	}
	if record.FencingNumber < lease.fencingNumber {
		return current, record, OutdatedVersion.New("fencing number %d of lease %s is below %d", record.FencingNumber, lease.Name, lease.fencingNumber)
	}
	return current, record, nil
}

// invalid counts an object that is no lease of ours, and logs the first.
func (lease *Lease) invalid(reason string) error {
	leasesRefused.Add(1)
	if !lease.reportedInvalid {
		lease.reportedInvalid = true
		lease.Events.Record(eventLeaseInvalid, timeline.Event{Detail: lease.Name + ": " + reason})
	}
	return InvalidLease.New("lease %s: %s", lease.Name, reason)
}

// isFree reports whether the lease may be taken: it was released, or this
// version of it has been seen for its whole term.
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

// writeRecord takes or renews the lease on condition that nobody changed it.
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
	// The number is this holder's even if the answer is lost for good: when
	// the record is found later it may be renewed.
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

// dropExpiredHold drops a hold whose term has passed.
func (lease *Lease) dropExpiredHold() {
	if hold := lease.hold.Load(); hold != nil && !hold.valid(time.Now()) {
		lease.dropHold()
	}
}

// dropHold ends the hold, if there is one.
func (lease *Lease) dropHold() {
	if hold := lease.hold.Swap(nil); hold != nil {
		lease.Events.Record(eventLeaseLost, timeline.Event{Detail: lease.eventDetail(hold.fencingNumber)})
	}
}

// Release gives the lease back, if it is held, so that another host need not
// wait for its end. Nothing may be done under the lease any more.
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
	// If this fails the others wait until the term has passed.
	_, _ = lease.API.PutConfirmed(ctx, current)
}

func (lease *Lease) eventDetail(fencingNumber int64) string {
	return fmt.Sprintf("%s, number %d", lease.Name, fencingNumber)
}
