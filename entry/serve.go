package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"nutmegfield.example/invariant"
)

// Serve serves callers until the context ends. A drain comes before that; the
// connections that are still open then have their whole answer on the way.
func (entry *Entry) Serve(ctx context.Context, listener net.Listener) error {
	server := khttp.NewServer(khttp.Listener(listener), khttp.Timeout(0), khttp.Filter(
		// The router of the transport would rewrite paths.
		func(http.Handler) http.Handler { return entry.Handler() },
	))
	server.ReadHeaderTimeout = entry.Settings.ReadTimeout
	server.IdleTimeout = entry.Settings.IdleTimeout
	server.MaxHeaderBytes = entry.Settings.HeaderBytes
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-ctx.Done()
		entry.stop(server)
	}()
	// The end of the context is not the end of the requests.
	err := server.Start(context.WithoutCancel(ctx))
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	<-ended
	return nil
}

func (entry *Entry) stop(server *khttp.Server) {
	left := entry.inFlight.Load()
	invariant.DrainCutsNothing.Check(left == 0 || entry.forced.Load(), "%d requests ran", left)
	ctx, cancel := context.WithTimeout(context.Background(), entry.Settings.WriteTimeout)
	defer cancel()
	if entry.forced.Load() {
		cancel()
	}
	// Shutdown closes idle connections and waits for the last bytes of the
	// others; what a caller does not read ends with its write timeout.
	if server.Stop(ctx) != nil {
		_ = server.Close()
	}
}
