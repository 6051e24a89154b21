package objects_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"nutmegfield.example/objects"
	"nutmegfield.example/standin"
)

// script runs the commands of a testdata file with a client and a stand-in of
// the platform.
type script struct {
	standin *standin.Platform
	client  *objects.Client
	// raceValue is what another writer writes during the next update; empty for
	// none.
	raceValue string
}

// TestScripts runs the scripts in testdata: each line is a command and its
// expected result.
func TestScripts(t *testing.T) {
	for _, file := range []string{"client.txt", "update.txt"} {
		t.Run(file, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScript(qt.New(t), "testdata/"+file) })
		})
	}
}

func runScript(c *qt.C, file string) {
	text, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	platform := &standin.Platform{}
	script := &script{standin: platform, client: &objects.Client{Address: "http://platform", Timeout: 2 * time.Second, Do: doInProcess(platform.Handler())}}
	for i, line := range strings.Split(string(text), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		command, expected, _ := strings.Cut(line, " -> ")
		c.Assert(script.run(c, strings.Fields(command)), qt.Equals, expected, qt.Commentf("%s:%d: %s", file, i+1, line))
	}
}

// doInProcess returns a replacement of http.Client.Do that calls the handler
// without a socket. A panic of the handler is a broken connection.
func doInProcess(handler http.Handler) func(*http.Request) (*http.Response, error) {
	return func(request *http.Request) (response *http.Response, err error) {
		defer func() {
			if recover() != nil {
				err = errors.New("connection broken")
			}
		}()
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if err := request.Context().Err(); err != nil {
			return nil, err
		}
		response = recorder.Result()
		// As a server of net/http does.
		response.ContentLength = int64(recorder.Body.Len())
		return response, nil
	}
}

func (script *script) run(c *qt.C, words []string) string {
	ctx := context.Background()
	switch words[0] {
	case "faults":
		var faults standin.PlatformFaults
		c.Assert(json.Unmarshal([]byte(words[1]), &faults), qt.IsNil)
		script.standin.SetFaults(faults)
		return ""
	case "other":
		script.writeAsOther(c, words[1])
		return ""
	case "race":
		script.raceValue = words[1]
		return ""
	case "put":
		version, _ := strconv.ParseInt(words[1], 10, 64)
		return script.put(ctx, version, []byte(words[2]))
	case "putlarge":
		version, _ := strconv.ParseInt(words[1], 10, 64)
		return script.put(ctx, version, make([]byte, objects.MaxObjectBytes+1))
	case "get":
		object, err := script.client.Get(ctx, "kind", "name")
		return formatObject(object, err)
	case "watch":
		after, _ := strconv.ParseInt(words[1], 10, 64)
		wait, _ := time.ParseDuration(words[2])
		object, changed, err := script.client.Watch(ctx, "kind", "name", after, wait)
		if err == nil && !changed {
			return "none"
		}
		return formatObject(object, err)
	case "update":
		api := script.client.API()
		object, err := api.Update(ctx, "kind", "name", func(objects.Object) ([]byte, error) {
			if script.raceValue != "" {
				script.writeAsOther(c, script.raceValue)
				script.raceValue = ""
			}
			return []byte(words[1]), nil
		})
		if err != nil {
			return errorKind(err)
		}
		return fmt.Sprintf("ok %d", object.Version)
	default:
		return "unknown command"
	}
}

func (script *script) put(ctx context.Context, version int64, value []byte) string {
	version, err := script.client.Put(ctx, objects.Object{Kind: "kind", Name: "name", Version: version, Value: value})
	if err != nil {
		return errorKind(err)
	}
	return fmt.Sprintf("ok %d", version)
}

// writeAsOther writes a value as another writer, not through the client.
func (script *script) writeAsOther(c *qt.C, value string) {
	api := script.standin.API()
	_, err := api.Update(context.Background(), "kind", "name", func(objects.Object) ([]byte, error) {
		return []byte(value), nil
	})
	c.Assert(err, qt.IsNil)
}

func formatObject(object objects.Object, err error) string {
	if err != nil {
		return errorKind(err)
	}
	return fmt.Sprintf("%d %s", object.Version, object.Value)
}

func errorKind(err error) string {
	switch {
	case objects.Is(err, objects.OutdatedVersion):
		return "old"
	case objects.Is(err, objects.Unavailable):
		return "unavailable"
	case objects.Is(err, objects.AnswerLost):
		return "lost"
	case objects.Is(err, objects.Conflict):
		return "conflict"
	case objects.Is(err, objects.NotFound):
		return "notFound"
	case objects.Is(err, objects.Refused):
		return "refused"
	default:
		return err.Error()
	}
}

// TestLimiterBoundsCalls: at 10 calls/s with a burst of 10, 110 calls take at
// least 10 s.
func TestLimiterBoundsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &standin.Platform{}
		client := &objects.Client{
			Address: "http://platform",
			Timeout: time.Hour,
			Limiter: rate.NewLimiter(10, 10),
			Do:      doInProcess(platform.Handler()),
		}
		start := time.Now()
		for range 110 {
			_, _, err := client.Watch(context.Background(), "kind", "name", 0, 0)
			c.Assert(err, qt.IsNil)
		}
		c.Assert(time.Since(start) >= 10*time.Second, qt.IsTrue)
		c.Assert(platform.Calls()["watch"], qt.Equals, 110)
	})
}

// TestListOfHostsLags checks the stand-in: a host is listed only after HostsLag.
func TestListOfHostsLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &standin.Platform{}
		platform.SetFaults(standin.PlatformFaults{HostsLag: time.Minute})
		platform.SetHosts([]objects.ListedHost{{ID: "a1"}})
		hosts, err := platform.Hosts(context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(hosts, qt.HasLen, 0)
		time.Sleep(time.Minute)
		hosts, err = platform.Hosts(context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(hosts, qt.HasLen, 1)
	})
}
