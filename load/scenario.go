// Package load describes, makes and judges load: a scenario in YAML becomes a
// seeded schedule of requests, which a driver plays against running hosts or,
// in package simulation, against the scheduler and engine models in one
// process. The report is the same for both.
package load

import (
	"bytes"
	"embed"
	"fmt"
	"os"
	"time"

	"github.com/creasty/defaults"
	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("load")
	// BadScenario is returned for a text that is no scenario.
	BadScenario = Errors.NewType("badScenario")
)

// Scenario is a load and the system it is meant for.
type Scenario struct {
	Name string `yaml:"name"`
	// Duration is how long requests arrive; those of the first WarmUp are not
	// judged.
	Duration time.Duration `yaml:"duration"`
	WarmUp   time.Duration `yaml:"warmUp"`
	// Rate is the arrivals a second at 1.0 of capacity, Factor what it is
	// multiplied by.
	Rate   float64 `yaml:"rate"`
	Factor float64 `yaml:"factor" default:"1"`
	// Tiers lists the names of the tiers, the most important first.
	Tiers      []string    `yaml:"tiers"`
	Zones      []string    `yaml:"zones"`
	Hosts      int         `yaml:"hosts"`
	Workspaces []Workspace `yaml:"workspaces"`
	Pools      []Pool      `yaml:"pools"`
	Classes    []Class     `yaml:"classes"`
	// Waves make the whole load come in waves around its mean.
	Waves  Waves   `yaml:"waves"`
	Bursts []Burst `yaml:"bursts"`
	Faults []Fault `yaml:"faults"`
	Delays Delays  `yaml:"delays"`
}

// Workspace sends a share of the load.
type Workspace struct {
	Name   string  `yaml:"name"`
	Weight int     `yaml:"weight" default:"1"`
	Share  float64 `yaml:"share"`
}

// Pool is a model or a service with its targets. One without engines is a
// service.
type Pool struct {
	Name     string    `yaml:"name"`
	Waiting  int       `yaml:"waiting" default:"2000"`
	Engines  []Engine  `yaml:"engines"`
	Services []Service `yaml:"services"`
}

// Engine is a target that runs a model.
type Engine struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// PrefillRate and DecodeRate are tokens a second: of the whole engine and
	// of a request that runs alone.
	PrefillRate float64 `yaml:"prefillRate"`
	DecodeRate  float64 `yaml:"decodeRate"`
	// Slots is the most requests at once, BatchSlope the share by which each
	// further one lengthens a decode step.
	Slots      int     `yaml:"slots"`
	BatchSlope float64 `yaml:"batchSlope" default:"0.02"`
	Chunk      int     `yaml:"chunk" default:"512"`
	// Memory is the KV memory in tokens.
	Memory int `yaml:"memory"`
}

// Service is a plain target.
type Service struct {
	Name  string        `yaml:"name"`
	Zone  string        `yaml:"zone"`
	Slots int           `yaml:"slots"`
	Time  time.Duration `yaml:"time"`
}

// Class is a kind of request.
type Class struct {
	Name       string        `yaml:"name"`
	Pool       string        `yaml:"pool"`
	Profile    string        `yaml:"profile"`
	Tier       string        `yaml:"tier"`
	Deadline   time.Duration `yaml:"deadline"`
	Sheddable  bool          `yaml:"sheddable"`
	Idempotent bool          `yaml:"idempotent"`
	// Share is the part of all arrivals that are of this class; a turn after
	// the first is no arrival of its own.
	Share float64 `yaml:"share"`
	// Prompt is what only this request holds, Output the answer; tokens.
	Prompt Length `yaml:"prompt"`
	Output Length `yaml:"output"`
	Shared Shared `yaml:"shared"`
	Turns  Turns  `yaml:"turns"`
	// Method and Path are for services.
	Method string `yaml:"method" default:"GET"`
	Path   string `yaml:"path" default:"/"`
}

// Length is a log-normal length in tokens.
type Length struct {
	Median int     `yaml:"median"`
	Spread float64 `yaml:"spread"`
	Least  int     `yaml:"least" default:"1"`
	Most   int     `yaml:"most"`
}

// Shared is the head that several requests' prompts have in common. Each
// workspace has a number of groups at a time; popular ones by Zipf's law.
type Shared struct {
	Groups int     `yaml:"groups"`
	Skew   float64 `yaml:"skew" default:"1.1"`
	Tokens Length  `yaml:"tokens"`
	// Life is how long a group lasts before another takes its place.
	Life time.Duration `yaml:"life" default:"10m"`
}

// Turns makes a conversation of a request: each turn's prompt holds the one
// before and its answer.
type Turns struct {
	Most int `yaml:"most" default:"1"`
	// Think is the time between two turns.
	Think time.Duration `yaml:"think"`
}

// Waves are intervals of higher load; between them it is lower.
type Waves struct {
	Every  time.Duration `yaml:"every"`
	For    time.Duration `yaml:"for"`
	Factor float64       `yaml:"factor"`
}

// Burst multiplies the load of one workspace, on top of the rate.
type Burst struct {
	Workspace string        `yaml:"workspace"`
	At        time.Duration `yaml:"at"`
	For       time.Duration `yaml:"for"`
	Factor    float64       `yaml:"factor"`
}

// Fault is something that fails for a time: a target is slow by a factor, or
// crashed, a zone is lost with its hosts and targets, an engine takes only so many
// requests a second, or a caller sends a request again and again that crashes the
// engines which run it.
type Fault struct {
	At    time.Duration `yaml:"at"`
	For   time.Duration `yaml:"for"`
	Slow  string        `yaml:"slow"`
	Times float64       `yaml:"times"`
	Crash string        `yaml:"crash"`
	Zone  string        `yaml:"zone"`
	// Limited is an engine that takes Rate requests a second from all hosts together,
	// which its load reports say.
	Limited string  `yaml:"limited"`
	Rate    float64 `yaml:"rate"`
	// Crashing is the class of the crashing request, which is sent Every so
	// often; a crashed engine is back after Down.
	Crashing string        `yaml:"crashing"`
	Every    time.Duration `yaml:"every" default:"400ms"`
	Down     time.Duration `yaml:"down" default:"3s"`
}

// Delays are the times messages and knowledge take in the simulation.
type Delays struct {
	// Message is between two hosts or a host and a target, Caller between a
	// caller and a host.
	Message time.Duration `yaml:"message" default:"500us"`
	Caller  time.Duration `yaml:"caller" default:"5ms"`
	// Report is how old a load report is, ReportEvery how often it is read.
	Report      time.Duration `yaml:"report" default:"2s"`
	ReportEvery time.Duration `yaml:"reportEvery" default:"1s"`
	// Events is how late cache events are, EventLoss the share that is lost.
	Events      time.Duration `yaml:"events" default:"2s"`
	EventsEvery time.Duration `yaml:"eventsEvery" default:"500ms"`
	EventLoss   float64       `yaml:"eventLoss" default:"0.02"`
	// Lost is how long callers are still sent to a zone that is gone.
	Lost time.Duration `yaml:"lost" default:"3s"`
	// Patience is how often a caller resends a request that was not run.
	Patience int `yaml:"patience" default:"4"`
}

//go:embed scenarios/*.yaml
var named embed.FS

// Load reads a scenario from a file, or a named one that comes with the
// program.
func Load(file string) (*Scenario, error) {
	text, err := named.ReadFile("scenarios/" + file + ".yaml")
	if err != nil {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	return Decode(file, text)
}

// Decode reads a scenario from YAML and checks it.
func Decode(file string, text []byte) (*Scenario, error) {
	scenario := &Scenario{}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(scenario); err != nil {
		return nil, BadScenario.Wrap(err, "%s", file)
	}
	if err := defaults.Set(scenario); err != nil {
		return nil, fmt.Errorf("set defaults of %s: %w", file, err)
	}
	if err := scenario.check(); err != nil {
		return nil, fmt.Errorf("check %s: %w", file, err)
	}
	return scenario, nil
}

// Tier returns the rank of a tier, -1 if there is none of that name.
func (scenario *Scenario) Tier(name string) int {
	for i, tier := range scenario.Tiers {
		if tier == name {
			return i
		}
	}
	return -1
}

// Pool returns a pool by name, nil if there is none.
func (scenario *Scenario) Pool(name string) *Pool {
	for i := range scenario.Pools {
		if scenario.Pools[i].Name == name {
			return &scenario.Pools[i]
		}
	}
	return nil
}
