package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"nutmegfield.example/replay"
	"nutmegfield.example/timeline"
)

type replayCommand struct {
	Hosts     []string `long:"host" required:"true" value-name:"URL" description:"the callers' address of a host; repeat it for each host, in the trace's order"`
	Operators []string `long:"operators" value-name:"URL" description:"the operators' address of a host; needed for a trace that states the order of tiers"`
	Token     string   `long:"token" env:"NUTMEGFIELD_OPERATORS_TOKEN" value-name:"TOKEN" description:"the operators' token"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"the trace"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	Register(Command{
		Name:  "replay",
		Short: "replay a recorded trace against its stated outcomes",
		Long: "Send the requests of a trace to running hosts, each at its time, and print each stated outcome that was not met. " +
			"The exit status is 1 if there is any.",
		Data: &replayCommand{},
	})
}

// Execute replays the trace and compares the answers with its stated outcomes.
func (command *replayCommand) Execute([]string) error {
	trace, err := replay.Load(command.Arguments.File, len(command.Hosts))
	if err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	if trace.TierOrder && len(command.Operators) == 0 {
		return errNoOperators
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	started := time.Now()
	player := &replay.Player{Trace: trace, URLs: command.Hosts}
	answers := player.Run(ctx)
	if ctx.Err() != nil {
		return Interrupted.New("replay interrupted, outcomes not checked")
	}
	var events []timeline.Event
	if trace.TierOrder {
		if events, err = command.fetchEvents(ctx, started); err != nil {
			return fmt.Errorf("replay: %w", err)
		}
	}
	return command.printResult(trace, trace.Check(answers, events))
}

// fetchEvents returns the events that the hosts recorded since the replay started.
// It adds hostTimeout to the duration since then, because a host subtracts the
// duration from the time at which it handles the request.
func (command *replayCommand) fetchEvents(ctx context.Context, started time.Time) ([]timeline.Event, error) {
	options := &hostOptions{Hosts: command.Operators, Token: command.Token}
	answers, failures := options.fetchTimelines(ctx, "", time.Since(started)+hostTimeout)
	if failures != nil {
		return nil, fmt.Errorf("fetch timelines: %w", failures)
	}
	return timeline.Merge(answers), nil
}

func (command *replayCommand) printResult(trace *replay.Trace, unmet []string) error {
	if len(unmet) == 0 {
		fmt.Printf("ok: %d requests, every stated outcome met\n", len(trace.Requests))
		return nil
	}
	for _, outcome := range unmet {
		fmt.Fprintln(os.Stdout, "not met:", outcome)
	}
	return Unmet.New("%d stated outcomes were not met", len(unmet))
}
