package gateway

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// countRefusal counts an answer of the gateway's own.
func countRefusal(status int, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_refusals_total{status=%q,reason=%q}", strconv.Itoa(status), reason)).Inc()
}

// countAnswer counts a target's answer that was passed on whole, and how long
// its first event and all of it took from the request's arrival.
func countAnswer(pool, target string, status int, first, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_answers_total{pool=%q,target=%q,status=%q}", pool, target, strconv.Itoa(status))).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("nutmegfield_first_event_seconds{pool=%q}", pool)).Update(first.Seconds())
	metrics.GetOrCreateHistogram(fmt.Sprintf("nutmegfield_answer_seconds{pool=%q}", pool)).Update(took.Seconds())
}

// countAttempt counts a request that was sent, and how long it waited here.
func countAttempt(pool string, repeated bool, waited time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_attempts_total{pool=%q,repeated=%q}", pool, strconv.FormatBool(repeated))).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("nutmegfield_wait_seconds{pool=%q}", pool)).Update(waited.Seconds())
}

// countFailure counts an attempt that brought no answer to pass on.
func countFailure(pool, target string, verdict verdict) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_failed_attempts_total{pool=%q,target=%q,verdict=%q}", pool, target, verdict.String())).Inc()
}
