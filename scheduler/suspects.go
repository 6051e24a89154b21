package scheduler

import (
	"time"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/pool"
)

// suspectsKept bounds the suspicions kept for pools that open here later; the
// oldest goes first.
const suspectsKept = 1024

// suspicion is a suspicion in a pool.
type suspicion struct {
	pool    string
	suspect pool.Suspect
}

// suspected spreads a new suspicion of a pool of this host over the zone.
func (scheduler *Scheduler) suspected(name string, suspect pool.Suspect) {
	told := &peerpb.Suspect{
		Fingerprint: suspect.Fingerprint,
		Pool:        name,
		Crashes:     uint32(suspect.Crashes),
		Quarantined: suspect.Quarantined,
		Remaining:   time.Until(suspect.Until).Microseconds(),
	}
	for _, host := range scheduler.ZoneHosts() {
		if host != scheduler.Host {
			scheduler.Send(host, &peerpb.Envelope{Suspects: []*peerpb.Suspect{told}})
		}
	}
}

// receiveSuspects takes the suspicions of the other hosts, also for pools that
// open here later.
func (scheduler *Scheduler) receiveSuspects(envelope *peerpb.Envelope) {
	for _, told := range envelope.GetSuspects() {
		remaining := time.Duration(told.GetRemaining()) * time.Microsecond
		heard := suspicion{pool: told.GetPool(), suspect: pool.Suspect{
			Fingerprint: told.GetFingerprint(),
			Crashes:     int(told.GetCrashes()),
			Quarantined: told.GetQuarantined(),
			Until:       time.Now().Add(remaining),
		}}
		scheduler.keep(heard)
		if found := scheduler.find(heard.pool); found != nil {
			found.ObserveSuspect(heard.suspect)
		}
	}
}

func (scheduler *Scheduler) keep(heard suspicion) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.suspicions = append(scheduler.suspicions, heard)
	if extra := len(scheduler.suspicions) - suspectsKept; extra > 0 {
		scheduler.suspicions = append(scheduler.suspicions[:0], scheduler.suspicions[extra:]...)
	}
}

// recall tells a pool that opens what was heard, in order.
func (scheduler *Scheduler) recall(name string, opened *pool.Pool) {
	now := time.Now()
	for _, heard := range scheduler.suspicions {
		if heard.pool == name && heard.suspect.Until.After(now) {
			opened.ObserveSuspect(heard.suspect)
		}
	}
}
