package command_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/objects"
	"nutmegfield.example/profile"
	"nutmegfield.example/standin"
)

// process is a host that runs the built program, with a stand-in for the platform
// and an engine that answers when the channel answer is closed.
type process struct {
	*qt.C
	command  *exec.Cmd
	log      *bufio.Scanner
	address  string
	received chan struct{}
	answer   chan struct{}
}

func startProcess(t *testing.T) *process {
	c := qt.New(t)
	process := &process{C: c, received: make(chan struct{}), answer: make(chan struct{})}
	directory := c.TempDir()
	binary := filepath.Join(directory, "nutmegfield")
	built, err := exec.Command("go", "build", "-o", binary, "nutmegfield.example").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", built))

	engine := httptest.NewServer(http.HandlerFunc(process.engine))
	c.Cleanup(engine.Close)
	platform := httptest.NewServer((&standin.Platform{}).Handler())
	c.Cleanup(platform.Close)
	client := &objects.Client{Address: platform.URL, Timeout: 10 * time.Second, Do: new(http.Client).Do}
	_, err = client.Put(context.Background(), objects.Object{Kind: profile.ObjectKind, Name: profile.ObjectName, Value: []byte(
		"tiers: [draft]\nprofiles: [{name: draft, tier: draft, idempotent: true}]\nworkspaces: [{name: clubs}]\n" +
			"pools: [{name: boots, kind: model, profile: draft, targets: [{name: e1, zone: a, protocol: engine, address: '" + engine.URL + "'}]}]\n")})
	c.Assert(err, qt.IsNil)

	process.address = freeAddress(c)
	file := filepath.Join(directory, "host.yaml")
	c.Assert(os.WriteFile(file, []byte("host: {id: a1, zone: a}\ncallers: {listen: '"+process.address+"'}\n"+
		"operators: {listen: '"+freeAddress(c)+"'}\npeers: {listen: '"+freeAddress(c)+"'}\n"+
		"platform: {address: '"+platform.URL+"'}\ndrain: {notice: 0s}\n"), 0o600), qt.IsNil)
	process.command = exec.Command(binary, "serve", "--settings", file)
	pipe, err := process.command.StdoutPipe()
	c.Assert(err, qt.IsNil)
	process.log = bufio.NewScanner(pipe)
	c.Assert(process.command.Start(), qt.IsNil)
	c.Cleanup(func() { _ = process.command.Process.Kill() })
	process.waitForLog("configuration in force")
	return process
}

func freeAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

// completeAnswer is the format of the engine's answer; its value is the request's
// id.
const completeAnswer = `{"id":%q,"whole":true}`

func (process *process) engine(writer http.ResponseWriter, received *http.Request) {
	if received.Method != http.MethodPost {
		http.NotFound(writer, received)
		return
	}
	_, _ = io.Copy(io.Discard, received.Body)
	close(process.received)
	select {
	case <-process.answer:
		_, _ = fmt.Fprintf(writer, completeAnswer, received.Header.Get("Nutmegfield-Request"))
	case <-received.Context().Done():
	}
}

// waitForLog reads the log up to a line that contains the text.
func (process *process) waitForLog(text string) {
	for process.log.Scan() {
		if strings.Contains(process.log.Text(), text) {
			return
		}
	}
	process.Fatalf("the log ended before %q", text)
}

// sendRequest sends a request and waits until the engine has received it. The
// channel gets the outcome and the body, or "whole" for a complete answer.
func (process *process) sendRequest() <-chan string {
	answers := make(chan string, 1)
	body := `{"model":"boots","messages":[{"role":"user","content":"a boot"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+process.address+"/v1/chat/completions", strings.NewReader(body))
	process.Assert(err, qt.IsNil)
	request.Header.Set("Nutmegfield-Workspace", "clubs")
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			answers <- err.Error()
			return
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		complete := fmt.Sprintf(completeAnswer, response.Header.Get("Nutmegfield-Request"))
		if string(text) == complete {
			text = []byte("whole")
		}
		answers <- response.Header.Get("Nutmegfield-Outcome") + " " + string(text)
	}()
	<-process.received
	return answers
}

func (process *process) terminate() {
	process.Assert(process.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
}

func (process *process) exitCode() int {
	for process.log.Scan() {
		continue
	}
	_ = process.command.Wait()
	return process.command.ProcessState.ExitCode()
}

// TestDrainCompletesActiveRequests checks that a host completes active requests
// after SIGTERM and then exits with code 0.
func TestDrainCompletesActiveRequests(t *testing.T) {
	process := startProcess(t)
	answers := process.sendRequest()
	process.terminate()
	process.waitForLog("draining")
	close(process.answer)
	process.Assert(<-answers, qt.Equals, "done whole")
	process.Assert(process.exitCode(), qt.Equals, 0)
}

// TestSecondSignalCutsActiveRequests checks that a second signal ends a drain, that
// each request cut is logged, and that the exit code is 1.
func TestSecondSignalCutsActiveRequests(t *testing.T) {
	process := startProcess(t)
	answers := process.sendRequest()
	process.terminate()
	process.waitForLog("draining")
	process.terminate()
	process.waitForLog("drain cut short")
	process.waitForLog("request cut")
	<-answers
	process.Assert(process.exitCode(), qt.Equals, 1)
}
