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
	width      = 28 * vg.Centimeter
	baseHeight = 6 * vg.Centimeter
	hostHeight = 1.2 * vg.Centimeter
	// maxLabelledEvents is the most events that are drawn with their numbers
	// beside them.
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
	height := baseHeight + vg.Length(len(rows))*hostHeight
	canvas, err := chart.WriterTo(width, height, format)
	if err != nil {
		return fmt.Errorf("draw timeline as %s: %w", format, err)
	}
	if _, err := canvas.WriteTo(writer); err != nil {
		return fmt.Errorf("write timeline: %w", err)
	}
	return nil
}

// hostRows maps a host's id to its row, from the bottom.
type hostRows map[string]int

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

// addEvents draws the events of each kind in a colour of their own, and their
// numbers if there are at most maxLabelledEvents.
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
			Color:  colourAt(i),
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

func colourAt(i int) color.Color { return plotutil.Color(i) }
