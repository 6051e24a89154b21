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
	// hostsAtOnce is the most hosts asked at a time.
	hostsAtOnce = 32
	// hostBytes is the longest answer read.
	hostBytes = 16 << 20
)

// hostOptions name the hosts whose operators' side a command asks.
type hostOptions struct {
	Hosts []string `long:"host" required:"true" value-name:"URL" description:"the operators' address of a host; repeat it for each host"`
	Token string   `long:"token" env:"NUTMEGFIELD_OPERATORS_TOKEN" value-name:"TOKEN" description:"the operators' token"`
}

// each calls ask for every host, some at a time.
func (options *hostOptions) each(ask func(i int, address string)) {
	places := make(chan struct{}, hostsAtOnce)
	var group sync.WaitGroup
	for i, address := range options.Hosts {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			ask(i, address)
		})
	}
	group.Wait()
}

// get reads a JSON answer of one host.
func (options *hostOptions) get(ctx context.Context, url string, into any) error {
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
	if err := json.NewDecoder(io.LimitReader(response.Body, hostBytes)).Decode(into); err != nil {
		return fmt.Errorf("read answer of %s: %w", url, err)
	}
	return nil
}

// timeline gets the page of every host, of one request unless the id is empty;
// the error joins those that failed.
func (options *hostOptions) timeline(ctx context.Context, request string, since time.Duration) ([]timeline.Answer, error) {
	query := url.Values{}
	query.Set("since", since.String())
	if request != "" {
		query.Set("request", request)
	}
	answers := make([]timeline.Answer, len(options.Hosts))
	failures := make([]error, len(options.Hosts))
	options.each(func(i int, address string) {
		answer := timeline.Answer{Asked: time.Now()}
		failures[i] = options.get(ctx, address+"/timeline?"+query.Encode(), &answer.Page)
		answer.Answered = time.Now()
		answers[i] = answer
	})
	return answers, errors.Join(failures...)
}
