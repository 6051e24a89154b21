package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/phuslu/log"

	// The parts of a host register themselves.
	_ "nutmegfield.example/entry"
	"nutmegfield.example/invariant"
	"nutmegfield.example/kernel"
	_ "nutmegfield.example/once"
	_ "nutmegfield.example/operator"
	_ "nutmegfield.example/peer"
	_ "nutmegfield.example/platform"
	_ "nutmegfield.example/profile"
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
	// The log holds numbered events only.
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	if err := host.Build(); err != nil {
		return fmt.Errorf("build the host: %w", err)
	}
	running, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	force, cancel := forceAfter(running)
	defer cancel()
	return host.Run(running, force)
}

// forceAfter returns a context that ends with a second signal after running
// has ended with the first. The drain limit is the kernel's.
func forceAfter(running context.Context) (context.Context, context.CancelFunc) {
	force, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-running.Done():
		case <-force.Done():
			return
		}
		second, stop := signal.NotifyContext(force, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		<-second.Done()
		cancel()
	}()
	return force, cancel
}
