// Package replay sends a recorded trace of requests to running hosts and
// compares the answers with the outcomes that the trace expects.
package replay

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/request"
	"nutmegfield.example/yamlfile"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("replay")
	// BadFile is returned for a file that can't be decoded as a trace.
	BadFile = Errors.NewType("badFile")
	// BadValue is returned for a key of the file whose value is not allowed.
	BadValue = Errors.NewType("badValue")
)

// Trace is a list of requests with the expected outcomes.
type Trace struct {
	Name string `yaml:"name"`
	// Tiers lists the names of the tiers, the most important first.
	Tiers []string `yaml:"tiers"`
	// TierOrder checks that no request was shed while one of a lower tier waited
	// in the same pool and zone and ran later.
	TierOrder bool `yaml:"tierOrder"`
	// Waited is the time since its acceptance by an entry host after which a
	// request counts as waiting at the scheduler.
	Waited   time.Duration `yaml:"waited" default:"1s"`
	Requests []Request     `yaml:"requests"`
}

// Kinds of request.
const (
	KindChat    = "chat"
	KindStream  = "stream"
	KindService = "service"
)

// Broken is the outcome of a request whose answer failed or ended without an
// outcome.
const Broken request.Outcome = "broken"

// Request is a request of a trace and its expected outcome.
type Request struct {
	Name string `yaml:"name"`
	// At is the time from the start of the replay.
	At time.Duration `yaml:"at"`
	// Host is the index in Player.URLs of the host that gets the request.
	Host int    `yaml:"host"`
	Kind string `yaml:"kind"`
	// Pool is the name of the model or service.
	Pool string `yaml:"pool"`
	// Workspace is sent as header field, Token as bearer token; either
	// identifies the workspace, and empty ones aren't sent.
	Workspace string `yaml:"workspace"`
	Token     string `yaml:"token"`
	Profile   string `yaml:"profile"`
	Tier      string `yaml:"tier"`
	// Key is the idempotency key.
	Key string `yaml:"key"`
	// Timeout shortens the profile's deadline; 0 leaves it as it is.
	Timeout time.Duration `yaml:"timeout"`
	// Patience is how long the caller waits before it closes the connection.
	Patience time.Duration `yaml:"patience" default:"2m"`
	// Method, Path and Body are used for KindService only.
	Method string `yaml:"method" default:"GET"`
	Path   string `yaml:"path" default:"/"`
	Body   string `yaml:"body"`
	// Prompt is the user message of a chat. If PromptTokens is above 0, a message
	// of about that many tokens is generated from Seed instead.
	Prompt       string `yaml:"prompt"`
	PromptTokens int    `yaml:"promptTokens"`
	Seed         uint64 `yaml:"seed"`
	// OutputTokens limits the length of the answer; 0 is no limit.
	OutputTokens int `yaml:"outputTokens"`
	// Outcomes lists the allowed outcomes, Reasons the allowed reasons of an
	// outcome other than done; empty Reasons allow any.
	Outcomes []request.Outcome `yaml:"outcomes"`
	Reasons  []request.Reason  `yaml:"reasons"`
	// Contains is a text that the body of a done answer must contain.
	Contains string `yaml:"contains"`
}

// Load reads a trace from a file and validates it for a number of hosts; see
// Decode.
func Load(file string, hosts int) (*Trace, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	return Decode(file, text, hosts)
}

// Decode reads a trace from YAML and validates it for a number of hosts. It
// returns BadFile for text that isn't a trace, and otherwise an error that
// lists every invalid value with file, line and key.
func Decode(file string, text []byte, hosts int) (*Trace, error) {
	trace := &Trace{}
	read, err := yamlfile.Read(file, text, trace, BadValue)
	if err != nil {
		return nil, BadFile.Wrap(err, "read trace")
	}
	checker := &checker{Checker: read, trace: trace, hosts: hosts}
	if checker.Valid() {
		checker.check()
	}
	if err := checker.Err(); err != nil {
		return nil, fmt.Errorf("check trace: %w", err)
	}
	return trace, nil
}

type checker struct {
	*yamlfile.Checker
	trace *Trace
	hosts int
}

func (checker *checker) check() {
	trace := checker.trace
	if len(trace.Requests) == 0 {
		checker.AddFault(yamlfile.Path{"requests"}, "lists no request, at least one is needed")
	}
	checker.checkNotNegative(yamlfile.Path{"waited"}, trace.Waited)
	names := map[string]struct{}{}
	for i := range trace.Requests {
		request := &trace.Requests[i]
		path := yamlfile.Path{"requests", i}
		if request.Name == "" {
			checker.AddFault(path.At("name"), "is missing")
		}
		if _, ok := names[request.Name]; ok {
			checker.AddFault(path.At("name"), "%q stands twice", request.Name)
		}
		names[request.Name] = struct{}{}
		checker.checkRequest(path, request)
		checker.checkExpected(path, request)
	}
}

func (checker *checker) checkRequest(path yamlfile.Path, request *Request) {
	checker.checkNotNegative(path.At("at"), request.At)
	checker.checkNotNegative(path.At("timeout"), request.Timeout)
	if request.Patience <= 0 {
		checker.AddFault(path.At("patience"), "is %s, must be above 0", request.Patience)
	}
	if request.Host < 0 || request.Host >= checker.hosts {
		checker.AddFault(path.At("host"), "is %d, allowed: 0 to %d, as %d hosts are given", request.Host, checker.hosts-1, checker.hosts)
	}
	if kinds := []string{KindChat, KindStream, KindService}; !slices.Contains(kinds, request.Kind) {
		checker.AddFault(path.At("kind"), "is %q, allowed: %s", request.Kind, strings.Join(kinds, ", "))
	}
	if request.Pool == "" {
		checker.AddFault(path.At("pool"), "is missing")
	}
	if !strings.HasPrefix(request.Path, "/") {
		checker.AddFault(path.At("path"), "is %q, must begin with /", request.Path)
	}
	if request.PromptTokens < 0 || request.PromptTokens > maxPromptTokens {
		checker.AddFault(path.At("promptTokens"), "is %d, allowed: 0 to %d", request.PromptTokens, maxPromptTokens)
	}
	if request.OutputTokens < 0 {
		checker.AddFault(path.At("outputTokens"), "is %d, must be at least 0", request.OutputTokens)
	}
}

// maxPromptTokens limits the length of generated prompts.
const maxPromptTokens = 1_000_000

func (checker *checker) checkExpected(path yamlfile.Path, expected *Request) {
	if checker.trace.TierOrder && !slices.Contains(checker.trace.Tiers, expected.Tier) {
		checker.AddFault(path.At("tier"), "%q is not a tier, allowed: %s", expected.Tier, strings.Join(checker.trace.Tiers, ", "))
	}
	if len(expected.Outcomes) == 0 {
		checker.AddFault(path.At("outcomes"), "lists no outcome, allowed: %s", join(outcomes))
	}
	for i, outcome := range expected.Outcomes {
		if !slices.Contains(outcomes, outcome) {
			checker.AddFault(path.At("outcomes", i), "is %q, allowed: %s", outcome, join(outcomes))
		}
	}
	for i, reason := range expected.Reasons {
		if !slices.Contains(request.Reasons(), reason) {
			checker.AddFault(path.At("reasons", i), "is %q, allowed: %s", reason, join(request.Reasons()))
		}
	}
}

var outcomes = []request.Outcome{request.Done, request.NotRun, request.Failed, request.Unknown, Broken}

func join[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}

func (checker *checker) checkNotNegative(path yamlfile.Path, duration time.Duration) {
	if duration < 0 {
		checker.AddFault(path, "is %s, must be at least 0", duration)
	}
}
