package simulation

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/load"
)

// The flags of TestMeasure; the defaults make a short run that shows that it
// works. `make measure` makes the long one.
var (
	measureSeeds     = flag.Int("measure.seeds", 1, "seeds of each figure")
	measureFirst     = flag.Uint64("measure.first", 1, "first of the seeds")
	measureDuration  = flag.Duration("measure.duration", 10*time.Second, "length of each run")
	measureFactors   = flag.String("measure.factors", "1.0", "multiples of capacity")
	measureScenarios = flag.String("measure.scenarios", "bootPersonalisation,tourSeason", "named scenarios")
	measureFaults    = flag.String("measure.faults", "none", "of none, slow and zone")
	measureVariants  = flag.String("measure.variants", "expectedFinish,hostsAlone/leastReported", "names of the variants; all if empty")
	measureOut       = flag.String("measure.out", "", "directory for the reports in JSON and the plots")
)

// TestMeasure prints a table for each scenario, factor and fault: each
// variant's figures as the mean and the range over the seeds.
func TestMeasure(t *testing.T) {
	for _, name := range strings.Split(*measureScenarios, ",") {
		for _, fault := range strings.Split(*measureFaults, ",") {
			for _, text := range strings.Split(*measureFactors, ",") {
				factor, err := strconv.ParseFloat(text, 64)
				qt.Assert(t, err, qt.IsNil)
				measure(t, name, fault, factor)
			}
		}
	}
}

func measure(t *testing.T, name, fault string, factor float64) {
	fmt.Printf("\n%s, %.1f of capacity, fault: %s, %v, %d seeds\n\n", name, factor, fault, *measureDuration, *measureSeeds)
	fmt.Print("| policy |")
	for _, tier := range scenario(t, name, factor, *measureDuration).Tiers {
		fmt.Printf(" %s good share | first token p95 ms |", tier)
	}
	fmt.Println(" wasted prefill tokens/s | own zone/s | fairness | least workspace share |")
	fmt.Println("|---" + strings.Repeat("|---", 10) + "|")
	for _, variant := range append([]variant{own, oracle}, baselines...) {
		if *measureVariants != "" && !strings.Contains(","+*measureVariants+",", ","+variant.name+",") {
			continue
		}
		var reports []*load.Report
		for seed := range *measureSeeds {
			measured := scenario(t, name, factor, *measureDuration)
			addFault(measured, fault)
			report := run(t, measured, variant, *measureFirst+uint64(seed))
			keep(t, report, fault)
			reports = append(reports, report)
		}
		printRow(variant.name, reports)
	}
}

// addFault slows the first engine tenfold or takes the second zone away, for
// a fifth of the run, from two fifths of it on.
func addFault(scenario *load.Scenario, fault string) {
	failing := load.Fault{At: scenario.Duration * 2 / 5, For: scenario.Duration / 5}
	switch fault {
	case "slow":
		failing.Slow = scenario.Pools[0].Engines[0].Name
		failing.Times = 10
	case "zone":
		failing.Zone = scenario.Zones[1]
	default:
		return
	}
	scenario.Faults = append(scenario.Faults, failing)
}

func keep(t *testing.T, report *load.Report, fault string) {
	if *measureOut == "" {
		return
	}
	name := fmt.Sprintf("%s-%.1f-%s-%s-%d", report.Scenario, report.Factor, fault,
		strings.ReplaceAll(report.Variant, "/", "-"), report.Seed)
	file, err := os.Create(filepath.Join(*measureOut, name+".json"))
	qt.Assert(t, err, qt.IsNil)
	defer file.Close()
	qt.Assert(t, report.WriteJSON(file), qt.IsNil)
	qt.Assert(t, report.WritePlot(filepath.Join(*measureOut, name+".svg")), qt.IsNil)
}

func printRow(name string, reports []*load.Report) {
	row := "| " + name
	for i := range reports[0].Tiers {
		row += " | " + spread(reports, 4, func(report *load.Report) float64 { return report.Tiers[i].GoodShare })
		row += " | " + spread(reports, 0, func(report *load.Report) float64 { return report.Tiers[i].FirstToken.P95 })
	}
	row += " | " + spread(reports, 0, func(report *load.Report) float64 { return float64(report.Prefill.Wasted) / report.Seconds })
	row += " | " + spread(reports, 0, func(report *load.Report) float64 { return float64(report.Prefill.OwnZone) / report.Seconds })
	row += " | " + spread(reports, 3, func(report *load.Report) float64 { return report.Fairness })
	row += " | " + spread(reports, 3, leastShare)
	fmt.Println(row + " |")
}

func leastShare(report *load.Report) float64 {
	least := 1.0
	for i := range report.Workspaces {
		least = min(least, report.Workspaces[i].GoodShare)
	}
	return least
}

// spread is the mean of a figure and its range.
func spread(reports []*load.Report, digits int, figure func(report *load.Report) float64) string {
	var sum float64
	least, most := figure(reports[0]), figure(reports[0])
	for _, report := range reports {
		value := figure(report)
		sum += value
		least = min(least, value)
		most = max(most, value)
	}
	mean := sum / float64(len(reports))
	if len(reports) == 1 {
		return fmt.Sprintf("%.*f", digits, mean)
	}
	return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, mean, digits, least, digits, most)
}
