package objects

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"nutmegfield.example/head"
	"nutmegfield.example/kernel"
)

const (
	// idleTimeout is how long an idle connection to the platform stays open.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes limits the header of the platform's answers.
	maxHeaderBytes = 64 << 10
)

func init() {
	kernel.Register(kernel.Plugin{Name: "objects", Rank: kernel.RankPlatform, New: newPart})
}

// NewTransport returns the transport of calls to the platform. Connections are opened by dial, nil
// for the network's.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *head.Transport {
	return head.NewTransport(&http.Transport{
		DialContext: dial, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	settings := host.Settings.Platform
	caller := &http.Client{Transport: NewTransport(host.Dial)}
	burst := max(1, int(settings.Rate))
	client := &Client{
		Address: settings.Address,
		Timeout: settings.Timeout,
		Limiter: rate.NewLimiter(rate.Limit(settings.Rate), burst),
		Do:      caller.Do,
	}
	api := client.API()
	kernel.Provide(host, client)
	kernel.Provide(host, &api)
	return &kernel.Part{}, nil
}
