package limit

import "github.com/VictoriaMetrics/metrics"

// countLimits sets the number of targets with a limit.
func countLimits(named map[Target]Named) {
	count := 0
	for _, limit := range named {
		if limit.Rate > 0 {
			count++
		}
	}
	metrics.GetOrCreateGauge("nutmegfield_limited_targets", nil).Set(float64(count))
}

// countPermits counts permits by what became of them.
func countPermits(event string, count int) {
	metrics.GetOrCreateCounter(`nutmegfield_limit_permits_total{event="` + event + `"}`).Add(count)
}
