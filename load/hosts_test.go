package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/request"
)

const tiny = `
name: tiny
duration: 100ms
rate: 200
tiers: [first, second]
zones: [a]
hosts: 1
workspaces: [{name: one, share: 1}]
pools:
  - name: model
    engines: [{name: e, zone: a, prefillRate: 1000, decodeRate: 10, slots: 1, memory: 1000}]
  - name: orders
    services: [{name: s, zone: a, slots: 1, time: 1ms}]
classes:
  - {name: chat, pool: model, tier: first, deadline: 1h, share: 1, prompt: {median: 10}, output: {median: 2}}
  - {name: pay, pool: orders, tier: second, deadline: 1h, share: 1, method: POST, path: /pay}
`

// TestHosts plays against a host that refuses each first attempt.
func TestHosts(t *testing.T) {
	seen := make(chan string, 1000)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) {
		seen <- received.URL.Path
		switch received.URL.Path {
		case "/v1/chat/completions":
			writer.Header().Set("Trailer", "Nutmegfield-Outcome")
			_, _ = fmt.Fprint(writer, "id: 0\ndata: {\"usage\":{\"prompt_tokens\":10,\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\ndata: [DONE]\n\n")
			writer.Header().Set("Nutmegfield-Outcome", "done")
		default:
			writer.Header().Set("Nutmegfield-Outcome", "notRun")
			writer.WriteHeader(http.StatusTooManyRequests)
			_, _ = fmt.Fprint(writer, `{"reason":"shed"}`)
		}
	}))
	defer server.Close()
	scenario, err := Decode("tiny", []byte(tiny))
	qt.Assert(t, err, qt.IsNil)
	hosts := &Hosts{Scenario: scenario, Seed: 1, URLs: []string{server.URL}}
	report := hosts.Run(context.Background())
	planned := scenario.Schedule(1)
	qt.Assert(t, report.Results, qt.HasLen, len(planned))
	qt.Assert(t, seen, qt.HasLen, len(planned))
	first, second := report.Tiers[0], report.Tiers[1]
	qt.Assert(t, first.Good, qt.Equals, first.Offered)
	qt.Assert(t, second.Shed, qt.Equals, second.Offered)
	qt.Assert(t, report.Prefill.Computed, qt.Equals, 6*first.Offered)

	file := filepath.Join(t.TempDir(), "plot.svg")
	qt.Assert(t, report.WritePlot(file), qt.IsNil)
	text, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(string(text), "<svg"), qt.IsTrue)
}

func TestScenarioFaults(t *testing.T) {
	for _, change := range [][2]string{
		{"rate: 200", "rate: 0"},
		{"tier: second", "tier: third"},
		{"pool: orders", "pool: other"},
		{"zone: a, slots", "zone: b, slots"},
		{"name: tiny", "colour: tiny"},
	} {
		text := strings.Replace(tiny, change[0], change[1], 1)
		_, err := Decode("tiny", []byte(text))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", change[1]))
	}
}

func TestReport(t *testing.T) {
	scenario, err := Decode("tiny", []byte(tiny))
	qt.Assert(t, err, qt.IsNil)
	made := func(outcome request.Outcome, end time.Duration) *Result {
		return &Result{
			Request: &Request{Class: &scenario.Classes[0], Workspace: "one", Prompt: []Segment{{Tokens: 10}}, Output: 11},
			Outcome: outcome, End: end, FirstToken: time.Second, Computed: 10, Recomputed: 4,
		}
	}
	report := NewReport(scenario, []*Result{
		made(request.Done, 2*time.Second), made(request.Done, 2*time.Hour), made(request.Unknown, time.Second),
	})
	tier := report.Tiers[0]
	qt.Assert(t, tier.Counts, qt.Equals, Counts{Offered: 3, Good: 1, Late: 1, Failed: 1})
	// 4 of the good answer's tokens and all 20 of the others.
	qt.Assert(t, report.Prefill.Wasted, qt.Equals, 24)
	qt.Assert(t, Jain([]float64{1, 1, 1, 1}), qt.Equals, 1.0)
	qt.Assert(t, Jain([]float64{1, 0, 0, 0}), qt.Equals, 0.25)
}
