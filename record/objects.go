// Package record is the host's part that keeps the records of non-idempotent
// requests: it gives package once the platform's objects, and groups the
// writes of all hosts at one keeper for each range of keys.
package record

import (
	"context"
	"fmt"

	"nutmegfield.example/once"
	"nutmegfield.example/platform"
)

// objectKind is the kind of the records' objects in the platform.
const objectKind = "record"

// objects gives a range its seams over the platform.
type objects struct {
	client *platform.Client
}

func (objects *objects) read(ctx context.Context, name string) (once.Object, error) {
	object, err := objects.client.Get(ctx, objectKind, name)
	if err != nil {
		return once.Object{}, translate(err)
	}
	return once.Object{Name: name, Version: object.Version, Value: object.Value}, nil
}

func (objects *objects) write(ctx context.Context, object once.Object) (int64, error) {
	version, err := objects.client.Put(ctx, platform.Object{
		Kind: objectKind, Name: object.Name, Version: object.Version, Value: object.Value,
	})
	if err != nil {
		return 0, translate(err)
	}
	return version, nil
}

func (objects *objects) remove(ctx context.Context, name string) error {
	object, err := objects.client.Get(ctx, objectKind, name)
	if err != nil {
		return translate(err)
	}
	if err := objects.client.Delete(ctx, objectKind, name, object.Version); err != nil {
		return translate(err)
	}
	return nil
}

// translate gives an error of the platform the type that once knows.
func translate(err error) error {
	switch {
	case platform.Is(err, platform.NotFound):
		return once.Missing.Wrap(err, "call the platform")
	case platform.Is(err, platform.Conflict):
		return once.Conflict.Wrap(err, "call the platform")
	case platform.Is(err, platform.Lost):
		return once.Lost.Wrap(err, "call the platform")
	default:
		return fmt.Errorf("call the platform: %w", err)
	}
}
