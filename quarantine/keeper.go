package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

const (
	// keepInterval is the time between two looks at what has to be written to the
	// platform or removed, and how soon a failed call is repeated.
	keepInterval = time.Second
	// reconcileDelay is the time from the beginning of a quarantine until leaders write
	// its record if no other host has.
	reconcileDelay = 3 * time.Second
	// restoreSpread is the time over which hosts read the records again after the platform
	// came back from an older copy.
	restoreSpread = time.Second
	// keepTimeout limits a call to the platform.
	keepTimeout = 2 * time.Second
	// sweepInterval is how often expired records of other hosts are removed.
	sweepInterval = 10 * time.Minute
)

var (
	eventKeepFailed = timeline.Define(timeline.Kind{
		Number: 1116, Name: "quarantine not kept", Level: timeline.Info,
		Meaning: "The platform's records of quarantines could not be read, written or removed; the call is repeated until it succeeds. Hosts still tell each other.",
	})
	eventKept = timeline.Define(timeline.Kind{
		Number: 1119, Name: "quarantine kept", Level: timeline.Info,
		Meaning: "This host has written the record of the content's quarantine to the platform, from which hosts that start read it.",
	})
	eventRecordUnreadable = timeline.Define(timeline.Kind{
		Number: 1117, Name: "record of a quarantine unreadable", Level: timeline.Warn,
		Meaning: "A record among the quarantines on the platform can't be decoded; the detail has the reason, the fact revision its revision. It is ignored.",
	})
)

// Record is a record of a quarantine on the platform.
type Record struct {
	Name string
	// Revision changes with each write of the record.
	Revision int64
	Value    []byte
}

// Records are the platform's calls for records of quarantines.
type Records struct {
	List   func(ctx context.Context) ([]Record, error)
	Save   func(ctx context.Context, record Record) error
	Remove func(ctx context.Context, name string) error
}

// Keeper keeps quarantines on the platform, for the case that all hosts end at once.
// Each host that observed a crash of a quarantined trait writes its record, as the
// crashes of one trait may be observed by different hosts. The leaders write those
// that are missing. Its fields are set before Run.
type Keeper struct {
	Suspects *Suspects
	Records  Records
	Events   *timeline.Recorder
	// IsCutOff reports whether the hosts of some zone can't tell this host of
	// quarantines, so that it reads their records again and again.
	IsCutOff func() bool
	// Leads reports whether this host also writes and removes records for others.
	Leads func() bool

	// saved holds the number of quarantines in each record that this host has read or
	// written.
	saved map[Trait]int
	// isRead is set once the records were read at the start; sweptAt is when they
	// were last read.
	isRead  bool
	sweptAt time.Time
	// unreadable holds the revisions of the records that could not be decoded when they were
	// last read, by name: each is reported once.
	unreadable map[string]int64
	// isRestored is set when the platform came back from an older copy, until that is dealt
	// with.
	isRestored atomic.Bool
}

// Restore lets the keeper read the records again and write those that are missing, as the
// platform came back from an older copy.
func (keeper *Keeper) Restore() { keeper.isRestored.Store(true) }

// forgetSaved forgets which quarantines have records, if the platform came back from an
// older copy. Hosts that write records read them again within restoreSpread.
func (keeper *Keeper) forgetSaved(ctx context.Context, leads bool) {
	if !keeper.isRestored.Swap(false) {
		return
	}
	keeper.saved = nil
	if leads || len(keeper.Suspects.ownTraits()) > 0 {
		keeper.isRead = false
		pause.For(ctx, rand.N(restoreSpread))
	}
}

// Run reads the records and then keeps them until the context ends. It returns nil.
func (keeper *Keeper) Run(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		err := keeper.keep(ctx)
		if err != nil && !failing {
			keeper.Events.Record(eventKeepFailed, timeline.Event{Detail: err.Error()})
		}
		failing = err != nil
		if failing {
			pause.For(ctx, keepInterval)
			continue
		}
		keeper.Suspects.waitForOwn(ctx, keepInterval)
	}
	return nil
}

// keep makes the calls that are due. It stops at the first that fails.
func (keeper *Keeper) keep(ctx context.Context) error {
	leads := keeper.Leads()
	keeper.forgetSaved(ctx, leads)
	if !keeper.isRead || keeper.IsCutOff() || leads && (time.Since(keeper.sweptAt) > sweepInterval || keeper.isRecordMissing()) {
		if err := keeper.read(ctx); err != nil {
			return err
		}
	}
	own := keeper.Suspects.ownTraits()
	now := time.Now()
	for trait, suspect := range keeper.Suspects.load() {
		_, isOwn := own[trait]
		writes := isOwn || leads && suspect.isReconciled(now)
		if !writes || !suspect.isQuarantined(now) || keeper.saved[trait] >= suspect.Quarantines {
			continue
		}
		if err := keeper.save(ctx, suspect); err != nil {
			return err
		}
	}
	known := keeper.Suspects.load()
	for trait := range keeper.saved {
		if suspect := known[trait]; suspect != nil && len(suspect.Endings) > 0 && !suspect.explained {
			continue
		}
		if _, isOwn := own[trait]; isOwn || leads {
			if err := keeper.remove(ctx, trait.String()); err != nil {
				return err
			}
		}
		delete(keeper.saved, trait)
	}
	keeper.Suspects.forgetOwn(keeper.saved)
	return nil
}

// isRecordMissing reports whether a quarantine has no record that this host knows of.
func (keeper *Keeper) isRecordMissing() bool {
	now := time.Now()
	for trait, suspect := range keeper.Suspects.load() {
		if suspect.isReconciled(now) && keeper.saved[trait] < suspect.Quarantines {
			return true
		}
	}
	return false
}

// isReconciled reports whether the suspect's quarantine began so long ago that leaders
// write its record.
func (suspect *Suspect) isReconciled(now time.Time) bool {
	return suspect.isQuarantined(now) && now.Sub(suspect.Until.Add(-suspect.quarantineLength)) > reconcileDelay
}

// read applies all records, and removes those that have expired. It returns the error of the
// first that can't be removed, but goes on with the others.
func (keeper *Keeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	records, err := keeper.Records.List(ctx)
	if err != nil {
		return fmt.Errorf("read quarantines: %w", err)
	}
	keeper.isRead, keeper.sweptAt = true, time.Now()
	var failed error
	reported := keeper.unreadable
	keeper.unreadable = map[string]int64{}
	for _, record := range records {
		suspect, err := DecodeRecord(record.Name, record.Value)
		if err != nil {
			if revision, ok := reported[record.Name]; !ok || revision != record.Revision {
				keeper.Events.Record(eventRecordUnreadable, timeline.Event{
					Detail: err.Error(), Facts: []timeline.Fact{timeline.Count("revision", record.Revision)},
				})
			}
			keeper.unreadable[record.Name] = record.Revision
			continue
		}
		if time.Now().Before(suspect.expiresAt()) {
			keeper.Suspects.Learn("platform", suspect)
			keeper.recordSaved(suspect)
			continue
		}
		if err := keeper.remove(ctx, record.Name); err != nil && failed == nil {
			failed = err
		}
	}
	return failed
}

func (keeper *Keeper) save(ctx context.Context, suspect *Suspect) error {
	name, value, err := EncodeRecord(suspect)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if err := keeper.Records.Save(ctx, Record{Name: name, Value: value}); err != nil {
		return fmt.Errorf("save quarantine: %w", err)
	}
	keeper.recordSaved(suspect)
	countKept()
	keeper.Events.Record(eventKept, timeline.Event{Facts: suspect.Facts(time.Now())})
	return nil
}

func (keeper *Keeper) recordSaved(suspect *Suspect) {
	if keeper.saved == nil {
		keeper.saved = map[Trait]int{}
	}
	keeper.saved[suspect.Trait] = suspect.Quarantines
}

func (keeper *Keeper) remove(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if err := keeper.Records.Remove(ctx, name); err != nil {
		return fmt.Errorf("remove quarantine: %w", err)
	}
	return nil
}
