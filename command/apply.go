package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"nutmegfield.example/objects"
	"nutmegfield.example/profile"
)

const platformTimeout = 10 * time.Second

type platformOptions struct {
	Platform string `long:"platform" required:"true" value-name:"URL" description:"the platform's object API"`
}

func (options *platformOptions) client() *objects.Client {
	return &objects.Client{Address: options.Platform, Timeout: platformTimeout, Do: new(http.Client).Do}
}

type apply struct {
	platformOptions
	File    string `long:"file" required:"true" value-name:"FILE" description:"the configuration"`
	Version int64  `long:"version" default:"-1" description:"apply only over this version; 0 for none yet; by default over the present one"`
}

func init() {
	Register(Command{
		Name:  "apply",
		Short: "put a configuration in force",
		Long:  "Check a configuration and write it to the platform, on condition that nobody else changed it meanwhile.",
		Data:  &apply{},
	})
}

// Execute applies the file.
func (apply *apply) Execute([]string) error {
	text, err := readConfiguration(apply.File)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	client := apply.client()
	ctx := context.Background()
	over, err := apply.over(ctx, client)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	api := client.API()
	written, err := api.PutConfirmed(ctx, objects.Object{
		Kind: profile.ObjectKind, Name: profile.ObjectName, Version: over, Value: text,
	})
	if objects.Is(err, objects.Conflict) {
		return conflict(ctx, client, over)
	}
	if objects.Is(err, objects.AnswerLost) {
		return fmt.Errorf("apply over version %d: it is not known whether the configuration was taken; see status: %w", over, err)
	}
	if err != nil {
		return fmt.Errorf("apply over version %d: %w", over, err)
	}
	fmt.Fprintf(os.Stdout, "version %d\n", written.Version)
	return nil
}

// conflict names the version that another operator applied meanwhile.
func conflict(ctx context.Context, client *objects.Client, over int64) error {
	other, err := client.Get(ctx, profile.ObjectKind, profile.ObjectName)
	if objects.Is(err, objects.NotFound) {
		return Conflict.New("apply over version %d: the platform holds no configuration", over)
	}
	if err != nil {
		return Conflict.Wrap(err, "apply over version %d: another operator changed the configuration, read it back", over)
	}
	when := "at a time that the platform does not say"
	if !other.Written.IsZero() {
		when = other.Written.UTC().Format(time.RFC3339)
	}
	return Conflict.New("apply over version %d: another operator applied version %d, %s; get it, merge, and apply with --version %d",
		over, other.Version, when, other.Version)
}

func (apply *apply) over(ctx context.Context, client *objects.Client) (int64, error) {
	if apply.Version >= 0 {
		return apply.Version, nil
	}
	object, err := client.Get(ctx, profile.ObjectKind, profile.ObjectName)
	if objects.Is(err, objects.NotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read the present version: %w", err)
	}
	return object.Version, nil
}
