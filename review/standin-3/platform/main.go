// Command standin-3 runs the cases of a review: it starts hosts of the program as processes, and
// stands in for the store, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a case, which are its exit statuses.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(deployment *deployment, withTrouble bool) (int, error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE ROOT RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, recordName string) int {
	record, err := newRecord(recordName)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return notRun
	}
	deployment, err := newDeployment(root, record)
	if err != nil {
		record.say("the case can't run: %v", err)
		return notRun
	}
	defer deployment.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		record.say("the case was ended from outside")
		deployment.close()
		os.Exit(notRun)
	}()
	result, err := play(deployment, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.say("the case can't run: %v", err)
		return notRun
	}
	return result
}
