package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"nutmegfield.example/head"
	"nutmegfield.example/objects"
	"nutmegfield.example/profile"
)

const platformTimeout = 10 * time.Second

type platformOptions struct {
	Platform string `long:"platform" required:"true" value-name:"URL" description:"the platform's object API"`
}

func (options *platformOptions) client() *objects.Client {
	return &objects.Client{Address: options.Platform, Timeout: platformTimeout, Do: (&http.Client{Transport: head.Default()}).Do}
}

type applyCommand struct {
	platformOptions
	File    string `long:"file" required:"true" value-name:"FILE" description:"the configuration"`
	Version int64  `long:"version" default:"-1" description:"replace only this version, 0 if there is none yet; default: the present version"`
}

func init() {
	Register(Command{
		Name:  "apply",
		Short: "put a configuration in force",
		Long:  "Check a configuration and write it to the platform, unless somebody else has changed the present one meanwhile.",
		Data:  &applyCommand{},
	})
}

// Execute writes the configuration to the platform and prints its version.
func (command *applyCommand) Execute([]string) error {
	configuration, err := readConfiguration(command.File)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	client := command.client()
	ctx := context.Background()
	baseVersion, err := command.baseVersion(ctx, client)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	api := client.API()
	written, err := api.PutConfirmed(ctx, objects.Object{
		Kind: profile.ObjectKind, Name: profile.ObjectName, Version: baseVersion, Value: configuration,
	})
	if objects.Is(err, objects.Conflict) {
		return newConflict(ctx, client, baseVersion)
	}
	if objects.Is(err, objects.AnswerLost) {
		return fmt.Errorf("apply over version %d: unknown whether the configuration was written, run status to see: %w", baseVersion, err)
	}
	if err != nil {
		return fmt.Errorf("apply over version %d: %w", baseVersion, err)
	}
	fmt.Fprintf(os.Stdout, "version %d\n", written.Version)
	return nil
}

// newConflict returns a Conflict error with the present version and the time when
// another operator applied it, if the platform returns them.
func newConflict(ctx context.Context, client *objects.Client, baseVersion int64) error {
	current, err := client.Get(ctx, profile.ObjectKind, profile.ObjectName)
	if objects.Is(err, objects.NotFound) {
		return Conflict.New("apply over version %d: the platform holds no configuration", baseVersion)
	}
	if err != nil {
		return Conflict.Wrap(err, "apply over version %d: another operator changed the configuration; reading the new version failed", baseVersion)
	}
	writtenAt := "at an unknown time"
	if !current.Written.IsZero() {
		writtenAt = current.Written.UTC().Format(time.RFC3339)
	}
	return Conflict.New("apply over version %d: another operator applied version %d, %s; get it, merge, and apply with --version %d",
		baseVersion, current.Version, writtenAt, current.Version)
}

// baseVersion returns the version to replace: that of the options, or the
// platform's present version, or 0 if the platform has none.
func (command *applyCommand) baseVersion(ctx context.Context, client *objects.Client) (int64, error) {
	if command.Version >= 0 {
		return command.Version, nil
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
