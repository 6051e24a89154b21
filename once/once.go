// Package once keeps a non-idempotent request at most once: a record in the
// platform, made by conditional update before the dispatch, names the only
// request that may run for a caller's key.
package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/platform"
	"nutmegfield.example/request"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("once")
	// Unavailable: no record could be made and none was left behind that
	// this request may use.
	Unavailable = Errors.NewType("unavailable")
)

// State is where a record stands.
type State string

// The states of a record.
const (
	// Running: its request has the right to run and may have run.
	Running State = "running"
	// Ended: the answer is kept in the record.
	Ended State = "ended"
	// Returned: its request certainly did not run; another may take it.
	Returned State = "returned"
)

// Record is what the platform keeps of a key.
type Record struct {
	Request request.ID `json:"request"`
	Host    string     `json:"host"`
	// Body is the hash of the caller's body: the same key with another body
	// is a mistake of the caller.
	Body   string    `json:"body"`
	State  State     `json:"state"`
	Made   time.Time `json:"made"`
	Status int       `json:"status,omitempty"`
	Type   string    `json:"type,omitempty"`
	Answer []byte    `json:"answer,omitempty"`
	// AnswerDropped: the answer was longer than a record keeps.
	AnswerDropped bool   `json:"answerDropped,omitempty"`
	Outcome       string `json:"outcome,omitempty"`
}

// Claim is the result of asking for the right to run.
type Claim struct {
	// Mine is true when the request may run.
	Mine bool
	// Record is the present record of the key.
	Record Record
}

// Store makes, ends and returns records. Its functions are seams: the
// platform's client outside tests.
type Store struct {
	Get func(ctx context.Context, kind, name string) (platform.Object, error)
	Put func(ctx context.Context, object platform.Object) (int64, error)
}

const recordKind = "record"

// Key names the record of a workspace's idempotency key for a service.
func Key(workspace, service, key string) string {
	digest := sha256.New()
	for _, part := range []string{workspace, service, key} {
		// A hash's Write never fails.
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Claim asks for the right to run. On an error of type Unavailable the
// request must not run.
func (store *Store) Claim(ctx context.Context, key string, record Record) (Claim, error) {
	object, err := store.Get(ctx, recordKind, key)
	switch {
	case err == nil:
		return store.retake(ctx, object, record)
	case platform.Is(err, platform.NotFound):
		return store.write(ctx, platform.Object{Kind: recordKind, Name: key}, record)
	default:
		return Claim{}, Unavailable.Wrap(err, "read the record")
	}
}

// End keeps the answer of a request that ran.
func (store *Store) End(ctx context.Context, key string, record Record) error {
	return store.change(ctx, key, record)
}

// Return gives the record of a request that did not run back.
func (store *Store) Return(ctx context.Context, key string, record Record) error {
	record.State = Returned
	return store.change(ctx, key, record)
}

func (store *Store) retake(ctx context.Context, object platform.Object, record Record) (Claim, error) {
	present, err := decode(object)
	if err != nil {
		return Claim{}, err
	}
	if present.Body != record.Body || present.State != Returned {
		return Claim{Record: present}, nil
	}
	return store.write(ctx, object, record)
}

// write puts the record on condition and, when the answer is lost or the
// condition fails, reads back who holds it.
func (store *Store) write(ctx context.Context, object platform.Object, record Record) (Claim, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return Claim{}, Unavailable.Wrap(err, "encode the record")
	}
	object.Value = value
	_, err = store.Put(ctx, object)
	if err == nil {
		return Claim{Mine: true, Record: record}, nil
	}
	if !platform.Is(err, platform.Lost, platform.Conflict) {
		return Claim{}, Unavailable.Wrap(err, "write the record")
	}
	back, err := store.Get(ctx, object.Kind, object.Name)
	if err != nil {
		return Claim{}, Unavailable.Wrap(err, "read the record back")
	}
	present, err := decode(back)
	if err != nil {
		return Claim{}, err
	}
	return Claim{Mine: present.Request == record.Request, Record: present}, nil
}

func (store *Store) change(ctx context.Context, key string, record Record) error {
	object, err := store.Get(ctx, recordKind, key)
	if err != nil {
		return fmt.Errorf("read the record: %w", err)
	}
	present, err := decode(object)
	if err != nil {
		return err
	}
	if present.Request != record.Request {
		return Unavailable.New("the record is of request %s", present.Request)
	}
	object.Value, err = json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode the record: %w", err)
	}
	if _, err := store.Put(ctx, object); err != nil {
		return fmt.Errorf("write the record: %w", err)
	}
	return nil
}

func decode(object platform.Object) (Record, error) {
	var record Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return record, Unavailable.Wrap(err, "read the record")
	}
	return record, nil
}
