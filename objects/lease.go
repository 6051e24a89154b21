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
	// renewals is the number of renewals tried within a term.
	renewals = 4
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
	eventLeaseForeign = timeline.Define(timeline.Kind{
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
	// Number is the fencing number. It grows with each new holder.
	Number int64 `json:"number"`
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

	hold    atomic.Pointer[hold]
	mutex   sync.Mutex
	seen    seenLease
	number  int64
	renewal int64
	refused bool
}

// hold is a lease that was granted, until its term has passed.
type hold struct {
	number int64
	// since is taken before the write, with both clocks of the host.
	since time.Time
	term  time.Duration
}

// seenLease is another's lease and when this version of it was read first.
type seenLease struct {
	version int64
	at      time.Time
}

// valid reports whether the hold still stands, by the monotonic clock and, as
// that may stand still while a machine is suspended, by the wall clock too.
func (hold *hold) valid(now time.Time) bool {
	wall := now.Round(0).Sub(hold.since.Round(0))
	return now.Sub(hold.since) < hold.term && wall < hold.term
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
	return hold.number, nil
}

// Run takes, renews and gives back the lease until the context ends, and then
// releases it. What needs the lease must have ended before.
func (lease *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if lease.Wanted() {
			lease.step(ctx)
		} else {
			lease.Release(ctx)
		}
		pause.For(ctx, pause.Jitter(lease.Term/renewals))
	}
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), lease.Term)
	defer cancel()
	lease.Release(ending)
	return nil
}

// step takes or renews the lease once.
func (lease *Lease) step(ctx context.Context) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	present, record, err := lease.read(ctx)
	if err != nil {
		lease.lapse()
		return
	}
	switch {
	case record.Holder == lease.Holder && !record.Released && record.Number == lease.number:
		lease.write(ctx, present, record.Number)
	case lease.free(present, record):
		lease.drop()
		lease.write(ctx, present, max(record.Number, lease.number)+1)
	default:
		lease.drop()
	}
}

// read returns the object and what it says. A missing one is free.
func (lease *Lease) read(ctx context.Context) (Object, LeaseRecord, error) {
	var record LeaseRecord
	present, err := lease.API.getOrNone(ctx, LeaseKind, lease.Name)
	if err != nil {
		return present, record, err
	}
	if present.Version == 0 {
		return present, LeaseRecord{Released: true}, nil
	}
	if err := json.Unmarshal(present.Value, &record); err != nil {
		return present, record, lease.refuse(err.Error())
	}
	if record.Zone != lease.Zone {
		return present, record, lease.refuse("it is of zone " + record.Zone)
	}
	if record.Number < lease.number {
		return present, record, Old.New("fencing number %d of lease %s is below %d", record.Number, lease.Name, lease.number)
	}
	return present, record, nil
}

// refuse counts an object that is no lease of ours, and logs the first.
func (lease *Lease) refuse(reason string) error {
	leasesRefused.Add(1)
	if !lease.refused {
		lease.refused = true
		lease.Events.Record(eventLeaseForeign, timeline.Event{Detail: lease.Name + ": " + reason})
	}
	return Foreign.New("lease %s: %s", lease.Name, reason)
}

// free reports whether the lease may be taken: it was released, or this
// version of it has been seen for its whole term.
func (lease *Lease) free(present Object, record LeaseRecord) bool {
	if record.Released {
		return true
	}
	if lease.seen.version != present.Version {
		lease.seen = seenLease{version: present.Version, at: time.Now()}
		return false
	}
	return time.Since(lease.seen.at) >= record.Term+lease.Margin
}

// write takes or renews the lease on condition that nobody changed it.
func (lease *Lease) write(ctx context.Context, present Object, number int64) {
	since := time.Now()
	lease.renewal++
	value, err := json.Marshal(LeaseRecord{
		Holder: lease.Holder, Zone: lease.Zone, Number: number, Term: lease.Term, Renewal: lease.renewal,
	})
	if err != nil {
		return
	}
	present.Value = value
	// The number is this holder's even if the answer is lost for good: when
	// the record is found later it may be renewed.
	lease.number = number
	if _, err := lease.API.PutConfirmed(ctx, present); err != nil {
		lease.lapse()
		return
	}
	before := lease.hold.Swap(&hold{number: number, since: since, term: lease.Term - lease.Margin})
	if before == nil {
		lease.Events.Record(eventLeaseHeld, timeline.Event{Detail: lease.detail(number)})
	}
}

// lapse drops a hold whose term has passed.
func (lease *Lease) lapse() {
	if hold := lease.hold.Load(); hold != nil && !hold.valid(time.Now()) {
		lease.drop()
	}
}

// drop ends the hold, if there is one.
func (lease *Lease) drop() {
	if hold := lease.hold.Swap(nil); hold != nil {
		lease.Events.Record(eventLeaseLost, timeline.Event{Detail: lease.detail(hold.number)})
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
	lease.Events.Record(eventLeaseReleased, timeline.Event{Detail: lease.detail(hold.number)})
	present, record, err := lease.read(ctx)
	if err != nil || record.Holder != lease.Holder || record.Number != hold.number {
		return
	}
	record.Released = true
	if present.Value, err = json.Marshal(record); err != nil {
		return
	}
	// If this fails the others wait until the term has passed.
	_, _ = lease.API.PutConfirmed(ctx, present)
}

func (lease *Lease) detail(number int64) string {
	return fmt.Sprintf("%s, number %d", lease.Name, number)
}
