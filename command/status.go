package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"nutmegfield.example/operator"
)

const (
	// statusTimeout bounds the question to one host.
	statusTimeout = 3 * time.Second
	// statusAtOnce is the most hosts asked at a time.
	statusAtOnce = 32
	// statusBytes is the longest answer read.
	statusBytes = 4 << 20
)

type status struct {
	Hosts []string `long:"host" required:"true" value-name:"URL" description:"the operators' address of a host; repeat it for each host"`
	Token string   `long:"token" env:"NUTMEGFIELD_OPERATORS_TOKEN" value-name:"TOKEN" description:"the operators' token"`
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
	places := make(chan struct{}, statusAtOnce)
	var group sync.WaitGroup
	for i, address := range status.Hosts {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			answers[i] = hostStatus{address: address}
			answers[i].status, answers[i].err = askHost(ctx, address, status.Token)
		})
	}
	group.Wait()
	return answers
}

func askHost(ctx context.Context, address, token string) (operator.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var answer operator.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/status", nil)
	if err != nil {
		return answer, fmt.Errorf("make request: %w", err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := new(http.Client).Do(request)
	if err != nil {
		return answer, fmt.Errorf("ask %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, Unreachable.New("ask %s: %s", address, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, statusBytes)).Decode(&answer); err != nil {
		return answer, fmt.Errorf("read answer of %s: %w", address, err)
	}
	return answer, nil
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
