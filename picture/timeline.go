// Package picture draws charts for operators.
package picture

import (
	"fmt"
	"image/color"
	"io"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"nutmegfield.example/timeline"
)

const (
	chartWidth = 28 * vg.Centimeter
	// baseHeight is the height of the title, the axis and the legend; each row adds
	// rowHeight.
	baseHeight = 6 * vg.Centimeter
	rowHeight  = 1.2 * vg.Centimeter
	// maxLabelledEvents limits the number of events in a chart that shows the
	// number of each event's kind.
	maxLabelledEvents = 60
)

// Timeline draws events on a time axis, with a row for each host, and writes the
// chart in a format such as svg or png. events must be sorted by time and not
// empty.
func Timeline(writer io.Writer, events []timeline.Event, format string) error {
	chart := plot.New()
	chart.Title.Text = "timeline"
	chart.X.Label.Text = "seconds from the first event"
	rows := assignRows(events)
	names := make([]string, len(rows))
	for host, row := range rows {
		names[row] = host
	}
	chart.NominalY(names...)
	if err := addEvents(chart, events, rows); err != nil {
		return err
	}
	height := baseHeight + vg.Length(len(rows))*rowHeight
	canvas, err := chart.WriterTo(chartWidth, height, format)
	if err != nil {
		return fmt.Errorf("draw timeline as %s: %w", format, err)
	}
	if _, err := canvas.WriteTo(writer); err != nil {
		return fmt.Errorf("write timeline: %w", err)
	}
	return nil
}

// hostRows maps a host's id to the number of its row; row 0 is at the bottom.
type hostRows map[string]int

// assignRows gives each host a row, in the order of their ids from the top.
func assignRows(events []timeline.Event) hostRows {
	rows := hostRows{}
	var hosts []string
	for i := range events {
		if _, ok := rows[events[i].Host]; !ok {
			rows[events[i].Host] = 0
			hosts = append(hosts, events[i].Host)
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(hosts)))
	for row, host := range hosts {
		rows[host] = row
	}
	return rows
}

// addEvents draws each event as a symbol, in a colour and shape of its kind. It adds
// the kinds' numbers if there are at most maxLabelledEvents events.
func addEvents(chart *plot.Plot, events []timeline.Event, rows hostRows) error {
	byName := map[string]plotter.XYs{}
	var names []string
	for i := range events {
		event := &events[i]
		if byName[event.Name] == nil {
			names = append(names, event.Name)
		}
		seconds := event.At.Sub(events[0].At).Seconds()
		byName[event.Name] = append(byName[event.Name], plotter.XY{X: seconds, Y: float64(rows[event.Host])})
	}
	for i, name := range names {
		scatter, err := plotter.NewScatter(byName[name])
		if err != nil {
			return fmt.Errorf("draw %s: %w", name, err)
		}
		scatter.GlyphStyle = draw.GlyphStyle{
			Color:  paletteColour(i),
			Radius: vg.Points(3),
			Shape:  plotutil.Shape(i),
		}
		chart.Add(scatter)
		chart.Legend.Add(name, scatter)
	}
	chart.Legend.Top = true
	if len(events) <= maxLabelledEvents {
		return addLabels(chart, events, rows)
	}
	return nil
}

// addLabels draws the number of each event's kind above its symbol.
func addLabels(chart *plot.Plot, events []timeline.Event, rows hostRows) error {
	labels := plotter.XYLabels{}
	for i := range events {
		event := &events[i]
		seconds := event.At.Sub(events[0].At).Seconds()
		labels.XYs = append(labels.XYs, plotter.XY{X: seconds, Y: float64(rows[event.Host]) + 0.1})
		labels.Labels = append(labels.Labels, fmt.Sprint(event.Number))
	}
	plotLabels, err := plotter.NewLabels(labels)
	if err != nil {
		return fmt.Errorf("draw labels: %w", err)
	}
	chart.Add(plotLabels)
	return nil
}

func paletteColour(i int) color.Color { return plotutil.Color(i) }
