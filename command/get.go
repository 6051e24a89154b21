package command

import (
	"context"
	"fmt"
	"os"

	"nutmegfield.example/profile"
)

type getCommand struct {
	platformOptions
}

func init() {
	Register(Command{
		Name:  "get",
		Short: "print the configuration that the platform holds",
		Long:  "Print the configuration on standard output and its version on standard error.",
		Data:  &getCommand{},
	})
}

// Execute prints the configuration and its version.
func (command *getCommand) Execute([]string) error {
	object, err := command.client().Get(context.Background(), profile.ObjectKind, profile.ObjectName)
	if err != nil {
		return fmt.Errorf("get: %w", err)
	}
	fmt.Fprintf(os.Stderr, "version %d\n", object.Version)
	if _, err := os.Stdout.Write(object.Value); err != nil {
		return fmt.Errorf("get: %w", err)
	}
	return nil
}
