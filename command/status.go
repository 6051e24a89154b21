package command

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"nutmegfield.example/memory"
	"nutmegfield.example/operator"
	"nutmegfield.example/rollout"
)

type statusCommand struct {
	hostOptions
}

func init() {
	Register(Command{
		Name:  "status",
		Short: "show the configuration in force on each host, and rollouts",
		Long: "Ask each host which configuration version is in force and since when, and " +
			"which rollouts of new versions of targets it knows of. " +
			"The exit status is 1 if a host is behind the newest version or can't be reached.",
		Data: &statusCommand{},
	})
}

// hostStatus is the status of a host, or the error of the request for it.
type hostStatus struct {
	address string
	status  operator.Status
	err     error
}

// Execute prints the status of each host.
func (command *statusCommand) Execute([]string) error {
	hostStatuses := command.fetchStatuses(context.Background())
	err := writeTable(os.Stdout, hostStatuses)
	if rolloutsErr := writeRollouts(os.Stdout, hostStatuses); rolloutsErr != nil {
		return rolloutsErr
	}
	return err
}

func (command *statusCommand) fetchStatuses(ctx context.Context) []hostStatus {
	hostStatuses := make([]hostStatus, len(command.Hosts))
	command.forEachHost(func(i int, address string) {
		hostStatuses[i].address = address
		hostStatuses[i].err = command.getJSON(ctx, address+"/status", &hostStatuses[i].status)
	})
	return hostStatuses
}

// writeTable writes a row for each host, sorted by its id. It returns a Behind
// error if a host is behind, has no configuration or is unreachable.
func writeTable(writer io.Writer, hostStatuses []hostStatus) error {
	sort.SliceStable(hostStatuses, func(i, j int) bool { return hostStatuses[i].status.Host < hostStatuses[j].status.Host })
	var newest int64
	for _, hostStatus := range hostStatuses {
		newest = max(newest, hostStatus.status.Version)
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tZONE\tVERSION\tSINCE\tSTATE\tHELD/PART IN MIB")
	notCurrent := 0
	for _, hostStatus := range hostStatuses {
		state := hostStatus.state(newest)
		if state != stateCurrent {
			notCurrent++
		}
		hostStatus.writeRow(table, state)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write status: %w", err)
	}
	if notCurrent > 0 {
		return Behind.New("%d of %d hosts are unreachable or do not have version %d in force", notCurrent, len(hostStatuses), newest)
	}
	return nil
}

// States of a host, compared with the newest version of all hosts.
const (
	stateCurrent         = "current"
	stateBehind          = "behind"
	stateNoConfiguration = "no configuration"
	stateUnreachable     = "unreachable"
)

func (hostStatus *hostStatus) state(newest int64) string {
	switch {
	case hostStatus.err != nil:
		return stateUnreachable
	case hostStatus.status.Version == 0:
		return stateNoConfiguration
	case hostStatus.status.Version < newest:
		return stateBehind
	default:
		return stateCurrent
	}
}

// formatMemory returns what a host holds of each kind, and may hold, in MiB.
func formatMemory(usages []memory.Usage) string {
	if len(usages) == 0 {
		return "-"
	}
	var texts []string
	for _, usage := range usages {
		texts = append(texts, fmt.Sprintf("%s %.1f/%.0f", usage.Kind, float64(usage.Held)/(1<<20), float64(usage.Part)/(1<<20)))
	}
	return strings.Join(texts, ", ")
}

func (hostStatus *hostStatus) writeRow(writer io.Writer, state string) {
	if hostStatus.err != nil {
		fmt.Fprintln(writer, hostStatus.address+"\t-\t-\t-\t"+state+": "+hostStatus.err.Error())
		return
	}
	since := "-"
	if !hostStatus.status.Since.IsZero() {
		since = hostStatus.status.Since.UTC().Format(time.RFC3339)
	}
	status := hostStatus.status
	columns := []string{status.Host, status.Zone, strconv.FormatInt(status.Version, 10), since, state, formatMemory(status.Memory)}
	fmt.Fprintln(writer, strings.Join(columns, "\t"))
}

// writeRollouts writes a row and the evidence of each rollout that a host knows of: as the host
// knows it that decides, or one that does not if that one was not asked.
func writeRollouts(writer io.Writer, hostStatuses []hostStatus) error {
	rollouts, deciders := map[string]rollout.Status{}, map[string]string{}
	for _, hostStatus := range hostStatuses {
		for _, status := range hostStatus.status.Rollouts {
			known, isKnown := rollouts[status.Pool]
			if isKnown && (known.Evidence != "" || status.Evidence == "" && known.Requests >= status.Requests) {
				continue
			}
			rollouts[status.Pool], deciders[status.Pool] = status, cmp.Or(status.Decider, "-")
			if status.Evidence != "" {
				deciders[status.Pool] = hostStatus.status.Host
			}
		}
	}
	if len(rollouts) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nPOOL\tTARGET VERSION\tSTAGE\tSHARE\tREQUESTS\tSENT\tLEFT\tDECIDED BY")
	for _, pool := range slices.Sorted(maps.Keys(rollouts)) {
		status := rollouts[pool]
		left := time.Duration(status.LeftMs) * time.Millisecond
		columns := []string{
			pool, status.Version, status.Stage, strconv.FormatFloat(status.Share, 'g', 2, 64), strconv.FormatUint(status.Requests, 10),
			strconv.FormatUint(status.Sent, 10), left.Round(time.Second).String(), deciders[pool],
		}
		fmt.Fprintln(table, strings.Join(columns, "\t"))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write rollouts: %w", err)
	}
	for _, pool := range slices.Sorted(maps.Keys(rollouts)) {
		if evidence := rollouts[pool].Evidence; evidence != "" {
			fmt.Fprintln(writer, pool+": "+evidence)
		}
	}
	return nil
}
