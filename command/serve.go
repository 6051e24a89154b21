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
	_ "nutmegfield.example/configuration"
	_ "nutmegfield.example/entry"
	_ "nutmegfield.example/gateway"
	"nutmegfield.example/invariant"
	"nutmegfield.example/kernel"
	_ "nutmegfield.example/objects"
	_ "nutmegfield.example/operator"
	_ "nutmegfield.example/order"
	_ "nutmegfield.example/peer"
	_ "nutmegfield.example/platform"
	_ "nutmegfield.example/protocol"
	_ "nutmegfield.example/record"
	_ "nutmegfield.example/scheduler"
	"nutmegfield.example/settings"
	_ "nutmegfield.example/status"
	"nutmegfield.example/timeline"
)

type serve struct {
	Settings string `long:"settings" env:"NUTMEGFIELD_CONFIG" required:"true" value-name:"FILE" description:"the host's settings"`
}

func init() {
	Register(Command{
		Name:  "serve",
		Short: "run an entry host",
		Long:  "Run an entry host until SIGTERM, then let running answers end. A second signal, or the drain limit, ends it sooner; answers that were cut are logged and the exit code is 1.",
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
		Network:  kernel.SystemNetwork(),
		Events: &timeline.Recorder{
			Host: loaded.Host.ID,
			Logger: &log.Logger{
				Level:  log.ParseLevel(loaded.Log.Level),
				Writer: &log.IOWriter{Writer: os.Stdout},
			},
		},
	}
	invariant.Recorder.Store(host.Events)
	kernel.Provide(host, known())
	// The log holds numbered events only.
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	if err := host.Build(); err != nil {
		return fmt.Errorf("build the host: %w", err)
	}
	running, force := onSignals()
	return host.Run(running, force)
}

// onSignals returns a context that ends with the first signal and one that
// ends with the second.
func onSignals() (running, force context.Context) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	running, drain := context.WithCancel(context.Background())
	force, cut := context.WithCancel(context.Background())
	go func() {
		<-signals
		drain()
		<-signals
		cut()
	}()
	return running, force
}
