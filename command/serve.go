package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	// The parts of a host register themselves.
	_ "nutmegfield.example/entry"
	"nutmegfield.example/invariant"
	"nutmegfield.example/kernel"
	_ "nutmegfield.example/operator"
	_ "nutmegfield.example/peer"
	_ "nutmegfield.example/platform"
	_ "nutmegfield.example/profile"
	_ "nutmegfield.example/record"
	_ "nutmegfield.example/scheduler"
	"nutmegfield.example/settings"
	_ "nutmegfield.example/target"
	"nutmegfield.example/timeline"
)

type serve struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"the host's settings"`
}

func init() {
	Register(Command{
		Name:  "serve",
		Short: "run an entry host",
		Long:  "Run an entry host until SIGTERM, then let running answers end. A second signal ends it at once.",
		Data:  &serve{},
	})
}

// Execute runs the host.
func (serve *serve) Execute([]string) error {
	loaded, err := settings.Load(serve.Settings)
	if err != nil {
		return fmt.Errorf("load settings: %w", err)
	}
	host := &kernel.Host{
		Settings: loaded,
		Events: &timeline.Recorder{
			Host: loaded.Host.ID,
			Logger: &log.Logger{
				Level:  log.ParseLevel(loaded.Log.Level),
				Writer: &log.IOWriter{Writer: os.Stderr},
			},
		},
	}
	invariant.Recorder.Store(host.Events)
	if err := host.Build(); err != nil {
		return fmt.Errorf("build the host: %w", err)
	}
	running, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	force, cancel := forceAfter(running, loaded.Drain)
	defer cancel()
	return host.Run(running, force)
}

// forceAfter returns a context that ends with a second signal, or when the
// drain limit has passed after the first.
func forceAfter(running context.Context, drain settings.Drain) (context.Context, context.CancelFunc) {
	force, cancel := context.WithCancel(context.Background())
	go func() {
		<-running.Done()
		second, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		limited, end := context.WithTimeout(second, drain.Limit)
		defer end()
		<-limited.Done()
		cancel()
	}()
	return force, cancel
}
