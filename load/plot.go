package load

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot, and the interval over which answers are counted.
const (
	plotWidth    = 8 * vg.Inch
	plotHeight   = 4 * vg.Inch
	plotInterval = 5.0
)

// WritePlot draws the tiers' goodput over time; the file's ending, such as
// .svg or .png, gives the format.
func (report *Report) WritePlot(file string) error {
	drawn := plot.New()
	drawn.Title.Text = fmt.Sprintf("%s, %s, %.2f of capacity", report.Scenario, report.Variant, report.Factor)
	drawn.X.Label.Text = "arrival, s"
	drawn.Y.Label.Text = "answered in time, 1/s"
	var lines []any
	for i := range report.Tiers {
		lines = append(lines, report.Tiers[i].Name, report.goodput(i))
	}
	if err := plotutil.AddLines(drawn, lines...); err != nil {
		return fmt.Errorf("draw plot: %w", err)
	}
	if err := drawn.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

// goodput counts a tier's answers in time by their arrival.
func (report *Report) goodput(tier int) plotter.XYs {
	var points plotter.XYs
	for _, result := range report.Results {
		at := int(result.Request.At.Seconds() / plotInterval)
		for len(points) <= at {
			points = append(points, plotter.XY{X: float64(len(points)) * plotInterval})
		}
		if result.Request.Tier == tier && result.Good() {
			points[at].Y += 1 / plotInterval
		}
	}
	return points
}
