package quarantine

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// countCrash counts the end of a target under a request, by evidence.
func countCrash(crash Crash) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_crashes_total{pool=%q,evidence=%q}", crash.Pool, string(crash.Evidence))).Inc()
}

// countLearned counts a change of a suspect that another host reported.
func countLearned() { metrics.GetOrCreateCounter("nutmegfield_suspicions_learned_total").Inc() }

// countUntold sets the number of changed suspects that other hosts may not know yet.
func countUntold(count int) {
	metrics.GetOrCreateGauge("nutmegfield_suspicions_untold", nil).Set(float64(count))
}

// countKept counts a record of a quarantine that this host has written.
func countKept() { metrics.GetOrCreateCounter("nutmegfield_quarantines_kept_total").Inc() }

// countSuspects sets the numbers of suspected and quarantined traits.
func countSuspects(known map[Trait]*Suspect, now time.Time) {
	suspected, quarantined := 0, 0
	for _, suspect := range known {
		switch {
		case suspect.isQuarantined(now):
			quarantined++
		case len(suspect.Endings) > 0:
			suspected++
		}
	}
	metrics.GetOrCreateGauge(`nutmegfield_suspects{state="suspected"}`, nil).Set(float64(suspected))
	metrics.GetOrCreateGauge(`nutmegfield_suspects{state="quarantined"}`, nil).Set(float64(quarantined))
}
