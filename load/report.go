package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nutmegfield.example/request"
)

// Result is what became of one request.
type Result struct {
	Request *Request
	Outcome request.Outcome
	Reason  request.Reason
	// FirstToken and End are times from the arrival; of a service's answer
	// both are its end.
	FirstToken time.Duration
	End        time.Duration
	// Attempts is how often the caller sent it.
	Attempts int
	// Computed is the prompt tokens computed for it, Recomputed those of them
	// that some target of the pool held, OwnZone those that one in the same
	// zone held.
	Computed   int
	Recomputed int
	OwnZone    int
}

// Good reports whether the whole answer came within its deadline.
func (result *Result) Good() bool {
	return result.Outcome == request.Done && result.End <= result.Request.Class.Deadline
}

// Report judges a run.
type Report struct {
	Scenario string  `json:"scenario"`
	Variant  string  `json:"variant"`
	Factor   float64 `json:"factor"`
	Seed     uint64  `json:"seed"`
	// Seconds is the time in which the requests judged arrived.
	Seconds    float64           `json:"seconds"`
	Tiers      []TierReport      `json:"tiers"`
	Workspaces []WorkspaceReport `json:"workspaces"`
	Prefill    PrefillReport     `json:"prefill"`
	// Fairness is Jain's index of the workspaces' shares answered in time.
	Fairness float64 `json:"fairness"`
	// Results are what was judged, and the warm-up.
	Results []*Result `json:"-"`
}

// Counts are numbers of requests by what became of them.
type Counts struct {
	Offered int `json:"offered"`
	// Good were answered whole within the deadline, Late after it.
	Good int `json:"good"`
	Late int `json:"late"`
	// NotRun were given up by their callers, of these Shed for lack of room.
	NotRun int `json:"notRun"`
	Shed   int `json:"shed"`
	// Failed ran and failed, or their end was not seen.
	Failed int `json:"failed"`
}

// Share is the part answered in time.
func (counts *Counts) Share() float64 {
	if counts.Offered == 0 {
		return 1
	}
	return float64(counts.Good) / float64(counts.Offered)
}

// Spread is some of a distribution, in milliseconds.
type Spread struct {
	Middle float64 `json:"p50"`
	P95    float64 `json:"p95"`
	P99    float64 `json:"p99"`
}

// TierReport is what became of a tier.
type TierReport struct {
	Name string `json:"name"`
	Counts
	GoodShare     float64 `json:"goodShare"`
	GoodPerSecond float64 `json:"goodPerSecond"`
	// FirstToken and BetweenTokens are of engines' answers only.
	FirstToken    Spread `json:"firstTokenMilliseconds"`
	BetweenTokens Spread `json:"betweenTokensMilliseconds"`

	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

// WorkspaceReport is what became of a workspace.
type WorkspaceReport struct {
	Name string `json:"name"`
	Counts
	GoodShare     float64 `json:"goodShare"`
	GoodPerSecond float64 `json:"goodPerSecond"`
}

// PrefillReport counts prompt tokens.
type PrefillReport struct {
	Computed int `json:"computed"`
	// Wasted were computed though a target of the pool held them, or for an
	// answer that missed its deadline.
	Wasted      int     `json:"wasted"`
	WastedShare float64 `json:"wastedShare"`
	Recomputed  int     `json:"recomputed"`
	// OwnZone is what was computed though a target of the zone held it.
	OwnZone int `json:"ownZone"`
	Missed  int `json:"missed"`
}

// The histograms count microseconds with three digits.
const (
	histogramLeast  = 1
	histogramMost   = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// NewReport judges the results of a run.
func NewReport(scenario *Scenario, results []*Result) *Report {
	report := &Report{
		Scenario: scenario.Name,
		Factor:   scenario.Factor,
		Seconds:  (scenario.Duration - scenario.WarmUp).Seconds(),
		Results:  results,
	}
	for _, name := range scenario.Tiers {
		report.Tiers = append(report.Tiers, TierReport{
			Name:          name,
			firstToken:    hdrhistogram.New(histogramLeast, histogramMost, histogramDigits),
			betweenTokens: hdrhistogram.New(histogramLeast, histogramMost, histogramDigits),
		})
	}
	for _, workspace := range scenario.Workspaces {
		report.Workspaces = append(report.Workspaces, WorkspaceReport{Name: workspace.Name})
	}
	for _, result := range results {
		if result.Request.At >= scenario.WarmUp && result.Request.Crashing == nil {
			report.count(scenario, result)
		}
	}
	report.finish()
	return report
}

func (report *Report) count(scenario *Scenario, result *Result) {
	tier := &report.Tiers[result.Request.Tier]
	tier.count(result)
	report.Workspaces[scenario.workspace(result.Request.Workspace)].count(result)
	if len(result.Request.Prompt) > 0 && result.Outcome == request.Done {
		tier.observe(result)
	}
	prefill := &report.Prefill
	prefill.Computed += result.Computed
	prefill.OwnZone += result.OwnZone
	if result.Good() {
		prefill.Recomputed += result.Recomputed
	} else {
		prefill.Missed += result.Computed
	}
}

func (counts *Counts) count(result *Result) {
	counts.Offered++
	switch {
	case result.Good():
		counts.Good++
	case result.Outcome == request.Done:
		counts.Late++
	case result.Outcome == request.NotRun:
		counts.NotRun++
		if result.Reason == request.ReasonShed {
			counts.Shed++
		}
	default:
		counts.Failed++
	}
}

func (tier *TierReport) observe(result *Result) {
	// Values out of range are not recorded: they would be of answers that
	// took longer than any deadline.
	_ = tier.firstToken.RecordValue(max(histogramLeast, result.FirstToken.Microseconds()))
	if between := result.Request.Output - 1; between > 0 {
		mean := (result.End - result.FirstToken).Microseconds() / int64(between)
		_ = tier.betweenTokens.RecordValue(max(histogramLeast, mean))
	}
}

func (report *Report) finish() {
	for i := range report.Tiers {
		tier := &report.Tiers[i]
		tier.GoodShare = tier.Share()
		tier.GoodPerSecond = float64(tier.Good) / report.Seconds
		tier.FirstToken = spread(tier.firstToken)
		tier.BetweenTokens = spread(tier.betweenTokens)
	}
	shares := make([]float64, 0, len(report.Workspaces))
	for i := range report.Workspaces {
		workspace := &report.Workspaces[i]
		workspace.GoodShare = workspace.Share()
		workspace.GoodPerSecond = float64(workspace.Good) / report.Seconds
		shares = append(shares, workspace.GoodShare)
	}
	report.Fairness = Jain(shares)
	prefill := &report.Prefill
	prefill.Wasted = prefill.Recomputed + prefill.Missed
	if prefill.Computed > 0 {
		prefill.WastedShare = float64(prefill.Wasted) / float64(prefill.Computed)
	}
}

func spread(histogram *hdrhistogram.Histogram) Spread {
	const microseconds = 1000.0
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / microseconds }
	return Spread{Middle: at(50), P95: at(95), P99: at(99)}
}

// Jain is Jain's index of fairness: 1 when all are equal, 1/n when one has
// all. See Jain, Chiu and Hawe, "A Quantitative Measure of Fairness and
// Discrimination for Resource Allocation in Shared Computer Systems", 1984.
func Jain(shares []float64) float64 {
	var sum, squares float64
	for _, share := range shares {
		sum += share
		squares += share * share
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(shares)) * squares)
}
