package objects

import (
	"context"
	"time"
)

// API holds the calls of the object API as function fields, so that its users
// can run against a stand-in in the same process. Each call has a time limit.
// Errors are of this package's types.
type API struct {
	// Get reads an object.
	Get func(ctx context.Context, kind, name string) (Object, error)
	// Put writes an object if its stored version still equals object.Version
	// and returns the new version.
	Put func(ctx context.Context, object Object) (int64, error)
	// Delete removes an object if its stored version equals version.
	Delete func(ctx context.Context, kind, name string, version int64) error
	// Watch waits for a version higher than after; it returns false if there
	// was none within wait.
	Watch func(ctx context.Context, kind, name string, after int64, wait time.Duration) (Object, bool, error)
	// List reads all objects of a kind.
	List func(ctx context.Context, kind string) ([]Object, error)
	// Hosts reads the platform's list of live and leaving hosts, which may be
	// out of date.
	Hosts func(ctx context.Context) ([]ListedHost, error)
}

// API returns the client's methods as an API.
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
