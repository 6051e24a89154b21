package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"nutmegfield.example/command"
)

const headerTimeout = 5 * time.Second

// Commands returns the subcommands of nutmegfield-standin.
func Commands() []command.Command {
	return []command.Command{
		{Name: "engine", Short: "stand in for a model engine", Data: &engineCommand{}},
		{Name: "service", Short: "stand in for a plain service", Data: &serviceCommand{}},
		{Name: "platform", Short: "stand in for the platform", Data: &platformCommand{}},
	}
}

type listen struct {
	Listen string `long:"listen" required:"true" value-name:"ADDRESS" description:"address to listen on"`
}

func (listen *listen) serve(handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Addr: listen.Listen, Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

type engineCommand struct {
	listen
	Name        string  `long:"name" default:"engine" description:"its name"`
	PrefillRate float64 `long:"prefill-rate" default:"4000" description:"prompt tokens a second"`
	DecodeRate  float64 `long:"decode-rate" default:"100" description:"output tokens a second of a request alone"`

	Slots        int           `long:"slots" default:"16" description:"requests it runs at once"`
	BatchSlope   float64       `long:"batch-slope" default:"0.02" description:"share by which each further request lengthens a decode step"`
	Chunk        int           `long:"chunk" default:"512" description:"prompt tokens computed in one step"`
	Memory       int           `long:"memory" default:"400000" description:"KV memory in tokens"`
	EventLag     time.Duration `long:"event-lag" default:"2s" description:"how late cache events are"`
	EventLoss    float64       `long:"event-loss" default:"0.02" description:"share of cache events that is lost"`
	ReportLag    time.Duration `long:"report-lag" default:"2s" description:"how old the load report is"`
	StreamTTL    time.Duration `long:"stream-keep" default:"30s" description:"how long an unread stream is kept"`
	TransferRate float64       `long:"transfer-rate" default:"100000" description:"tokens a second of KV export and import"`
	Fenced       bool          `long:"fenced" description:"refuse orders with an old fencing number"`
}

// Execute serves the stand-in until SIGTERM or SIGINT.
func (engineCommand *engineCommand) Execute([]string) error {
	engine := &Engine{
		Name:        engineCommand.Name,
		PrefillRate: engineCommand.PrefillRate,
		DecodeRate:  engineCommand.DecodeRate,
		Options: EngineOptions{
			Slots:        engineCommand.Slots,
			BatchSlope:   engineCommand.BatchSlope,
			ChunkTokens:  engineCommand.Chunk,
			MemoryTokens: engineCommand.Memory,
			EventLag:     engineCommand.EventLag,
			EventLoss:    engineCommand.EventLoss,
			ReportLag:    engineCommand.ReportLag,
			StreamTTL:    engineCommand.StreamTTL,
			TransferRate: engineCommand.TransferRate,
			Fenced:       engineCommand.Fenced,
		},
	}
	return engineCommand.serve(engine.Handler())
}

type serviceCommand struct {
	listen
	Name  string        `long:"name" default:"service" description:"its name"`
	Delay time.Duration `long:"delay" default:"1ms" description:"how long a call takes"`
}

// Execute serves the stand-in until SIGTERM or SIGINT.
func (serviceCommand *serviceCommand) Execute([]string) error {
	service := &Service{Name: serviceCommand.Name, Delay: serviceCommand.Delay}
	return serviceCommand.serve(service.Handler())
}

type platformCommand struct {
	listen
}

// Execute serves the stand-in until SIGTERM or SIGINT.
func (platformCommand *platformCommand) Execute([]string) error {
	return platformCommand.serve((&Platform{}).Handler())
}
