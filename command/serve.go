package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	// Imported for their init functions, which register the parts of a host.
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

type serveCommand struct {
	Settings string `long:"settings" env:"NUTMEGFIELD_CONFIG" required:"true" value-name:"FILE" description:"the host's settings"`
}

// HostNetwork returns the network of the hosts that this process runs. Tests replace it.
var HostNetwork = kernel.SystemNetwork

func init() {
	Register(Command{
		Name:  "serve",
		Short: "run an entry host",
		Long:  "Run an entry host until SIGTERM or SIGINT, then let active answers complete. A second signal or the drain limit ends it earlier; answers that were cut are logged and the exit code is 1.",
		Data:  &serveCommand{},
	})
}

// Execute runs the host until a signal or an error ends it.
func (command *serveCommand) Execute([]string) error {
	loaded, err := settings.Load(command.Settings)
	if err != nil {
		return fmt.Errorf("load settings: %w", err)
	}
	// Logging never blocks: when the reader is slow and the queue is full,
	// lines are discarded.
	writer := &log.AsyncWriter{ChannelSize: logQueueLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: os.Stdout}}
	defer func() { _ = writer.Close() }()
	host := &kernel.Host{
		Settings: loaded,
		Network:  HostNetwork(),
		Events: &timeline.Recorder{
			Host:                loaded.Host.ID,
			Logger:              &log.Logger{Level: log.ParseLevel(loaded.Log.Level), Writer: writer},
			LineLimiter:         rate.NewLimiter(maxLogLinesPerSecond, maxLogLinesPerSecond),
			FrequentLineLimiter: rate.NewLimiter(maxFrequentLogLinesPerSecond, maxFrequentLogLinesPerSecond),
		},
	}
	invariant.Recorder.Store(host.Events)
	metrics.GetOrCreateGauge("nutmegfield_timeline_bytes", func() float64 { return float64(host.Events.KeptBytes()) })
	kernel.Provide(host, registeredNames())
	// Discard the framework's log, so that the log has numbered events only.
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	if err := host.Build(); err != nil {
		return fmt.Errorf("build the host: %w", err)
	}
	host.Events.Record(eventStarted, timeline.Event{Facts: []timeline.Fact{
		{Key: "zone", Value: loaded.Host.Zone}, {Key: "role", Value: loaded.Host.Role}, {Key: "settings", Value: command.Settings},
	}})
	go command.checkSettingsOnHangup(host.Events)
	running, force := signalContexts()
	err = host.Run(running, force)
	event := timeline.Event{}
	if err != nil {
		event.Detail = err.Error()
	}
	host.Events.Record(eventStopped, event)
	return err
}

const (
	// logQueueLines is the number of log lines that are queued before lines are
	// discarded.
	logQueueLines = 4096
	// maxLogLinesPerSecond limits all log lines of a host, of about 400 bytes
	// each; maxFrequentLogLinesPerSecond those of events that occur on each
	// request.
	maxLogLinesPerSecond         = 500
	maxFrequentLogLinesPerSecond = 200
)

var (
	eventStarted = timeline.Define(timeline.Kind{
		Number: 101, Name: "host started", Level: timeline.Info,
		Meaning: "The process has started.",
	})
	eventStopped = timeline.Define(timeline.Kind{
		Number: 102, Name: "host stopped", Level: timeline.Info,
		Meaning: "The process is about to exit; the detail is the error that ended it, if any.",
	})
	eventSettingsChecked = timeline.Define(timeline.Kind{
		Number: 103, Name: "settings file checked", Level: timeline.Info,
		Meaning: "The settings file was checked after SIGHUP; it takes effect at the next start. The detail is the error in it, if any.",
	})
)

// checkSettingsOnHangup reads the settings file on each SIGHUP and records whether
// it is valid. The settings take effect at the next start, as addresses and
// limits can't change while the process runs.
func (command *serveCommand) checkSettingsOnHangup(events *timeline.Recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		event := timeline.Event{}
		if _, err := settings.Load(command.Settings); err != nil {
			event.Detail = err.Error()
		}
		events.Record(eventSettingsChecked, event)
	}
}

// signalContexts returns two contexts: running ends on the first SIGTERM or SIGINT,
// force on the second.
func signalContexts() (running, force context.Context) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	running, cancelRunning := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancelRunning()
		<-signals
		cancelForce()
	}()
	return running, force
}
