package command

import (
	"fmt"
	"os"

	"nutmegfield.example/policy"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/settings"
)

type checkCommand struct {
	Settings      string `long:"settings" value-name:"FILE" description:"a host's settings to check"`
	Configuration string `long:"configuration" value-name:"FILE" description:"a configuration to check"`
}

func init() {
	Register(Command{
		Name:  "check",
		Short: "check files without a platform",
		Long:  "Check a host's settings, a configuration, or both. Every error is printed with file, line and key.",
		Data:  &checkCommand{},
	})
}

// Execute checks the files.
func (command *checkCommand) Execute([]string) error {
	if command.Settings == "" && command.Configuration == "" {
		return errNothingToCheck
	}
	if command.Settings != "" {
		if _, err := settings.Load(command.Settings); err != nil {
			return fmt.Errorf("check: %w", err)
		}
	}
	if command.Configuration != "" {
		if _, err := readConfiguration(command.Configuration); err != nil {
			return fmt.Errorf("check: %w", err)
		}
	}
	fmt.Println("ok")
	return nil
}

// readConfiguration reads a file and returns its text if it is a valid
// configuration.
func readConfiguration(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	if _, err := registeredNames().Decode(file, text); err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return text, nil
}

// registeredNames returns the policies and protocols that this program supports.
func registeredNames() *profile.RegisteredNames {
	return &profile.RegisteredNames{Policies: policy.Names(), Protocols: protocol.Protocols()}
}
