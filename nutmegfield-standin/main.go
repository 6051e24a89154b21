// Command nutmegfield-standin runs one stand-in of an outside system, for
// tests and for trying nutmegfield out.
package main

import (
	"os"

	"nutmegfield.example/command"
	"nutmegfield.example/standin"
)

func main() {
	os.Exit(command.Run("nutmegfield-standin", os.Args[1:], standin.Commands()))
}
