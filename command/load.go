package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"nutmegfield.example/load"
)

type loadCommand struct {
	Scenario string   `long:"scenario" required:"true" value-name:"FILE" description:"a scenario's file, or the name of a built-in scenario"`
	Hosts    []string `long:"host" required:"true" value-name:"URL" description:"base address of an entry host; may be given several times"`
	Factor   float64  `long:"factor" default:"1" description:"multiple of the scenario's rate"`
	Seed     uint64   `long:"seed" default:"1" description:"seed of the schedule"`
	JSON     string   `long:"json" value-name:"FILE" description:"write the report as JSON too"`
	Plot     string   `long:"plot" value-name:"FILE" description:"draw goodput over time; .svg or .png"`
}

// maxFactor limits the rate, and so the memory that the schedule takes.
const maxFactor = 100

func init() {
	Register(Command{
		Name:  "load",
		Short: "send load and print a report",
		Long:  "Send a scenario's requests to running hosts, each at its scheduled time without waiting for earlier ones, and print a report of the results.",
		Data:  &loadCommand{},
	})
}

// Execute sends the load until the scenario ends or SIGINT or SIGTERM arrives,
// and then writes the report.
func (command *loadCommand) Execute([]string) error {
	if !(command.Factor > 0 && command.Factor <= maxFactor) {
		return Usage.New("--factor is %g, must be above 0 and at most %d", command.Factor, maxFactor)
	}
	scenario, err := load.Load(command.Scenario)
	if err != nil {
		return fmt.Errorf("load scenario: %w", err)
	}
	scenario.Factor = command.Factor
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hosts := &load.Hosts{Scenario: scenario, Seed: command.Seed, URLs: command.Hosts}
	return command.writeReport(hosts.Run(ctx))
}

func (command *loadCommand) writeReport(report *load.Report) error {
	if err := report.WriteText(os.Stdout); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	if command.JSON != "" {
		if err := writeJSONReport(report, command.JSON); err != nil {
			return err
		}
	}
	if command.Plot == "" {
		return nil
	}
	if err := report.WritePlot(command.Plot); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

func writeJSONReport(report *load.Report, name string) error {
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	defer file.Close()
	return report.WriteJSON(file)
}
