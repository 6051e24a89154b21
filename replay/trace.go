// Package replay plays a recorded trace of requests against running hosts and
// holds what their callers were told against the outcomes that the trace
// states.
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
	// BadFile is returned for a text that is no trace.
	BadFile = Errors.NewType("badFile")
	// BadValue is returned for a key whose value is not allowed.
	BadValue = Errors.NewType("badValue")
)

// Trace is a list of requests with what is stated of them.
type Trace struct {
	Name string `yaml:"name"`
	// Tiers lists the names of the tiers, the most important first.
	Tiers []string `yaml:"tiers"`
	// TierOrder states that no request was shed while one of a lower tier that
	// waited in the same pool and zone ran after it.
	TierOrder bool `yaml:"tierOrder"`
	// Waited is how long a request of a lower tier must have been with its
	// entry host to count as waiting at the scheduler.
	Waited   time.Duration `yaml:"waited" default:"1s"`
	Requests []Request     `yaml:"requests"`
}

// Kinds of request.
const (
	KindChat    = "chat"
	KindStream  = "stream"
	KindService = "service"
)

// Broken is what a caller is left with whose answer ended without a final
// word.
const Broken request.Outcome = "broken"

// Request is one request and its stated outcome.
type Request struct {
	Name string `yaml:"name"`
	// At is the time from the start of the replay.
	At time.Duration `yaml:"at"`
	// Host is the index of the host asked, in the order given.
	Host int    `yaml:"host"`
	Kind string `yaml:"kind"`
	// Pool is the model or service.
	Pool string `yaml:"pool"`
	// Workspace and Token name the workspace, Token as its bearer token.
	Workspace string `yaml:"workspace"`
	Token     string `yaml:"token"`
	Profile   string `yaml:"profile"`
	Tier      string `yaml:"tier"`
	// Key is the idempotency key.
	Key string `yaml:"key"`
	// Timeout shortens the profile's deadline; 0 does not.
	Timeout time.Duration `yaml:"timeout"`
	// Patience is how long the caller waits before it hangs up.
	Patience time.Duration `yaml:"patience" default:"2m"`
	// Method, Path and Body are for services.
	Method string `yaml:"method" default:"GET"`
	Path   string `yaml:"path" default:"/"`
	Body   string `yaml:"body"`
	// Prompt is the message of a chat; PromptTokens asks for one of about that
	// length instead, equal for equal Seeds.
	Prompt       string `yaml:"prompt"`
	PromptTokens int    `yaml:"promptTokens"`
	Seed         uint64 `yaml:"seed"`
	// OutputTokens limits the answer; 0 does not.
	OutputTokens int `yaml:"outputTokens"`
	// Outcomes are those allowed, Reasons those allowed beside them; no Reasons
	// allow all.
	Outcomes []request.Outcome `yaml:"outcomes"`
	Reasons  []request.Reason  `yaml:"reasons"`
	// Contains must stand in the answer.
	Contains string `yaml:"contains"`
}

// Load reads a trace from a file and checks it against the number of hosts.
func Load(file string, hosts int) (*Trace, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	return Decode(file, text, hosts)
}

// Decode reads a trace from YAML and checks it against the number of hosts.
// The error names every fault with file, line and key.
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
	checker.notNegative(yamlfile.Path{"waited"}, trace.Waited)
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
		checker.checkStated(path, request)
	}
}

func (checker *checker) checkRequest(path yamlfile.Path, request *Request) {
	checker.notNegative(path.At("at"), request.At)
	checker.notNegative(path.At("timeout"), request.Timeout)
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

// maxPromptTokens bounds the text that is made for a prompt.
const maxPromptTokens = 1_000_000

func (checker *checker) checkStated(path yamlfile.Path, stated *Request) {
	if checker.trace.TierOrder && !slices.Contains(checker.trace.Tiers, stated.Tier) {
		checker.AddFault(path.At("tier"), "%q is not a tier, allowed: %s", stated.Tier, strings.Join(checker.trace.Tiers, ", "))
	}
	if len(stated.Outcomes) == 0 {
		checker.AddFault(path.At("outcomes"), "lists no outcome, allowed: %s", join(outcomes))
	}
	for i, outcome := range stated.Outcomes {
		if !slices.Contains(outcomes, outcome) {
			checker.AddFault(path.At("outcomes", i), "is %q, allowed: %s", outcome, join(outcomes))
		}
	}
	for i, reason := range stated.Reasons {
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

func (checker *checker) notNegative(path yamlfile.Path, duration time.Duration) {
	if duration < 0 {
		checker.AddFault(path, "is %s, must be at least 0", duration)
	}
}
