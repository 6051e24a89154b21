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

	"nutmegfield.example/timeline"
)

const (
	// hostTimeout bounds the question to one host.
	hostTimeout = 3 * time.Second
	// maxConcurrentHosts is the most hosts asked at a time.
	maxConcurrentHosts = 32
	// maxResponseBytes is the longest answer read.
	maxResponseBytes = 16 << 20
)

// hostOptions name the hosts whose operators' side a command asks.
type hostOptions struct {
	Hosts []string `long:"host" required:"true" value-name:"URL" description:"the operators' address of a host; repeat it for each host"`
	Token string   `long:"token" env:"NUTMEGFIELD_OPERATORS_TOKEN" value-name:"TOKEN" description:"the operators' token"`
}

// forEachHost calls ask for every host, some at a time.
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

// getJSON reads a JSON answer of one host.
func (options *hostOptions) getJSON(ctx context.Context, url string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	if options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+options.Token)
	}
	response, err := new(http.Client).Do(request)
	if err != nil {
		return fmt.Errorf("ask host: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Unreachable.New("ask %s: %s", url, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return fmt.Errorf("read answer of %s: %w", url, err)
	}
	return nil
}

// fetchTimelines gets the page of every host, of one request unless the id is empty;
// the error joins those that failed.
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
