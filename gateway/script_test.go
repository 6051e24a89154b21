package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"nutmegfield.example/origin"
	"nutmegfield.example/route"
)

// TestScripts runs testdata/*.txtar. The section route holds words for
// applyRouteKind, targets the number of targets, call the caller's request, and want
// what the caller and the targets receive; after is the event after which the caller
// takes a stream up, earlier is a request with the id q0 that is sent before, and id the id
// of the caller's request if it is not q1. All others are the targets' replies in order.
// Those whose names begin with "case" are alternatives: the script runs once for each of
// them. In replies, ID stands for the request's id; CLOSE closes the connection, RESET
// resets it, HOLD sends nothing more until the gateway closes it, RAW sends a text as it is, and
// ENDLESS and TRICKLE send one again and again until then.
func TestScripts(t *testing.T) {
	runScripts(t, "testdata/*.txtar", func(*fixture) {})
}

// TestScriptsOverAnotherHost runs the scripts on streams that go on, at a host that reaches
// no target, so that another host passes the answers on to it.
func TestScriptsOverAnotherHost(t *testing.T) {
	for _, pattern := range []string{"testdata/continued*.txtar", "testdata/takenup*.txtar", "testdata/withoutids.txtar", "testdata/resume.txtar", "testdata/endless*.txtar", "testdata/trickled*.txtar", "testdata/malformed*.txtar"} {
		runScripts(t, pattern, func(fixture *fixture) { fixture.reachOverAnotherHost() })
	}
}

// runScripts runs the scripts of the files that a pattern matches, after prepare.
func runScripts(t *testing.T, pattern string, prepare func(*fixture)) {
	files, err := filepath.Glob(pattern)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		qt.Assert(t, err, qt.IsNil)
		t.Run(filepath.Base(file), func(t *testing.T) {
			hasCases := false
			for _, section := range archive.Files {
				if name, ok := strings.CutPrefix(section.Name, casePrefix); ok {
					hasCases = true
					t.Run(name, func(t *testing.T) { runScript(qt.New(t), archive, section.Name, prepare) })
				}
			}
			if !hasCases {
				runScript(qt.New(t), archive, "", prepare)
			}
		})
	}
}

// casePrefix begins the names of sections that are alternatives.
const casePrefix = "case "

// runScript runs a script with one of its alternatives.
func runScript(c *qt.C, archive *txtar.Archive, alternative string, prepare func(*fixture)) {
	var kind, earlier, call, after, want string
	id := "q1"
	targets := 2
	var replies []string
	for _, section := range archive.Files {
		text := strings.TrimSpace(string(section.Data))
		switch section.Name {
		case "route":
			kind = text
		case "targets":
			_, err := fmt.Sscan(text, &targets)
			c.Assert(err, qt.IsNil)
		case "earlier":
			earlier = text
		case "id":
			id = text
		case "call":
			call = text
		case "after":
			after = text
		case "want":
			want = text
		default:
			if section.Name == alternative || !strings.HasPrefix(section.Name, casePrefix) {
				replies = append(replies, string(section.Data))
			}
		}
	}
	fixture := newFixture(c, testConfiguration(func(route *route.Route) { applyRouteKind(route, kind) }), targets)
	fixture.replies = replies
	prepare(fixture)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if earlier != "" {
		response, err := http.DefaultTransport.RoundTrip(newScriptRequest(ctx, fixture, earlier, "q0"))
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
	}
	request := newScriptRequest(ctx, fixture, call, id)
	request.Header.Set("Connection", "X-Hop")
	request.Header.Set("X-Hop", "1")
	request.Header.Set("X-Other", "2")
	if after != "" {
		request.Header.Set(testLastEvent, after)
		request.Header.Set(testResumes, "first")
		fixture.gateway.Origins.RecordBegin(origin.NewStream("first"), testPool, fixture.targets[0].VersionID())
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	var seen strings.Builder
	if err != nil {
		fmt.Fprintln(&seen, "no answer")
	} else {
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		fmt.Fprintf(&seen, "%d", response.StatusCode)
		if seal := response.Header.Get(testSeal); seal != "" {
			fmt.Fprintf(&seen, " seal %s", seal)
		}
		if response.Header.Get("Retry-After") != "" {
			fmt.Fprint(&seen, " retry")
		}
		if err != nil {
			fmt.Fprint(&seen, " broken")
		}
		fmt.Fprintf(&seen, "\n%s", strings.ReplaceAll(string(body), "\r\n", "\n"))
	}
	fmt.Fprintf(&seen, "\ntargets read:\n%s", strings.Join(fixture.receivedRequests(), "\n"))
	c.Assert(trimLines(seen.String()), qt.Equals, trimLines(want))
}

// newScriptRequest returns the request that a line of a script describes. An empty id is left
// out.
func newScriptRequest(ctx context.Context, fixture *fixture, line, id string) *http.Request {
	method, rest, _ := strings.Cut(line, " ")
	path, body, _ := strings.Cut(rest, " ")
	request := fixture.newRequest(ctx, method, path, body)
	request.Header.Set(testID, id)
	if id == "" {
		request.Header.Del(testID)
	}
	return request
}

// trimLines trims each line and drops the empty ones.
func trimLines(text string) string {
	var lines []string
	for line := range strings.SplitSeq(text, "\n") {
		if line = strings.TrimSpace(line); line != "" {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

// applyRouteKind sets the fields of a route that the words of kind name. Other words,
// such as once, change nothing.
func applyRouteKind(route *route.Route, kind string) {
	for word := range strings.FieldsSeq(kind) {
		switch word {
		case "idempotent":
			route.Idempotent = true
		case "streaming":
			route.Streaming = true
		case "resumable":
			route.Streaming, route.Resumable = true, true
		case "thrice":
			route.Attempts = 3
		case "anonymous":
			route.Anonymous = true
		case "short":
			route.Timeout = 2 * time.Second
		case "objective":
			route.Objective = 500 * time.Millisecond
		}
	}
}
