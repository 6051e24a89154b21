// Package objects speaks to the platform's object API: objects with
// versions, conditional updates and watches, and the list of hosts.
package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"nutmegfield.example/errorkind"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("objects")
	// Unavailable: the call certainly had no effect, or was a read.
	Unavailable = Errors.NewType("unavailable")
	// OutdatedVersion is an Unavailable: the platform answered with an older version than
	// it did before, as after a failover.
	OutdatedVersion = Unavailable.NewSubtype("old")
	// AnswerLost: a write was sent and its answer was not seen; it may have taken
	// effect.
	AnswerLost = Errors.NewType("lost")
	// Conflict: the object's version was not the expected one.
	Conflict = Errors.NewType("conflict")
	// NotFound: there is no such object.
	NotFound = Errors.NewType("notFound")
	// Refused: the platform does not accept the call as it is.
	Refused = Errors.NewType("refused")
	// NotHeld: the lease is not, or no longer, held.
	NotHeld = Errors.NewType("notHeld")
	// InvalidLease: the object is no lease of this office and zone.
	InvalidLease = Errors.NewType("foreign")
)

// MaxObjectBytes is the largest object that the platform holds.
const MaxObjectBytes = 1 << 20

// Counters by the name of the call. A watch counts as one call.
var (
	calls    = expvar.NewMap("platformCalls")
	failures = expvar.NewMap("platformFailures")
	oldReads = expvar.NewInt("platformOldReads")
)

// Object is one versioned value. A version of 0 means that it does not exist.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
	// Written is when the version was written, by the platform's clock.
	Written time.Time `json:"written,omitzero"`
}

// ListedHost is one entry of the platform's list of hosts, which lags.
type ListedHost struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Client calls the object API. Fields are set before the first call.
type Client struct {
	// Address is the base URL.
	Address string
	// Timeout bounds each call but a watch.
	Timeout time.Duration
	// Limiter bounds the calls of this host; nil for no bound.
	Limiter *rate.Limiter
	// Do sends a request; it is http.Client.Do outside tests.
	Do func(*http.Request) (*http.Response, error)

	versions versions
}

// watchMargin is how much longer than its wait a watch may take, as a round
// trip.
const watchMargin = 5 * time.Second

// Get reads an object. It fails with NotFound or Unavailable, also when the
// platform answers with an older version than before.
func (client *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, client.Timeout)
	defer cancel()
	var object Object
	err := client.retryRead(ctx, func() error {
		answer, err := client.call(ctx, "get", http.MethodGet, objectPath(kind, name), nil, nil)
		if err != nil {
			return err
		}
		object = answer.object(kind, name)
		return client.checkVersion(object)
	})
	if err != nil {
		return Object{}, fmt.Errorf("get %s/%s: %w", kind, name, err)
	}
	return object, nil
}

// Put writes an object on condition that its version is still the given one;
// version 0 asks that it does not exist. It returns the new version. It fails
// with Conflict, Refused, Unavailable, or Lost when the write may have taken
// effect.
func (client *Client) Put(ctx context.Context, object Object) (int64, error) {
	if len(object.Value) > MaxObjectBytes {
		return 0, Refused.New("%s/%s: %d bytes, at most %d", object.Kind, object.Name, len(object.Value), MaxObjectBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, client.Timeout)
	defer cancel()
	path := objectPath(object.Kind, object.Name)
	answer, err := client.call(ctx, "put", http.MethodPut, path, conditionalHeader(object.Version), object.Value)
	if err != nil {
		return 0, fmt.Errorf("put %s/%s: %w", object.Kind, object.Name, err)
	}
	client.versions.record(object.Kind, object.Name, answer.version)
	return answer.version, nil
}

// Delete removes an object on condition that its version is the given one.
func (client *Client) Delete(ctx context.Context, kind, name string, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, client.Timeout)
	defer cancel()
	_, err := client.call(ctx, "delete", http.MethodDelete, objectPath(kind, name), conditionalHeader(version), nil)
	if err != nil {
		return fmt.Errorf("delete %s/%s: %w", kind, name, err)
	}
	return nil
}

// Watch waits up to the given time for a version of the object above after.
// It returns false when the time passed without one.
func (client *Client) Watch(ctx context.Context, kind, name string, after int64, wait time.Duration) (Object, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatInt(after, 10))
	query.Set("wait", wait.String())
	path := objectPath(kind, name) + "?" + query.Encode()
	answer, err := client.call(ctx, "watch", http.MethodGet, path, nil, nil)
	if err != nil {
		return Object{}, false, fmt.Errorf("watch %s/%s: %w", kind, name, err)
	}
	if answer.status == http.StatusNotModified {
		return Object{}, false, nil
	}
	object := answer.object(kind, name)
	if err := client.checkVersion(object); err != nil {
		return Object{}, false, fmt.Errorf("watch %s/%s: %w", kind, name, err)
	}
	if object.Version <= after {
		return Object{}, false, OutdatedVersion.New("watch %s/%s: version %d is not above %d", kind, name, object.Version, after)
	}
	return object, true, nil
}

// List reads all objects of a kind.
func (client *Client) List(ctx context.Context, kind string) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, client.Timeout)
	defer cancel()
	var objects []Object
	err := client.retryRead(ctx, func() error {
		return client.readJSON(ctx, "list", "/objects/"+url.PathEscape(kind), &objects)
	})
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", kind, err)
	}
	for _, object := range objects {
		if err := client.checkVersion(object); err != nil {
			return nil, fmt.Errorf("list %s: %w", kind, err)
		}
	}
	return objects, nil
}

// Hosts reads the list of live and leaving hosts, which lags.
func (client *Client) Hosts(ctx context.Context) ([]ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, client.Timeout)
	defer cancel()
	var hosts []ListedHost
	err := client.retryRead(ctx, func() error {
		return client.readJSON(ctx, "hosts", "/hosts", &hosts)
	})
	if err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	return hosts, nil
}

// retryRead repeats a retryRead that failed, with growing pauses, within its context.
func (client *Client) retryRead(ctx context.Context, attemptRead func() error) error {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && !backOff(ctx, attempt) {
			break
		}
		if err = attemptRead(); !Is(err, Unavailable) {
			break
		}
	}
	return err
}

func (client *Client) readJSON(ctx context.Context, name, path string, into any) error {
	answer, err := client.call(ctx, name, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return Unavailable.Wrap(err, "read answer")
	}
	return nil
}

// checkVersion notes the version of an object and fails with Old if a higher one was
// seen before, and with Refused if the object is too large.
func (client *Client) checkVersion(object Object) error {
	if len(object.Value) > MaxObjectBytes {
		return Refused.New("%s/%s is over %d bytes", object.Kind, object.Name, MaxObjectBytes)
	}
	if !client.versions.record(object.Kind, object.Name, object.Version) {
		return nil
	}
	oldReads.Add(1)
	return OutdatedVersion.New("version %d of %s/%s is below one seen before", object.Version, object.Kind, object.Name)
}

type answer struct {
	status  int
	version int64
	written time.Time
	body    []byte
}

func (answer *answer) object(kind, name string) Object {
	return Object{Kind: kind, Name: name, Version: answer.version, Value: answer.body, Written: answer.written}
}

func (client *Client) call(ctx context.Context, name, method, path string, header http.Header, body []byte) (answer, error) {
	if client.Limiter != nil {
		if err := client.Limiter.Wait(ctx); err != nil {
			failures.Add(name, 1)
			return answer{}, Unavailable.Wrap(err, "wait for the call limit")
		}
	}
	calls.Add(name, 1)
	result, err := client.send(ctx, method, path, header, body)
	if err != nil && !Is(err, NotFound, Conflict) {
		failures.Add(name, 1)
	}
	return result, err
}

func (client *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, client.Address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, Refused.Wrap(err, "make request")
	}
	for key, values := range header {
		request.Header[key] = values
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{}, noAnswerError(method, err)
	}
	defer response.Body.Close()
	return readAnswer(method, response)
}

func readAnswer(method string, response *http.Response) (answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, 8*MaxObjectBytes))
	if err != nil {
		return answer{}, noAnswerError(method, err)
	}
	result := answer{status: response.StatusCode, body: body}
	result.version, _ = strconv.ParseInt(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	result.written, _ = http.ParseTime(response.Header.Get("Last-Modified"))
	switch {
	case response.StatusCode == http.StatusNotModified, response.StatusCode < 300:
		return result, nil
	case response.StatusCode == http.StatusNotFound:
		return result, NotFound.New("no such object")
	case response.StatusCode == http.StatusPreconditionFailed:
		return result, Conflict.New("version is %d", result.version)
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		return result, Unavailable.New("status %d", response.StatusCode)
	case response.StatusCode >= 500:
		return result, noAnswerError(method, errors.New(response.Status))
	default:
		return result, Refused.New("status %d: %s", response.StatusCode, body)
	}
}

func noAnswerError(method string, err error) error {
	if method == http.MethodGet {
		return Unavailable.Wrap(err, "call the platform")
	}
	return AnswerLost.Wrap(err, "no answer to a write")
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func conditionalHeader(version int64) http.Header {
	header := http.Header{}
	if version == 0 {
		header.Set("If-None-Match", "*")
		return header
	}
	header.Set("If-Match", `"`+strconv.FormatInt(version, 10)+`"`)
	return header
}

// Is reports whether an error, however wrapped with %w, is of one of the
// types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }
