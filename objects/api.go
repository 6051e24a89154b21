package objects

import (
	"context"
	"time"
)

// API is the object API as function fields, so that what uses it can be run
// against a stand-in in the same process. Each call is bounded in time. Errors
// are those of this package.
type API struct {
	// Get reads an object.
	Get func(ctx context.Context, kind, name string) (Object, error)
	// Put writes an object on condition that its version is still the given
	// one and returns the new version.
	Put func(ctx context.Context, object Object) (int64, error)
	// Delete removes an object on condition of its version.
	Delete func(ctx context.Context, kind, name string, version int64) error
	// Watch waits for a version above after; false when the time passed.
	Watch func(ctx context.Context, kind, name string, after int64, wait time.Duration) (Object, bool, error)
	// List reads all objects of a kind.
	List func(ctx context.Context, kind string) ([]Object, error)
	// Hosts reads the list of live and leaving hosts, which lags.
	Hosts func(ctx context.Context) ([]ListedHost, error)
}

// API returns the client's calls.
func (client *Client) API() API {
	return API{
		Get:    client.Get,
		Put:    client.Put,
		Delete: client.Delete,
		Watch:  client.Watch,
		List:   client.List,
		Hosts:  client.Hosts,
	}
}
