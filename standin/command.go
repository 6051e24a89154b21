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

// Commands are the subcommands of nutmegfield-standin.
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
	DecodeRate  float64 `long:"decode-rate" default:"100" description:"output tokens a second for each request"`
}

// Execute runs the stand-in.
func (engine *engineCommand) Execute([]string) error {
	standin := &Engine{Name: engine.Name, PrefillRate: engine.PrefillRate, DecodeRate: engine.DecodeRate}
	return engine.serve(standin.Handler())
}

type serviceCommand struct {
	listen
	Name  string        `long:"name" default:"service" description:"its name"`
	Delay time.Duration `long:"delay" default:"1ms" description:"how long a call takes"`
}

// Execute runs the stand-in.
func (service *serviceCommand) Execute([]string) error {
	standin := &Service{Name: service.Name, Delay: service.Delay}
	return service.serve(standin.Handler())
}

type platformCommand struct {
	listen
}

// Execute runs the stand-in.
func (platform *platformCommand) Execute([]string) error {
	return platform.serve((&Platform{}).Handler())
}
