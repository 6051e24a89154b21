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
	// Format is the version of the file format that the configuration is in.
	Format int `yaml:"format" default:"1"`
	// Tiers lists the names of the tiers, the most important first.
	Tiers      []string    `yaml:"tiers"`
	Profiles   []Profile   `yaml:"profiles"`
	Workspaces []Workspace `yaml:"workspaces"`
	Pools      []Pool      `yaml:"pools"`
	Limits     Limits      `yaml:"limits"`
}

// Profile describes the requests that use it: their tier and deadline, and whether
// they may be refused or repeated.
type Profile struct {
	Name string `yaml:"name"`
	Tier string `yaml:"tier"`
	// Deadline is how long after a request's arrival its answer is still useful.
	Deadline time.Duration `yaml:"deadline" default:"30s"`
	// Sheddable requests may be refused under overload.
	Sheddable bool `yaml:"sheddable"`
	// Idempotent requests may be repeated by their caller without further effects.
	Idempotent bool `yaml:"idempotent"`
	// OutputTokens is the expected number of tokens in an answer if the caller
	// sets no limit.
	OutputTokens int `yaml:"outputTokens" default:"256"`
}

// Workspace is a customer of the system.
type Workspace struct {
	Name string `yaml:"name"`
	// Weight determines the workspace's share of each pool, relative to the
	// weights of the other workspaces.
	Weight int `yaml:"weight" default:"1"`
	// TokenHashes holds the SHA-256 sums, in lower-case hexadecimal, of the bearer
	// tokens that authenticate this workspace.
	TokenHashes []string `yaml:"tokenHashes"`
	// MaxWaiting is the maximum number of the workspace's waiting requests on
	// one host; 0 means no limit.
	MaxWaiting int `yaml:"waiting"`
	// MaxRate is the maximum number of the workspace's requests per second on
	// one host; 0 means no limit.
	MaxRate float64 `yaml:"rate"`
}

// Kinds of pools.
const (
	KindModel   = "model"
	KindService = "service"
)

// Pool is one model or one service and the targets that serve it.
type Pool struct {
	Name string `yaml:"name"`
	// Kind is KindModel or KindService.
	Kind string `yaml:"kind"`
	// Profile is the name of the profile of requests that name none.
	Profile string `yaml:"profile"`
	// Profiles holds the names of further profiles that requests may name.
	Profiles []string `yaml:"profiles"`
	// Policy is the name of the routing policy.
	Policy string `yaml:"policy" default:"expectedFinish"`
	// MaxWaiting is the maximum number of the pool's tickets that wait in one
	// zone.
	MaxWaiting int      `yaml:"waiting" default:"10000"`
	Targets    []Target `yaml:"targets"`
}

// Target is one server behind a pool.
type Target struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
	// Protocol is the registered name of the protocol that the target speaks.
	Protocol string `yaml:"protocol"`
	// Address is the target's base URL.
	Address string `yaml:"address"`
	// Slots is the maximum number of requests that the target runs at once.
	Slots int `yaml:"slots" default:"8"`
	// Fenced targets refuse an order with an old fencing number.
	Fenced bool `yaml:"fenced"`
	// Leaving targets get no new requests.
	Leaving bool `yaml:"leaving"`
	// Wanted is the state that orders bring the target into.
	Wanted Wanted `yaml:"wanted"`
}

// Limits holds the limits of records and of loads from the weight store.
type Limits struct {
	// RecordRetention is how long the record of a non-idempotent request is
	// kept.
	RecordRetention time.Duration `yaml:"recordRetention" default:"24h"`
	// MaxAnswerBytes is the maximum size of the answer kept in a record. A
	// record holds nothing of a longer answer.
	MaxAnswerBytes int `yaml:"recordAnswer" default:"4096"`
	// WeightLoadLimit limits the rate of loads from the weight store.
	WeightLoadLimit WeightLoadLimit `yaml:"weightLoads"`
}

// Snapshot is a configuration with its version in the platform and with lookups by
// name. It must not be changed once it is in force.
type Snapshot struct {
	Version       int64
	Configuration Configuration
	// AppliedAt is the time at which this host created the snapshot.
	AppliedAt time.Time
	// Text is the YAML text that the configuration was decoded from. Peers get
	// this text.
	Text []byte

	tiers                 map[string]request.Tier
	profiles              map[string]*Profile
	pools                 map[string]*Pool
	workspaces            map[string]*Workspace
	workspacesByTokenHash map[string]*Workspace
}

// NewSnapshot returns a snapshot, without Text, of a configuration that has passed
// the checks of Decode.
func NewSnapshot(version int64, configuration Configuration) *Snapshot {
	snapshot := &Snapshot{
		Version:               version,
		Configuration:         configuration,
		AppliedAt:             time.Now(),
		tiers:                 map[string]request.Tier{},
		profiles:              map[string]*Profile{},
		pools:                 map[string]*Pool{},
		workspaces:            map[string]*Workspace{},
		workspacesByTokenHash: map[string]*Workspace{},
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
			snapshot.workspacesByTokenHash[hash] = workspace
		}
	}
	return snapshot
}

// Tier returns the rank of the tier with a name: 0 for the most important tier, and
// for an unknown name.
func (snapshot *Snapshot) Tier(name string) request.Tier { return snapshot.tiers[name] }

// Profile returns a profile by name, nil if there is none.
func (snapshot *Snapshot) Profile(name string) *Profile { return snapshot.profiles[name] }

// Pool returns a pool by name, nil if there is none.
func (snapshot *Snapshot) Pool(name string) *Pool { return snapshot.pools[name] }

// Workspace returns a workspace by name, nil if there is none.
func (snapshot *Snapshot) Workspace(name string) *Workspace { return snapshot.workspaces[name] }

// WorkspaceByTokenHash returns the workspace that the token with a SHA-256 sum, in
// lower-case hexadecimal, authenticates, nil if there is none. As the lookup is by
// hash, its duration reveals nothing about the token.
func (snapshot *Snapshot) WorkspaceByTokenHash(hash string) *Workspace {
	return snapshot.workspacesByTokenHash[hash]
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

// Allows reports whether requests to the pool may use the profile of a name.
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
