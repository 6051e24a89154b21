package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"nutmegfield.example/picture"
	"nutmegfield.example/timeline"
)

type timelineCommand struct {
	hostOptions
	Request string        `long:"request" value-name:"ID" description:"only the events of this request"`
	Since   time.Duration `long:"since" value-name:"DURATION" default:"10m" description:"how far back to look"`
	Format  string        `long:"format" choice:"text" choice:"json" choice:"svg" choice:"png" default:"text" description:"output format"`
	Output  string        `long:"output" value-name:"FILE" description:"write to this file instead of standard output"`
}

func init() {
	Register(Command{
		Name:  "timeline",
		Short: "merge the timelines of hosts",
		Long: "Ask each host for its events and write them merged by time, as text, as JSON lines, or as a picture. " +
			"The exit status is 1 if a host can't be reached; the events of the others are written all the same.",
		Data: &timelineCommand{},
	})
}

// Execute reads the events of the hosts and writes them merged. After an error of
// one host, it writes those of the others before it returns the error.
func (command *timelineCommand) Execute([]string) error {
	answers, failures := command.fetchTimelines(context.Background(), command.Request, command.Since)
	events := timeline.Merge(answers)
	if err := command.writeOutput(events); err != nil {
		return fmt.Errorf("timeline: %w", err)
	}
	if failures != nil {
		return fmt.Errorf("timeline: %w", failures)
	}
	return nil
}

func (command *timelineCommand) writeOutput(events []timeline.Event) error {
	if command.Output == "" {
		return command.writeFormat(os.Stdout, events)
	}
	file, err := os.Create(command.Output)
	if err != nil {
		return fmt.Errorf("create output: %w", err)
	}
	if err := command.writeFormat(file, events); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close output: %w", err)
	}
	return nil
}

func (command *timelineCommand) writeFormat(writer io.Writer, events []timeline.Event) error {
	switch command.Format {
	case "json":
		return timeline.WriteJSON(writer, events)
	case "svg", "png":
		if len(events) == 0 {
			return NoEvents.New("no events to draw")
		}
		return picture.Timeline(writer, events, command.Format)
	default:
		return timeline.WriteText(writer, events)
	}
}
