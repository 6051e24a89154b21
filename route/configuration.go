// Package route holds a gateway's routing configuration: the pools that a host
// and path lead to, which requests may be retried, and the workspaces with
// their keys and quotas.
package route

import "time"

// Configuration is one version of all routes, pools and workspaces.
type Configuration struct {
	// Version increases with each change.
	Version    int64       `json:"version"`
	Routes     []Route     `json:"routes"`
	Pools      []Pool      `json:"pools"`
	Workspaces []Workspace `json:"workspaces"`
	Limits     Limits      `json:"limits"`
	// Ignored names the figures that were out of their range, and count as not given.
	Ignored []string `json:"ignored,omitempty"`
}

// Route sends the requests for a host and a path prefix to pools.
type Route struct {
	Name string `json:"name"`
	// Host is compared without port and case-insensitively.
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Pools receive the route's requests in proportion to their weights.
	Pools []WeightedPool `json:"pools"`
	// Streaming is set if answers are server-sent events, which are forwarded as
	// they arrive.
	Streaming bool `json:"streaming"`
	// Idempotent is set if a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Resumable is set if another target can continue a stream after the last
	// event received.
	Resumable bool `json:"resumable"`
	// Anonymous is set if requests need no key.
	Anonymous bool `json:"anonymous"`
	// Timeout is the longest time that a request may take; 0 means no limit.
	Timeout time.Duration `json:"timeout"`
	// Objective is the longest time to the answer, or to the first event of a
	// stream, that counts as on time.
	Objective time.Duration `json:"objective"`
	// EventGap is the longest time between two events that counts as on time.
	EventGap time.Duration `json:"eventGap"`
	// Attempts is the maximum number of targets that a request is sent to.
	Attempts int `json:"attempts"`
	// Tier is the priority of the route's requests; 0 is the highest.
	Tier int `json:"tier"`
}

// Retryable reports whether a request may be sent to a second target.
func (route *Route) Retryable() bool { return route.Idempotent || route.Resumable }

// WeightedPool is a pool and the weight by which it receives a route's
// requests.
type WeightedPool struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Pool is a group of targets that serve the same requests.
type Pool struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// Connections is the maximum number of connections that each target accepts
	// from all hosts together.
	Connections int `json:"connections"`
	// Engine is set for pools of model engines, else nil.
	Engine *Engine `json:"engine"`
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that an engine runs at once in a batch.
	Slots int `json:"slots"`
	// CacheTokens is the size of an engine's memory for running requests and
	// cached prefixes, in tokens.
	CacheTokens int `json:"cacheTokens"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `json:"eventTokens"`
}

// Workspace is a customer of the system, with its keys and quota.
type Workspace struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Tier overrides the route's tier if set.
	Tier  *int  `json:"tier"`
	Quota Quota `json:"quota"`
}

// Quota is a token bucket shared by all hosts. A rate of 0 means no limit.
type Quota struct {
	// InTokens is set if the units of the quota are prompt and output tokens;
	// otherwise they are requests.
	InTokens bool `json:"inTokens"`
	// Rate is in units per second.
	Rate float64 `json:"rate"`
	// Burst is the number of units that may be used at once.
	Burst float64 `json:"burst"`
	// PlainTokens is the cost, in tokens, of a request without token counts.
	PlainTokens int `json:"plainTokens"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int `json:"headerBytes"`
	BodyBytes   int `json:"bodyBytes"`
	// HeaderTimeout bounds the time to read a header.
	HeaderTimeout time.Duration `json:"headerTimeout"`
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration `json:"idleTimeout"`
}
