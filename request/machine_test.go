package request_test

import (
	"bufio"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/request"
)

// TestMachine runs the scripts of testdata/machine.txt: each line is a step
// and whether it succeeds; an empty line begins a new machine.
func TestMachine(t *testing.T) {
	c := qt.New(t)
	file, err := os.Open("testdata/machine.txt")
	c.Assert(err, qt.IsNil)
	defer file.Close()
	machine := &request.StateMachine{}
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 {
			machine = &request.StateMachine{}
			continue
		}
		steps := map[string]func() bool{
			"grant":    machine.Grant,
			"return":   machine.Requeue,
			"dispatch": machine.Dispatch,
			"undo":     machine.UndoDispatch,
			"ran":      machine.WasDispatched,
			"answer": func() bool {
				_, first := machine.Answer()
				return first
			},
		}
		c.Assert(steps[fields[0]](), qt.Equals, fields[1] == "yes", qt.Commentf("line %d", number))
	}
}
