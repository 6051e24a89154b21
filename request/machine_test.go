package request_test

import (
	"bufio"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/request"
)

// TestMachine runs the scripts in testdata/machine.txt. Each line is a step and
// whether it succeeds; an empty line starts a new state machine.
func TestMachine(t *testing.T) {
	c := qt.New(t)
	file, err := os.Open("testdata/machine.txt")
	c.Assert(err, qt.IsNil)
	defer file.Close()
	stateMachine := &request.StateMachine{}
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 {
			stateMachine = &request.StateMachine{}
			continue
		}
		steps := map[string]func() bool{
			"grant":         stateMachine.Grant,
			"requeue":       stateMachine.Requeue,
			"dispatch":      stateMachine.Dispatch,
			"undo":          stateMachine.UndoDispatch,
			"wasDispatched": stateMachine.WasDispatched,
			"answer": func() bool {
				_, first := stateMachine.Answer()
				return first
			},
		}
		c.Assert(steps[fields[0]](), qt.Equals, fields[1] == "yes", qt.Commentf("line %d", number))
	}
}
