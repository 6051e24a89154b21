// Package objects is a client of the platform's object API, which stores
// versioned objects with conditional writes and watches and lists the hosts.
// Leases are built on its conditional writes.
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
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"nutmegfield.example/errorkind"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("objects")
	// Unavailable: the call failed and had no effect, or was a read.
	Unavailable = Errors.NewType("unavailable")
	// OutdatedVersion is a subtype of Unavailable: the platform answered with
	// an older version than before, as it may after a failover.
	OutdatedVersion = Unavailable.NewSubtype("old")
	// AnswerLost: a write was sent and no answer was received; it may have
	// taken effect.
	AnswerLost = Errors.NewType("lost")
	// Conflict: the object's version was not the expected one.
	Conflict = Errors.NewType("conflict")
	// NotFound: there is no such object.
	NotFound = Errors.NewType("notFound")
	// Refused: the call is invalid; repeating it does not help.
	Refused = Errors.NewType("refused")
	// NotHeld: the lease was not acquired or has expired.
	NotHeld = Errors.NewType("notHeld")
	// InvalidLease: the lease's object can't be decoded or belongs to another
	// zone.
	InvalidLease = Errors.NewType("foreign")
)

const (
	// MaxObjectBytes is the largest value that the platform stores.
	MaxObjectBytes = 1 << 20
	// MaxVersion is the highest version of an object. A higher one would be taken as newer
	// than all that follow; the platform counts writes.
	MaxVersion = 1 << 53
)

// calls and failures count the calls by name; a watch is one call. oldReads counts
// the objects read with an outdated version, unreadable the elements of lists that could not
// be read.
var (
	calls      = expvar.NewMap("platformCalls")
	failures   = expvar.NewMap("platformFailures")
	oldReads   = expvar.NewInt("platformOldReads")
	unreadable = expvar.NewInt("platformUnreadable")
)

// Object is one versioned value. Version 0 means that it does not exist.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
	// Written is the time of the write by the platform's clock.
	Written time.Time `json:"written,omitzero"`
}

// ListedHost is one entry of the platform's list of hosts, which may be out of
// date.
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
	// Timeout limits each call, with its retries, except a watch.
	Timeout time.Duration
	// Limiter limits the rate of this host's calls; nil means no limit.
	Limiter *rate.Limiter
	// Do sends a request; it is http.Client.Do outside tests.
	Do func(*http.Request) (*http.Response, error)

	versions versions
	// large has an element for each long answer that is read.
	large     chan struct{}
	largeOnce sync.Once
}

// watchMargin is added to the wait of a watch to give its timeout; it covers the
// round trip.
const watchMargin = 5 * time.Second

// Get reads an object. It fails with NotFound, Refused if the object is too
// large, or Unavailable; an outdated version is Unavailable too.
func (client *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, client.Timeout)
	defer cancel()
	var object Object
	err := client.retryRead(ctx, func() error {
		answer, err := client.call(ctx, "get", http.MethodGet, objectPath(kind, name), nil, nil, client.readValue)
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

// Put writes an object if its stored version still equals object.Version;
// version 0 requires that it does not exist. It returns the new version. It
// fails with Conflict, Refused, Unavailable, or AnswerLost if the write may
// have taken effect.
func (client *Client) Put(ctx context.Context, object Object) (int64, error) {
	if len(object.Value) > MaxObjectBytes {
		return 0, Refused.New("%s/%s has %d bytes, more than the limit of %d", object.Kind, object.Name, len(object.Value), MaxObjectBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, client.Timeout)
	defer cancel()
	path := objectPath(object.Kind, object.Name)
	answer, err := client.call(ctx, "put", http.MethodPut, path, conditionalHeader(object.Version), object.Value, readNothing)
	if err != nil {
		return 0, fmt.Errorf("put %s/%s: %w", object.Kind, object.Name, err)
	}
	if answer.version < 0 {
		return 0, AnswerLost.New("put %s/%s: the version in the answer can't be read", object.Kind, object.Name)
	}
	client.versions.record(object.Kind, object.Name, answer.version)
	return answer.version, nil
}

// Delete removes an object if its stored version equals version. It fails as
// Put does, or with NotFound.
func (client *Client) Delete(ctx context.Context, kind, name string, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, client.Timeout)
	defer cancel()
	_, err := client.call(ctx, "delete", http.MethodDelete, objectPath(kind, name), conditionalHeader(version), nil, readNothing)
	if err != nil {
		return fmt.Errorf("delete %s/%s: %w", kind, name, err)
	}
	return nil
}

// Watch waits for a version of the object higher than after. It returns false
// if there was none within wait. It fails with NotFound, Refused or Unavailable.
func (client *Client) Watch(ctx context.Context, kind, name string, after int64, wait time.Duration) (Object, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatInt(after, 10))
	query.Set("wait", wait.String())
	path := objectPath(kind, name) + "?" + query.Encode()
	answer, err := client.call(ctx, "watch", http.MethodGet, path, nil, nil, client.readValue)
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
		return Object{}, false, OutdatedVersion.New("watch %s/%s: version %d is not higher than %d", kind, name, object.Version, after)
	}
	return object, true, nil
}

// List reads all objects of a kind that can be read. It fails with Refused or Unavailable.
func (client *Client) List(ctx context.Context, kind string) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, client.Timeout)
	defer cancel()
	var objects []Object
	err := client.retryRead(ctx, func() error {
		objects = nil
		return client.readList(ctx, "list", "/objects/"+url.PathEscape(kind), func(text []byte) error {
			var object Object
			if err := json.Unmarshal(text, &object); err != nil {
				return fmt.Errorf("decode an object: %w", err)
			}
			if object.Version < 1 || object.Version > MaxVersion || len(object.Value) > MaxObjectBytes || len(object.Name) > maxNameBytes {
				return Refused.New("%.64s has version %d and %d bytes", object.Name, object.Version, len(object.Value))
			}
			objects = append(objects, object)
			return nil
		})
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

// Hosts reads those of the platform's list of live and leaving hosts that can be read. It may
// be out of date. It fails with Refused or Unavailable.
func (client *Client) Hosts(ctx context.Context) ([]ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, client.Timeout)
	defer cancel()
	var hosts []ListedHost
	err := client.retryRead(ctx, func() error {
		hosts = nil
		return client.readList(ctx, "hosts", "/hosts", func(text []byte) error {
			var host ListedHost
			if err := json.Unmarshal(text, &host); err != nil {
				return fmt.Errorf("decode a host: %w", err)
			}
			if host.ID == "" || host.Address == "" || max(len(host.ID), len(host.Address), len(host.Zone)) > maxHostBytes {
				return Refused.New("no host")
			}
			hosts = append(hosts, host)
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	return hosts, nil
}

// retryRead calls attemptRead until it succeeds or fails with an error other
// than Unavailable, at most maxAttempts times, with growing pauses.
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

// maxNameBytes limits the names of objects in lists, whose versions are kept.
const maxNameBytes = 1 << 10

// maxHostBytes limits the texts of an entry in the list of hosts.
const maxHostBytes = 256

// readList reads an answer that is a list, and calls read with the text of each element. Those
// for which it fails are left out: one that can't be decoded keeps nothing from the others.
func (client *Client) readList(ctx context.Context, name, path string, read func(text []byte) error) error {
	_, err := client.call(ctx, name, http.MethodGet, path, nil, nil, client.readElements(read))
	return err
}

// checkVersion records the version of an object that was read. It fails with
// OutdatedVersion if a higher one was seen before, and with Refused if the
// object is too large or its version out of range.
func (client *Client) checkVersion(object Object) error {
	if object.Version < 0 || object.Version > MaxVersion {
		return Refused.New("the version of %s/%s can't be read", object.Kind, object.Name)
	}
	if len(object.Value) > MaxObjectBytes {
		return Refused.New("%s/%s is larger than %d bytes", object.Kind, object.Name, MaxObjectBytes)
	}
	if !client.versions.record(object.Kind, object.Name, object.Version) {
		return nil
	}
	oldReads.Add(1)
	return OutdatedVersion.New("version %d of %s/%s is lower than one seen before", object.Version, object.Kind, object.Name)
}

// answer is an answer of the object API; version is 0 and written is the zero
// time if the header has none.
type answer struct {
	status  int
	version int64
	written time.Time
	body    []byte
}

func (answer *answer) object(kind, name string) Object {
	return Object{Kind: kind, Name: name, Version: answer.version, Value: answer.body, Written: answer.written}
}

func (client *Client) call(ctx context.Context, name, method, path string, header http.Header, body []byte, read reader) (answer, error) {
	if client.Limiter != nil {
		if err := client.Limiter.Wait(ctx); err != nil {
			failures.Add(name, 1)
			return answer{}, Unavailable.Wrap(err, "wait for the rate limiter")
		}
	}
	calls.Add(name, 1)
	result, err := client.send(ctx, method, path, header, body, read)
	if err != nil && !Is(err, NotFound, Conflict) {
		failures.Add(name, 1)
	}
	return result, err
}

func (client *Client) send(ctx context.Context, method, path string, header http.Header, body []byte, read reader) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, client.Address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, Refused.Wrap(err, "create the request")
	}
	for key, values := range header {
		request.Header[key] = values
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{}, noAnswerError(method, err)
	}
	defer response.Body.Close()
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return answer{}, noAnswerError(method, errNoLength)
	}
	return readAnswer(ctx, method, response, read)
}

// errNoLength means that an answer ends with its connection, so that a part of it can't be told from
// the whole.
var errNoLength = errors.New("the answer has no length")

func readAnswer(ctx context.Context, method string, response *http.Response, read reader) (answer, error) {
	if response.StatusCode >= http.StatusMultipleChoices {
		read = func(_ context.Context, body io.Reader) ([]byte, error) {
			return io.ReadAll(io.LimitReader(body, maxFailureBytes))
		}
	}
	body, err := read(ctx, response.Body)
	if Is(err, Refused) {
		return answer{}, err
	}
	if err != nil {
		return answer{}, noAnswerError(method, err)
	}
	result := answer{status: response.StatusCode, body: body}
	result.version = readVersion(response.Header.Get("ETag"))
	result.written, _ = http.ParseTime(response.Header.Get("Last-Modified"))
	switch {
	case response.StatusCode == http.StatusNotModified, response.StatusCode < 300:
		return result, nil
	case response.StatusCode == http.StatusNotFound:
		return result, NotFound.New("the object does not exist")
	case response.StatusCode == http.StatusPreconditionFailed:
		return result, Conflict.New("the stored version is %d", result.version)
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		return result, Unavailable.New("status %d", response.StatusCode)
	case response.StatusCode >= 500:
		return result, noAnswerError(method, errors.New(response.Status))
	default:
		return result, Refused.New("status %d: %.*s", response.StatusCode, maxReasonBytes, body)
	}
}

// readVersion returns the version in a header, 0 if there is none, -1 if it is out of range.
func readVersion(text string) int64 {
	version, err := strconv.ParseInt(strings.Trim(text, `"`), 10, 64)
	if err == nil && version >= 0 && version <= MaxVersion {
		return version
	}
	if err == nil || errors.Is(err, strconv.ErrRange) {
		return -1
	}
	return 0
}

// noAnswerError wraps the error of a call without a usable answer: Unavailable
// for a read, AnswerLost for a write.
func noAnswerError(method string, err error) error {
	if method == http.MethodGet {
		return Unavailable.Wrap(err, "call the platform")
	}
	return AnswerLost.Wrap(err, "no answer to the write")
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// conditionalHeader returns the header that makes a write depend on the stored
// version; 0 requires that the object does not exist.
func conditionalHeader(version int64) http.Header {
	header := http.Header{}
	if version == 0 {
		header.Set("If-None-Match", "*")
		return header
	}
	header.Set("If-Match", `"`+strconv.FormatInt(version, 10)+`"`)
	return header
}

// Is reports whether an error, or one that it wraps with %w, is of one of the
// types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }
