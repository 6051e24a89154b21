package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"nutmegfield.example/invariant"
	"nutmegfield.example/listener"
	"nutmegfield.example/timeline"
)

// Serve serves callers until the context ends. The host must have drained before;
// connections that are still open then only have answers left to send. It returns
// an error if the server can't serve.
func (entry *Entry) Serve(ctx context.Context, accepting net.Listener) error {
	server := khttp.NewServer(khttp.Listener(accepting), khttp.Timeout(0), khttp.Filter(
		// The router of Kratos would rewrite paths.
		func(http.Handler) http.Handler { return entry.Handler() },
	))
	listener.Bind(server.Server)
	server.ReadHeaderTimeout = entry.Settings.ReadTimeout
	server.IdleTimeout = entry.Settings.IdleTimeout
	server.MaxHeaderBytes = entry.Settings.HeaderBytes
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-ctx.Done()
		entry.shutDown(server)
	}()
	// Requests outlive the context, which only starts the shutdown.
	err := server.Start(context.WithoutCancel(ctx))
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	<-ended
	return nil
}

const (
	// endConnectionsTime limits the wait for connections without a whole request.
	endConnectionsTime     = 1200 * time.Millisecond
	endConnectionsInterval = 20 * time.Millisecond
)

// endConnections takes the connections that wait, and answers what is still sent on open ones. A
// server that is stopped closes those whose requests become whole meanwhile without an answer.
func (entry *Entry) endConnections() {
	if entry.Callers == nil || entry.drainCutShort.Load() {
		return
	}
	accepted := entry.Callers.StopAccepting()
	entry.Events.Record(eventClosed, timeline.Event{Facts: []timeline.Fact{
		timeline.Count("accepted", accepted), timeline.Count("open", entry.Callers.Budget.Holders()),
	}})
	for until := time.Now().Add(endConnectionsTime); entry.Callers.EndIdle() > 0 && time.Now().Before(until); {
		time.Sleep(endConnectionsInterval)
	}
	entry.Callers.EndWaiting()
}

// shutDown stops the server after a drain, within the write timeout, or at once if
// the drain was cut short.
func (entry *Entry) shutDown(server *khttp.Server) {
	entry.endConnections()
	unfinished := entry.activeRequests.Load()
	invariant.DrainCutsNothing.Check(unfinished == 0 || entry.drainCutShort.Load(), "%d requests were still active", unfinished)
	ctx, cancel := context.WithTimeout(context.Background(), entry.Settings.WriteTimeout)
	defer cancel()
	if entry.drainCutShort.Load() {
		cancel()
	}
	// Stop closes idle connections and waits for the last bytes of the
	// others. A caller that does not read is ended by its write timeout.
	if server.Stop(ctx) != nil {
		_ = server.Close()
	}
}
