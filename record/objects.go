// Package record is the host's part that keeps the records of non-idempotent
// requests: it gives package once the platform's objects, and groups the
// writes of all hosts at one keeper for each range of keys.
package record

import (
	"context"
	"fmt"

	"nutmegfield.example/objects"
	"nutmegfield.example/once"
)

// objectKind is the kind of the records' keptObjects in the platform.
const objectKind = "record"

// keptObjects gives a range its seams over the platform.
type keptObjects struct {
	client *objects.Client
}

func (keptObjects *keptObjects) read(ctx context.Context, name string) (once.Object, error) {
	object, err := keptObjects.client.Get(ctx, objectKind, name)
	if err != nil {
		return once.Object{}, translate(err)
	}
	return once.Object{Name: name, Version: object.Version, Value: object.Value}, nil
}

func (keptObjects *keptObjects) write(ctx context.Context, object once.Object) (int64, error) {
	version, err := keptObjects.client.Put(ctx, objects.Object{
		Kind: objectKind, Name: object.Name, Version: object.Version, Value: object.Value,
	})
	if err != nil {
		return 0, translate(err)
	}
	return version, nil
}

func (keptObjects *keptObjects) remove(ctx context.Context, name string) error {
	object, err := keptObjects.client.Get(ctx, objectKind, name)
	if err != nil {
		return translate(err)
	}
	if err := keptObjects.client.Delete(ctx, objectKind, name, object.Version); err != nil {
		return translate(err)
	}
	return nil
}

// translate gives an error of the platform the type that once knows.
func translate(err error) error {
	switch {
	case objects.Is(err, objects.NotFound):
		return once.Missing.Wrap(err, "call the platform")
	case objects.Is(err, objects.Conflict):
		return once.Conflict.Wrap(err, "call the platform")
	case objects.Is(err, objects.AnswerLost):
		return once.Lost.Wrap(err, "call the platform")
	default:
		return fmt.Errorf("call the platform: %w", err)
	}
}
