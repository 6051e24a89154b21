// Package command implements the subcommands of the program. Each has a file of
// its own and registers itself.
package command

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Command describes a subcommand.
type Command struct {
	Name  string
	Short string
	Long  string
	// Data is a pointer to a struct with the options as go-flags tags; its
	// Execute method runs the command.
	Data flags.Commander
}

var commands []Command

// Register adds a subcommand to those of Main; it is called from init functions.
func Register(command Command) { commands = append(commands, command) }

// Main runs the subcommand that the arguments name and returns the exit code.
func Main(arguments []string) int {
	return Run("nutmegfield", arguments, commands)
}

// Run parses the arguments of a program with the given subcommands, runs the
// subcommand that they name and returns the exit code.
func Run(program string, arguments []string, commands []Command) int {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	sorted := append([]Command(nil), commands...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	for _, command := range sorted {
		if _, err := parser.AddCommand(command.Name, command.Short, command.Long, command.Data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
	}
	if name := repeatedFlag(parser, arguments); name != "" {
		fmt.Fprintf(os.Stderr, "flag %s is given more than once\n", name)
		return exitUsage
	}
	parser.CommandHandler = executeCommand
	_, err := parser.ParseArgs(arguments)
	return reportError(err)
}

// executeCommand runs a command, or returns a usage error if there are arguments
// that the command does not take.
func executeCommand(command flags.Commander, arguments []string) error {
	if len(arguments) > 0 {
		return &flags.Error{Type: flags.ErrUnknown, Message: "unexpected argument " + arguments[0]}
	}
	if command == nil {
		return nil
	}
	return command.Execute(arguments)
}

// repeatedFlag returns a flag that is given more than once, or an empty string.
// Without this check, the parser would silently use the last value. Flags that
// accept several values may be repeated.
func repeatedFlag(parser *flags.Parser, arguments []string) string {
	seen := map[string]bool{}
	for _, argument := range arguments {
		if argument == "--" {
			break
		}
		name, _, _ := strings.Cut(argument, "=")
		if !strings.HasPrefix(name, "--") {
			continue
		}
		if seen[name] && !acceptsSeveralValues(parser, strings.TrimPrefix(name, "--")) {
			return name
		}
		seen[name] = true
	}
	return ""
}

// acceptsSeveralValues reports whether any command has a flag of this name that
// accepts several values.
func acceptsSeveralValues(parser *flags.Parser, name string) bool {
	for _, command := range parser.Commands() {
		option := command.FindOptionByLongName(name)
		if option != nil && option.Field().Type.Kind() == reflect.Slice {
			return true
		}
	}
	return false
}

// reportError prints the error or the requested help, if any, and returns the exit
// code.
func reportError(err error) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if !errors.As(err, &usage) {
		fmt.Fprintln(os.Stderr, "error:", err)
		return exitFailed
	}
	if usage.Type == flags.ErrHelp {
		fmt.Fprintln(os.Stdout, usage.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, usage.Message)
	return exitUsage
}
