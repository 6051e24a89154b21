package objects

import (
	"bytes"
	"context"
	"fmt"
)

// changes is how often a change is tried against others' changes.
const changes = 5

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
	var last error
	for attempt := range changes {
		if attempt > 0 && !pauseBefore(ctx, attempt) {
			break
		}
		present, err := api.getOrNone(ctx, kind, name)
		if err != nil {
			return Object{}, err
		}
		value, err := change(present)
		if err != nil {
			return Object{}, fmt.Errorf("change %s/%s: %w", kind, name, err)
		}
		present.Value = value
		written, err := api.PutConfirmed(ctx, present)
		if err == nil {
			return written, nil
		}
		if !Is(err, Conflict) {
			return Object{}, err
		}
		last = err
	}
	if last == nil {
		last = Unavailable.Wrap(ctx.Err(), "update %s/%s", kind, name)
	}
	return Object{}, last
}

// PutConfirmed writes an object on condition. When the answer is lost it reads
// the object back: the same value means that the write took effect, the old
// version that the same conditional write may be sent again, which at most
// one of the two can pass; anything else is a Conflict. It fails with Lost
// when the object could not be read back.
func (api *API) PutConfirmed(ctx context.Context, object Object) (Object, error) {
	var last error
	for attempt := range attempts {
		if attempt > 0 && !pauseBefore(ctx, attempt) {
			break
		}
		version, err := api.Put(ctx, object)
		if err == nil {
			object.Version = version
			return object, nil
		}
		// After a lost answer the conflict may be with the own write.
		lostBefore := Is(last, AnswerLost)
		if !Is(err, AnswerLost) && (!lostBefore || !Is(err, Conflict)) {
			return Object{}, err
		}
		back, readErr := api.getOrNone(ctx, object.Kind, object.Name)
		switch {
		case readErr != nil:
			return Object{}, AnswerLost.Wrap(readErr, "read %s/%s back after a lost answer", object.Kind, object.Name)
		case back.Version != object.Version && bytes.Equal(back.Value, object.Value):
			return back, nil
		case back.Version != object.Version:
			return Object{}, Conflict.New("version is %d", back.Version)
		}
		last = err
	}
	return Object{}, last
}

// getOrNone reads an object; a version of 0 stands for one that is missing.
func (api *API) getOrNone(ctx context.Context, kind, name string) (Object, error) {
	object, err := api.Get(ctx, kind, name)
	if Is(err, NotFound) {
		return Object{Kind: kind, Name: name}, nil
	}
	return object, err
}
