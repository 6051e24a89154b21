// Package route holds the routes by which a gateway forwards requests: which
// pool a host and path lead to, what may be repeated, which workspace a key
// belongs to and what it may use.
package route

import "time"

// Configuration is one version of all routes, pools and workspaces.
type Configuration struct {
	// Version rises with each change.
	Version    int64       `json:"version"`
	Routes     []Route     `json:"routes"`
	Pools      []Pool      `json:"pools"`
	Workspaces []Workspace `json:"workspaces"`
	Limits     Limits      `json:"limits"`
}

// Route sends the requests of a host under a path prefix to pools.
type Route struct {
	Name string `json:"name"`
	// Host is compared without port and without regard to case.
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Pools share the route's requests by weight.
	Pools []Share `json:"pools"`
	// Streaming answers are events that are passed on as they come.
	Streaming bool `json:"streaming"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Resumable streams may go on at another target after their last event.
	Resumable bool `json:"resumable"`
	// Anonymous routes ask for no key.
	Anonymous bool `json:"anonymous"`
	// Timeout is the longest time a request may take; 0 is no limit.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time to the answer, or to a stream's first event, that
	// callers count as in time.
	Objective time.Duration `json:"objective"`
	// EventGap is the longest pause between events that is in time.
	EventGap time.Duration `json:"eventGap"`
	// Attempts is the most targets that one request is sent to.
	Attempts int `json:"attempts"`
	// Tier is the rank of its requests, 0 the most important.
	Tier int `json:"tier"`
}

// Repeatable reports whether a request may run at a second target.
func (route *Route) Repeatable() bool { return route.Idempotent || route.Resumable }

// Share is a pool's part of a route's requests.
type Share struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Pool is a group of targets that serve the same requests.
type Pool struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// Connections is the most that each target accepts from all hosts.
	Connections int `json:"connections"`
	// Engine is set for pools of model engines.
	Engine *Engine `json:"engine"`
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the size of a batch.
	Slots int `json:"slots"`
	// CacheTokens is the memory for running requests and kept prefixes.
	CacheTokens int `json:"cacheTokens"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `json:"eventTokens"`
}

// Workspace is a customer of the system.
type Workspace struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Tier, where it is set, goes before the route's.
	Tier  *int  `json:"tier"`
	Quota Quota `json:"quota"`
}

// Quota is a token bucket over all hosts. A rate of 0 is no limit.
type Quota struct {
	// InTokens counts prompt and output tokens; else requests are counted.
	InTokens bool `json:"inTokens"`
	// Rate is the units a second.
	Rate float64 `json:"rate"`
	// Burst is the units that may be used at once.
	Burst float64 `json:"burst"`
	// PlainTokens is what a request without token counts costs.
	PlainTokens int `json:"plainTokens"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int `json:"headerBytes"`
	BodyBytes   int `json:"bodyBytes"`
	// HeaderTimeout bounds the reading of a header.
	HeaderTimeout time.Duration `json:"headerTimeout"`
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration `json:"idleTimeout"`
}
