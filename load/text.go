package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteText writes a report for people.
func (report *Report) WriteText(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(format string, arguments ...any) { _, _ = fmt.Fprintf(table, format+"\t\n", arguments...) }
	line("%s\t%s\tfactor %.2f\tseed %d\tfairness %.3f", report.Scenario, report.Variant, report.Factor, report.Seed, report.Fairness)
	line("tier\toffered\tgood\tshare\tgood/s\tlate\tshed\tnot run\tfailed\tfirst p50\tp95 ms\tbetween p50\tp95 ms")
	for i := range report.Tiers {
		tier := &report.Tiers[i]
		line("%s\t%d\t%d\t%.4f\t%.2f\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f", tier.Name, tier.Offered, tier.Good,
			tier.GoodShare, tier.GoodPerSecond, tier.Late, tier.Shed, tier.NotRun, tier.Failed,
			tier.FirstToken.Middle, tier.FirstToken.P95, tier.BetweenTokens.Middle, tier.BetweenTokens.P95)
	}
	line("workspace\toffered\tgood\tshare\tgood/s\tlate\tshed\tnot run\tfailed")
	for i := range report.Workspaces {
		workspace := &report.Workspaces[i]
		line("%s\t%d\t%d\t%.4f\t%.2f\t%d\t%d\t%d\t%d", workspace.Name, workspace.Offered, workspace.Good,
			workspace.GoodShare, workspace.GoodPerSecond, workspace.Late, workspace.Shed, workspace.NotRun, workspace.Failed)
	}
	prefill := &report.Prefill
	line("prefill tokens\tcomputed %d\twasted %d\tshare %.4f\trecomputed %d\tmissed %d\town zone %d",
		prefill.Computed, prefill.Wasted, prefill.WastedShare, prefill.Recomputed, prefill.Missed, prefill.OwnZone)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteJSON writes a report for programs.
func (report *Report) WriteJSON(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
