// Command nutmegfield is the request scheduler and its operators' tools.
package main

import (
	"os"

	"nutmegfield.example/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}
