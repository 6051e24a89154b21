package command

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUsage runs each line of testdata/usage/flags.txt: the expected exit code,
// followed by the arguments.
func TestUsage(t *testing.T) {
	c := qt.New(t)
	file, err := os.Open("testdata/usage/flags.txt")
	c.Assert(err, qt.IsNil)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		c.Assert(strconv.Itoa(Main(fields[1:])), qt.Equals, fields[0], qt.Commentf("%s", lines.Text()))
	}
}
