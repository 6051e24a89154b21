package scheduler

import (
	"time"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/pool"
)

// maxSuspicions is the maximum number of suspicions that are stored for pools
// that open later; the oldest are dropped first.
const maxSuspicions = 1024

// suspicion is a suspect of a pool, received from another host.
type suspicion struct {
	pool    string
	suspect pool.Suspect
}

// sendSuspect sends a suspect that is new, changed or cleared to the other hosts of all
// zones.
func (scheduler *Scheduler) sendSuspect(name string, suspect pool.Suspect) {
	message := &peerpb.Suspect{
		Fingerprint: suspect.Fingerprint,
		Pool:        name,
		Crashes:     uint32(suspect.Crashes),
		Quarantined: suspect.Quarantined,
		Remaining:   time.Until(suspect.Until).Microseconds(),
		Zone:        scheduler.Zone,
	}
	for _, host := range scheduler.Hosts() {
		if host != scheduler.Host {
			scheduler.Send(host, &peerpb.Envelope{Suspects: []*peerpb.Suspect{message}})
		}
	}
}

// receiveSuspects applies the suspects that another host sent, and stores them
// for pools that open later.
func (scheduler *Scheduler) receiveSuspects(envelope *peerpb.Envelope) {
	for _, message := range envelope.GetSuspects() {
		remaining := time.Duration(message.GetRemaining()) * time.Microsecond
		suspicion := suspicion{pool: message.GetPool(), suspect: pool.Suspect{
			Fingerprint: message.GetFingerprint(),
			Crashes:     int(message.GetCrashes()),
			Quarantined: message.GetQuarantined(),
			Until:       time.Now().Add(remaining),
		}}
		if message.GetZone() != scheduler.Zone {
			suspicion.suspect.Zone = message.GetZone()
		}
		scheduler.storeSuspicion(suspicion)
		if found := scheduler.findPool(suspicion.pool); found != nil {
			found.ObserveSuspect(suspicion.suspect)
		}
	}
}

func (scheduler *Scheduler) storeSuspicion(suspicion suspicion) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.suspicions = append(scheduler.suspicions, suspicion)
	if extra := len(scheduler.suspicions) - maxSuspicions; extra > 0 {
		scheduler.suspicions = append(scheduler.suspicions[:0], scheduler.suspicions[extra:]...)
	}
}

// applySuspicions applies the stored suspicions to a pool that opens, in the
// order of arrival.
func (scheduler *Scheduler) applySuspicions(name string, opened *pool.Pool) {
	now := time.Now()
	for _, suspicion := range scheduler.suspicions {
		if suspicion.pool == name && suspicion.suspect.Until.After(now) {
			opened.ObserveSuspect(suspicion.suspect)
		}
	}
}
