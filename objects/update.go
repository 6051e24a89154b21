package objects

import (
	"bytes"
	"context"
	"fmt"
)

// maxUpdateAttempts is how often a change is tried against others' maxUpdateAttempts.
const maxUpdateAttempts = 5

// Change makes the new value of an object from the present one, whose version
// is 0 if there is none. The value must hold something that no other writer
// writes, such as the writer's id, so that it is known again when the answer
// to the write was lost.
type Change func(present Object) ([]byte, error)

// Update reads an object, changes it and writes it on condition, again when
// another writer was faster. A write whose answer was lost is never repeated
// blindly: the object is read back first. It fails with the change's own
// error, or with Conflict, Refused, Unavailable, or Lost when it stays open
// whether the change took effect.
func (api *API) Update(ctx context.Context, kind, name string, change Change) (Object, error) {
	var lastErr error
	for attempt := range maxUpdateAttempts {
		if attempt > 0 && !backOff(ctx, attempt) {
			break
		}
		current, err := api.getIfExists(ctx, kind, name)
		if err != nil {
			return Object{}, err
		}
		value, err := change(current)
		if err != nil {
			return Object{}, fmt.Errorf("change %s/%s: %w", kind, name, err)
		}
		current.Value = value
		object, err := api.PutConfirmed(ctx, current)
		if err == nil {
			return object, nil
		}
		if !Is(err, Conflict) {
			return Object{}, err
		}
		lastErr = err
	}
	if lastErr == nil {
		lastErr = Unavailable.Wrap(ctx.Err(), "update %s/%s", kind, name)
	}
	return Object{}, lastErr
}

// PutConfirmed writes an object on condition. When the answer is lost it reads
// the object back: the same value means that the write took effect, the old
// version that the same conditional write may be sent again, which at most
// one of the two can pass; anything else is a Conflict. It fails with Lost
// when the object could not be read back.
func (api *API) PutConfirmed(ctx context.Context, object Object) (Object, error) {
	var lastErr error
	for attempt := range maxAttempts {
		if attempt > 0 && !backOff(ctx, attempt) {
			break
		}
		version, err := api.Put(ctx, object)
		if err == nil {
			object.Version = version
			return object, nil
		}
		// After a lost answer the conflict may be with the own write.
		answerLostBefore := Is(lastErr, AnswerLost)
		if !Is(err, AnswerLost) && (!answerLostBefore || !Is(err, Conflict)) {
			return Object{}, err
		}
		stored, readErr := api.getIfExists(ctx, object.Kind, object.Name)
		switch {
		case readErr != nil:
			return Object{}, AnswerLost.Wrap(readErr, "read %s/%s back after a lost answer", object.Kind, object.Name)
		case stored.Version != object.Version && bytes.Equal(stored.Value, object.Value):
			return stored, nil
		case stored.Version != object.Version:
			return Object{}, Conflict.New("version is %d", stored.Version)
		}
		lastErr = err
	}
	return Object{}, lastErr
}

// getIfExists reads an object; a version of 0 stands for one that is missing.
func (api *API) getIfExists(ctx context.Context, kind, name string) (Object, error) {
	object, err := api.Get(ctx, kind, name)
	if Is(err, NotFound) {
		return Object{Kind: kind, Name: name}, nil
	}
	return object, err
}
