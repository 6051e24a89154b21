package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

func newServer(listener net.Listener, handler http.Handler) *khttp.Server {
	// Without an endpoint the transport looks through the machine's interfaces,
	// which not every machine shows.
	endpoint := &url.URL{Scheme: "http", Host: listener.Addr().String()}
	server := khttp.NewServer(khttp.Listener(listener), khttp.Endpoint(endpoint), khttp.Timeout(0), khttp.Filter(
		// The router of the transport would rewrite paths.
		func(http.Handler) http.Handler { return handler },
	))
	server.ReadHeaderTimeout = headerTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = headerBytes
	return server
}

func serve(ctx context.Context, server *khttp.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Start(context.WithoutCancel(ctx)); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
