package origin

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// countFound counts a stream that a caller took up, by who knew the version that began it.
func countFound(from string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_resumed_streams_total{from=%q}", from)).Inc()
}

// countStreams sets the number of streams whose version is remembered.
func countStreams(count int) {
	metrics.GetOrCreateGauge("nutmegfield_remembered_streams", nil).Set(float64(count))
}

// countPlatformRead counts a read by which this host found out whether pools have one version.
func countPlatformRead(err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_version_reads_total{result=%q}", result)).Inc()
}
