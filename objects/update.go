package objects

import (
	"bytes"
	"context"
	"fmt"
)

// maxUpdateAttempts limits the attempts of Update; each one after a conflict with
// another writer computes the change anew.
const maxUpdateAttempts = 5

// Change returns the new value of an object from the current one, whose version
// is 0 if the object does not exist. The value must contain something that no
// other writer writes, such as the writer's id: if the answer to the write is
// lost, the value read back shows whose write it was.
type Change func(current Object) ([]byte, error)

// Update reads an object, applies the change and writes it conditionally, and
// starts over if another writer was faster. A write whose answer was lost is
// repeated only after the object was read back. It fails with the error of the
// change, or with Conflict, Refused, Unavailable, or AnswerLost if it is unknown
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

// PutConfirmed writes an object conditionally. If the answer is lost it reads
// the object back: a new version with the same value means that the write took
// effect. If the version is unchanged it sends the same conditional write again,
// as at most one of the two can succeed. Anything else is a Conflict. It fails
// with AnswerLost if the object can't be read back or all answers are lost.
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
		// After a lost answer, a conflict may be with this call's own earlier write.
		answerLostBefore := Is(lastErr, AnswerLost)
		if !Is(err, AnswerLost) && (!answerLostBefore || !Is(err, Conflict)) {
			return Object{}, err
		}
		stored, readErr := api.getIfExists(ctx, object.Kind, object.Name)
		switch {
		case readErr != nil:
			return Object{}, AnswerLost.Wrap(readErr, "read %s/%s back after the answer to a write was lost", object.Kind, object.Name)
		case stored.Version != object.Version && bytes.Equal(stored.Value, object.Value):
			return stored, nil
		case stored.Version != object.Version:
			return Object{}, Conflict.New("the stored version is %d", stored.Version)
		}
		lastErr = err
	}
	return Object{}, lastErr
}

// getIfExists reads an object; it returns one of version 0 if it does not exist.
func (api *API) getIfExists(ctx context.Context, kind, name string) (Object, error) {
	object, err := api.Get(ctx, kind, name)
	if Is(err, NotFound) {
		return Object{Kind: kind, Name: name}, nil
	}
	return object, err
}
