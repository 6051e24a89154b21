package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"nutmegfield.example/listener"
)

func newServer(accepting net.Listener, handler http.Handler) *khttp.Server {
	// Without an endpoint the transport lists the machine's network interfaces,
	// which not every machine permits.
	endpoint := &url.URL{Scheme: "http", Host: accepting.Addr().String()}
	server := khttp.NewServer(khttp.Listener(accepting), khttp.Endpoint(endpoint), khttp.Timeout(0), khttp.Filter(
		// Bypass the transport's router, which would rewrite paths.
		func(http.Handler) http.Handler { return handler },
	))
	server.ReadHeaderTimeout = headerTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	listener.Bind(server.Server)
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
