// Package record stores the records of package once as objects of the
// platform, and groups the writes of all hosts by forwarding them to one owner
// for each range of keys.
package record

import (
	"context"
	"fmt"

	"nutmegfield.example/objects"
	"nutmegfield.example/once"
)

// objectKind is the kind of the platform objects that hold records.
const objectKind = "record"

// objectStore implements Read, Write and Remove of a once.KeyRange with
// objects of the platform.
type objectStore struct {
	client *objects.Client
}

func (objectStore *objectStore) read(ctx context.Context, name string) (once.Object, error) {
	object, err := objectStore.client.Get(ctx, objectKind, name)
	if err != nil {
		return once.Object{}, convertError(err)
	}
	return once.Object{Name: name, Version: object.Version, Value: object.Value}, nil
}

func (objectStore *objectStore) write(ctx context.Context, object once.Object) (int64, error) {
	version, err := objectStore.client.Put(ctx, objects.Object{
		Kind: objectKind, Name: object.Name, Version: object.Version, Value: object.Value,
	})
	if err != nil {
		return 0, convertError(err)
	}
	return version, nil
}

func (objectStore *objectStore) remove(ctx context.Context, name string) error {
	object, err := objectStore.client.Get(ctx, objectKind, name)
	if err != nil {
		return convertError(err)
	}
	if err := objectStore.client.Delete(ctx, objectKind, name, object.Version); err != nil {
		return convertError(err)
	}
	return nil
}

// convertError converts an error of the platform to the error types of package
// once.
func convertError(err error) error {
	switch {
	case objects.Is(err, objects.NotFound):
		return once.NotFound.Wrap(err, "call the platform")
	case objects.Is(err, objects.Conflict):
		return once.Conflict.Wrap(err, "call the platform")
	case objects.Is(err, objects.AnswerLost):
		return once.Lost.Wrap(err, "call the platform")
	default:
		return fmt.Errorf("call the platform: %w", err)
	}
}
