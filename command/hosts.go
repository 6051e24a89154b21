package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"nutmegfield.example/head"
	"nutmegfield.example/timeline"
)

const (
	// hostTimeout limits the time of one request to a host.
	hostTimeout = 3 * time.Second
	// maxConcurrentHosts limits the number of hosts that are called at the same
	// time.
	maxConcurrentHosts = 32
	// maxResponseBytes limits the length of a response body; the rest is not
	// read.
	maxResponseBytes = 16 << 20
)

// hostOptions are the options of commands that send requests to the operators'
// address of hosts.
type hostOptions struct {
	Hosts []string `long:"host" required:"true" value-name:"URL" description:"the operators' address of a host; repeat it for each host"`
	Token string   `long:"token" env:"NUTMEGFIELD_OPERATORS_TOKEN" value-name:"TOKEN" description:"the operators' token"`
}

// forEachHost calls call for each host, for up to maxConcurrentHosts at the same
// time, and waits until all calls have returned.
func (options *hostOptions) forEachHost(call func(i int, address string)) {
	slots := make(chan struct{}, maxConcurrentHosts)
	var group sync.WaitGroup
	for i, address := range options.Hosts {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			call(i, address)
		})
	}
	group.Wait()
}

// getJSON sends a GET request to a host and decodes the JSON response into
// result.
func (options *hostOptions) getJSON(ctx context.Context, url string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	if options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+options.Token)
	}
	transport := head.Default()
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return UnexpectedStatus.New("GET %s: %s", url, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return fmt.Errorf("decode response of %s: %w", url, err)
	}
	return nil
}

// fetchTimelines returns the events of each host in the last duration since. If
// requestID is not empty, it returns only the events of that request. The error
// joins the errors of all hosts that failed; their answers have no events.
func (options *hostOptions) fetchTimelines(ctx context.Context, requestID string, since time.Duration) ([]timeline.Answer, error) {
	query := url.Values{}
	query.Set("since", since.String())
	if requestID != "" {
		query.Set("request", requestID)
	}
	answers := make([]timeline.Answer, len(options.Hosts))
	failures := make([]error, len(options.Hosts))
	options.forEachHost(func(i int, address string) {
		answer := timeline.Answer{SentAt: time.Now()}
		failures[i] = options.getJSON(ctx, address+"/timeline?"+query.Encode(), &answer.Page)
		answer.ReceivedAt = time.Now()
		answers[i] = answer
	})
	return answers, errors.Join(failures...)
}
