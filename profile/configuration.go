// Package profile defines the operators' configuration, with its tiers, profiles,
// workspaces, pools and targets, and decodes and checks it. The configuration is
// the only means by which operators control the system.
package profile

import (
	"time"

	"nutmegfield.example/request"
)

// Configuration is the complete configuration that an operator applies.
type Configuration struct {
	// Format is the version of this file format.
	Format int `yaml:"format" default:"1"`
	// Tiers lists the names of the tiers, the most important first.
	Tiers      []string    `yaml:"tiers"`
	Profiles   []Profile   `yaml:"profiles"`
	Workspaces []Workspace `yaml:"workspaces"`
	Pools      []Pool      `yaml:"pools"`
	Limits     Limits      `yaml:"limits"`
}

// Profile describes the requests that use it: their tier, deadline and what may be
// done with them.
type Profile struct {
	Name string `yaml:"name"`
	Tier string `yaml:"tier"`
	// Deadline is the time from a request's arrival within which its answer is
	// useful.
	Deadline time.Duration `yaml:"deadline" default:"30s"`
	// Sheddable requests may be refused under overload.
	Sheddable bool `yaml:"sheddable"`
	// Idempotent requests may be repeated by their caller without further effects.
	Idempotent bool `yaml:"idempotent"`
	// OutputTokens is the expected length of an answer if the caller sets no
	// limit.
	OutputTokens int `yaml:"outputTokens" default:"256"`
}

// Workspace is a customer of the system.
type Workspace struct {
	Name string `yaml:"name"`
	// Weight determines its share of each pool relative to the other workspaces'
	// weights.
	Weight int `yaml:"weight" default:"1"`
	// TokenHashes holds the SHA-256 sums, in lower-case hexadecimal, of the bearer
	// tokens that authenticate this workspace.
	TokenHashes []string `yaml:"tokenHashes"`
	// MaxWaiting limits its waiting requests on one host; 0 means no limit.
	MaxWaiting int `yaml:"waiting"`
	// MaxRate limits its requests per second on one host; 0 means no limit.
	MaxRate float64 `yaml:"rate"`
}

// Kinds of pool.
const (
	KindModel   = "model"
	KindService = "service"
)

// Pool is one model or one service and the targets that serve it.
type Pool struct {
	Name string `yaml:"name"`
	Kind string `yaml:"kind"`
	// Profile is the name of the profile used if the caller names none.
	Profile string `yaml:"profile"`
	// Profiles holds the names of the others that a caller may name.
	Profiles []string `yaml:"profiles"`
	// Policy is the name of the routing policy.
	Policy string `yaml:"policy" default:"expectedFinish"`
	// MaxWaiting limits the tickets that wait in one zone.
	MaxWaiting int      `yaml:"waiting" default:"10000"`
	Targets    []Target `yaml:"targets"`
}

// Target is one server behind a pool.
type Target struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Protocol is the name of the registered client for it.
	Protocol string `yaml:"protocol"`
	// Address is its base URL.
	Address string `yaml:"address"`
	// Slots limits the requests that it runs at once.
	Slots int `yaml:"slots" default:"8"`
	// Fenced targets refuse an order with an old fencing number.
	Fenced bool `yaml:"fenced"`
	// Leaving targets get no new work.
	Leaving bool `yaml:"leaving"`
	// Wanted is the state that the target is to be brought into.
	Wanted Wanted `yaml:"wanted"`
}

// Limits holds the limits that apply on every host.
type Limits struct {
	// RecordRetention is how long the record of a non-idempotent request is
	// kept.
	RecordRetention time.Duration `yaml:"recordRetention" default:"24h"`
	// MaxAnswerBytes limits the answer kept in a record.
	MaxAnswerBytes int `yaml:"recordAnswer" default:"4096"`
	// WeightLoads limits the loads from the weight store.
	WeightLoads WeightLoads `yaml:"weightLoads"`
}

// Snapshot is a configuration with its version in the platform and lookups by
// name. It is immutable once in force.
type Snapshot struct {
	Version       int64
	Configuration Configuration
	// AppliedAt is when this host created the snapshot in order to apply it.
	AppliedAt time.Time
	// Text is the YAML text that the configuration was decoded from, to be sent to
	// peers.
	Text []byte

	tiers      map[string]request.Tier
	profiles   map[string]*Profile
	pools      map[string]*Pool
	workspaces map[string]*Workspace
	tokens     map[string]*Workspace
}

// NewSnapshot returns a snapshot of a checked configuration, without its text.
func NewSnapshot(version int64, configuration Configuration) *Snapshot {
	snapshot := &Snapshot{
		Version:       version,
		Configuration: configuration,
		AppliedAt:     time.Now(),
		tiers:         map[string]request.Tier{},
		profiles:      map[string]*Profile{},
		pools:         map[string]*Pool{},
		workspaces:    map[string]*Workspace{},
		tokens:        map[string]*Workspace{},
	}
	for i, tier := range configuration.Tiers {
		snapshot.tiers[tier] = request.Tier(i)
	}
	for i := range configuration.Profiles {
		profile := &snapshot.Configuration.Profiles[i]
		snapshot.profiles[profile.Name] = profile
	}
	for i := range configuration.Pools {
		pool := &snapshot.Configuration.Pools[i]
		snapshot.pools[pool.Name] = pool
	}
	for i := range configuration.Workspaces {
		workspace := &snapshot.Configuration.Workspaces[i]
		snapshot.workspaces[workspace.Name] = workspace
		for _, hash := range workspace.TokenHashes {
			snapshot.tokens[hash] = workspace
		}
	}
	return snapshot
}

// Tier returns the rank of a tier by name, 0 for the most important one and for an
// unknown name.
func (snapshot *Snapshot) Tier(name string) request.Tier { return snapshot.tiers[name] }

// Profile returns a profile by name, nil if there is none.
func (snapshot *Snapshot) Profile(name string) *Profile { return snapshot.profiles[name] }

// Pool returns a pool by name, nil if there is none.
func (snapshot *Snapshot) Pool(name string) *Pool { return snapshot.pools[name] }

// Workspace returns a workspace by name, nil if there is none.
func (snapshot *Snapshot) Workspace(name string) *Workspace { return snapshot.workspaces[name] }

// WorkspaceByTokenHash returns the workspace of a token by its SHA-256 sum in
// lower-case hexadecimal, nil if there is none. The time of a lookup by hash reveals
// nothing about the token.
func (snapshot *Snapshot) WorkspaceByTokenHash(hash string) *Workspace {
	return snapshot.tokens[hash]
}

// Target returns a target of a pool by name, nil if there is none.
func (pool *Pool) Target(name string) *Target {
	for i := range pool.Targets {
		if pool.Targets[i].Name == name {
			return &pool.Targets[i]
		}
	}
	return nil
}

// Allows reports whether callers of the pool may use the profile.
func (pool *Pool) Allows(profile string) bool {
	if profile == pool.Profile {
		return true
	}
	for _, name := range pool.Profiles {
		if name == profile {
			return true
		}
	}
	return false
}
