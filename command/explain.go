package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"nutmegfield.example/diagnosis"
)

type explainCommand struct {
	Format    string `long:"format" choice:"text" choice:"json" default:"text" description:"output format"`
	Arguments struct {
		Request string   `positional-arg-name:"ID" required:"yes" description:"the request's id"`
		Files   []string `positional-arg-name:"FILE" description:"logs of hosts; standard input if there are none"`
	} `positional-args:"yes"`
}

func init() {
	Register(Command{
		Name:  "explain",
		Short: "explain from logs why a request ended as it did",
		Long: "Read the logs of hosts and explain how a request ended: its lines of all hosts in order, what these hosts knew then, " +
			"and the cause of its end. The exit status is 1 if no line has the id.",
		Data: &explainCommand{},
	})
}

// Execute reads the logs and writes the explanation.
func (command *explainCommand) Execute([]string) error {
	lines, err := command.readLogs()
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	explanation := diagnosis.Explain(lines, command.Arguments.Request)
	if err := command.writeExplanation(explanation); err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	if len(explanation.Lines) == 0 {
		return NoEvents.New("no line has the id %s", explanation.Request)
	}
	return nil
}

func (command *explainCommand) readLogs() ([]diagnosis.Line, error) {
	if len(command.Arguments.Files) == 0 {
		return command.readLog("standard input", os.Stdin)
	}
	var all []diagnosis.Line
	for _, name := range command.Arguments.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("open a log: %w", err)
		}
		lines, err := command.readLog(name, file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog reads a log and prints the number of lines that it skipped to standard
// error.
func (command *explainCommand) readLog(name string, reader io.Reader) ([]diagnosis.Line, error) {
	lines, unrecognized, err := diagnosis.Read(reader)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if unrecognized > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d unrecognized lines skipped\n", name, unrecognized)
	}
	return lines, nil
}

func (command *explainCommand) writeExplanation(explanation *diagnosis.Explanation) error {
	if command.Format == "json" {
		if err := json.NewEncoder(os.Stdout).Encode(explanation); err != nil {
			return fmt.Errorf("write explanation: %w", err)
		}
		return nil
	}
	return explanation.WriteText(os.Stdout)
}
