package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"nutmegfield.example/operator"
)

type status struct {
	hostOptions
}

func init() {
	Register(Command{
		Name:  "status",
		Short: "show the configuration in force on each host",
		Long: "Ask each host which version of the configuration is in force and since when. " +
			"The exit status is 1 if a host is behind the newest version or can't be reached.",
		Data: &status{},
	})
}

// hostStatus is what one host said, or why it did not.
type hostStatus struct {
	address string
	status  operator.Status
	err     error
}

// Execute prints a line for each host.
func (status *status) Execute([]string) error {
	answers := status.ask(context.Background())
	return report(os.Stdout, answers)
}

func (status *status) ask(ctx context.Context) []hostStatus {
	answers := make([]hostStatus, len(status.Hosts))
	status.each(func(i int, address string) {
		answers[i].address = address
		answers[i].err = status.get(ctx, address+"/status", &answers[i].status)
	})
	return answers
}

// report writes a line for each host, by its id, and fails with Behind if one
// is behind or was not reached.
func report(writer io.Writer, answers []hostStatus) error {
	sort.SliceStable(answers, func(i, j int) bool { return answers[i].status.Host < answers[j].status.Host })
	var newest int64
	for _, answer := range answers {
		newest = max(newest, answer.status.Version)
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tZONE\tVERSION\tSINCE\tSTATE")
	behind := 0
	for _, answer := range answers {
		state := answer.state(newest)
		if state != stateCurrent {
			behind++
		}
		answer.write(table, state)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write status: %w", err)
	}
	if behind > 0 {
		return Behind.New("%d of %d hosts are not known to work by version %d", behind, len(answers), newest)
	}
	return nil
}

// States of a host against the newest version.
const (
	stateCurrent     = "current"
	stateBehind      = "behind"
	stateNone        = "no configuration"
	stateUnreachable = "unreachable"
)

func (answer *hostStatus) state(newest int64) string {
	switch {
	case answer.err != nil:
		return stateUnreachable
	case answer.status.Version == 0:
		return stateNone
	case answer.status.Version < newest:
		return stateBehind
	default:
		return stateCurrent
	}
}

func (answer *hostStatus) write(writer io.Writer, state string) {
	if answer.err != nil {
		fmt.Fprintln(writer, answer.address+"\t-\t-\t-\t"+state+": "+answer.err.Error())
		return
	}
	since := "-"
	if !answer.status.Since.IsZero() {
		since = answer.status.Since.UTC().Format(time.RFC3339)
	}
	status := answer.status
	line := []string{status.Host, status.Zone, strconv.FormatInt(status.Version, 10), since, state}
	fmt.Fprintln(writer, strings.Join(line, "\t"))
}
