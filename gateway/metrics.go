package gateway

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// budgetRefusals counts the retries that the budget did not allow.
var budgetRefusals = metrics.GetOrCreateCounter("nutmegfield_retries_refused_total")

// countRefusal counts a request that the gateway answered itself.
func countRefusal(status int, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_refusals_total{status=%q,reason=%q}", strconv.Itoa(status), reason)).Inc()
}

// countAnswer counts a target's answer that was passed on completely. Both times
// start at the request's arrival: to the first event and to the end.
func countAnswer(pool, target string, status int, timeToFirstEvent, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_answers_total{pool=%q,target=%q,status=%q}", pool, target, strconv.Itoa(status))).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("nutmegfield_first_event_seconds{pool=%q}", pool)).Update(timeToFirstEvent.Seconds())
	metrics.GetOrCreateHistogram(fmt.Sprintf("nutmegfield_answer_seconds{pool=%q}", pool)).Update(took.Seconds())
}

// countAttempt counts a request sent to a target and its waiting time at the
// gateway. Retry reports whether another target may have read it before.
func countAttempt(pool string, retry bool, waited time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_attempts_total{pool=%q,repeated=%q}", pool, strconv.FormatBool(retry))).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("nutmegfield_wait_seconds{pool=%q}", pool)).Update(waited.Seconds())
}

// countFailedAttempt counts an attempt without an answer to pass on.
func countFailedAttempt(pool, target string, verdict verdict) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_failed_attempts_total{pool=%q,target=%q,verdict=%q}", pool, target, verdict.String())).Inc()
}

// countRefusedContinuation counts an answer of a target that did not continue a stream.
func countRefusedContinuation(pool, target, fault string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_refused_continuations_total{pool=%q,target=%q,fault=%q}", pool, target, fault)).Inc()
}
