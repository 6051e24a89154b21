package trial_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/entry"
	"nutmegfield.example/request"
	"nutmegfield.example/standin"
)

// ask is one request of a caller and what it was told.
type ask struct {
	// mark is in the body, so that a target's list shows it.
	mark    string
	key     string
	kind    string
	profile string
	host    string
	begun   time.Time
	ended   time.Time
	// outcome is empty when the caller's connection broke.
	outcome request.Outcome
	reason  request.Reason
	id      string
	status  int
	body    string
	retry   string
	err     error
}

// ledger is all that callers asked and heard.
type ledger struct {
	mutex sync.Mutex
	asks  []*ask
}

func (ledger *ledger) add(ask *ask) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.asks = append(ledger.asks, ask)
}

// caller's patience: a caller closes its connection when nothing was said for
// this long.
const patience = 90 * time.Second

// chat asks for a completion, plain or streamed.
func (world *world) chat(host, profile, mark string, stream bool, tokens int) *ask {
	body := fmt.Sprintf(`{"model":"design","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"%s"}]}`, tokens, stream, mark)
	asked := &ask{mark: mark, kind: "chat", profile: profile, host: host}
	if stream {
		asked.kind = "stream"
	}
	world.send(asked, http.MethodPost, "/v1/chat/completions", body)
	return asked
}

// status asks for an order's state.
func (world *world) status(host, mark string) *ask {
	asked := &ask{mark: mark, kind: "status", profile: "statusCheck", host: host}
	world.send(asked, http.MethodGet, "/services/orders/status/"+mark, "")
	return asked
}

// pay confirms a payment under a key.
func (world *world) pay(host, key, mark string) *ask {
	asked := &ask{mark: mark, key: key, kind: "payment", profile: "payment", host: host}
	world.send(asked, http.MethodPost, "/services/orders/payments", `{"order":"`+key+`"}`)
	return asked
}

func (world *world) send(asked *ask, method, path, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	made, err := http.NewRequestWithContext(ctx, method, "http://"+world.hosts[asked.host].place+":8080"+path, onceReader{strings.NewReader(body)})
	world.c.Assert(err, qt.IsNil)
	made.ContentLength = int64(len(body))
	made.Header.Set(entry.HeaderWorkspace, workspaceOf(asked))
	made.Header.Set(entry.HeaderProfile, asked.profile)
	if asked.key != "" {
		made.Header.Set(entry.HeaderIdempotency, asked.key)
	}
	asked.begun = time.Now()
	asked.hear(world.client.Do(made))
	asked.ended = time.Now()
}

// workspaceOf spreads the asks over the workspaces; a key stays with one.
func workspaceOf(asked *ask) string {
	of := asked.mark
	if asked.key != "" {
		of = asked.key
	}
	return []string{"clubs", "sides"}[len(of)%2]
}

// onceReader keeps the caller's HTTP client from sending by itself again.
type onceReader struct{ io.Reader }

func (onceReader) Close() error { return nil }

func (asked *ask) hear(response *http.Response, err error) {
	if err != nil {
		asked.err = err
		return
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	asked.body = string(read)
	asked.status = response.StatusCode
	asked.id = response.Header.Get(entry.HeaderRequest)
	asked.retry = response.Header.Get("Retry-After")
	if err != nil {
		asked.err = err
		return
	}
	outcome := response.Header.Get(entry.HeaderOutcome)
	if outcome == "" {
		outcome = response.Trailer.Get(entry.HeaderOutcome)
	}
	asked.outcome = request.Outcome(outcome)
	var problem entry.Problem
	if response.Header.Get("Content-Type") == "application/problem+json" && json.Unmarshal(read, &problem) == nil {
		asked.reason = problem.Reason
	}
}

// receipts is what all targets say they received.
type receipts struct {
	byRequest map[string][]standin.Received
	byKey     map[string][]standin.Received
}

func (world *world) receipts() receipts {
	all := receipts{byRequest: map[string][]standin.Received{}, byKey: map[string][]standin.Received{}}
	for _, name := range world.targetNames() {
		for _, received := range world.targets[name].received() {
			all.byRequest[received.Request] = append(all.byRequest[received.Request], received)
			if received.Key != "" {
				all.byKey[received.Key] = append(all.byKey[received.Key], received)
			}
		}
	}
	return all
}

// check holds what targets received against what callers were told.
func (world *world) check(ledger *ledger) {
	received := world.receipts()
	for id, list := range received.byRequest {
		world.c.Check(list, qt.HasLen, 1, qt.Commentf("request %s was dispatched %d times", id, len(list)))
	}
	for key, list := range received.byKey {
		world.c.Check(list, qt.HasLen, 1, qt.Commentf("key %s ran %d times: %v", key, len(list), list))
	}
	for _, asked := range ledger.asks {
		world.checkAsk(asked, received)
	}
}

func (world *world) checkAsk(asked *ask, received receipts) {
	ran := len(received.byRequest[asked.id]) > 0
	comment := qt.Commentf("%s %s at %s: %s %s %v %.200s", asked.kind, asked.mark, asked.host, asked.outcome, asked.reason, asked.err, asked.body)
	switch asked.outcome {
	case request.NotRun:
		world.c.Check(ran, qt.IsFalse, comment)
		world.c.Check(asked.status < 500 || asked.retry != "" || asked.reason == request.ReasonCallerGone, qt.IsTrue, comment)
	case request.Done:
		world.checkWhole(asked, ran, comment)
	case request.Failed, request.Unknown, "":
	default:
		world.c.Check(asked.outcome, qt.Equals, request.Done, comment)
	}
}

// checkWhole sees that a done answer is the whole answer to this request.
func (world *world) checkWhole(asked *ask, ran bool, comment qt.Comment) {
	switch asked.kind {
	case "status":
		world.c.Check(ran, qt.IsTrue, comment)
		world.c.Check(strings.Contains(asked.body, asked.mark), qt.IsTrue, comment)
	case "payment":
		// A recorded answer is that of the request that ran.
		world.c.Check(strings.Contains(asked.body, asked.key), qt.IsTrue, comment)
	case "chat":
		world.c.Check(ran, qt.IsTrue, comment)
		world.c.Check(strings.Contains(asked.body, asked.id+"/0 "), qt.IsTrue, comment)
	case "stream":
		world.c.Check(ran, qt.IsTrue, comment)
		world.c.Check(strings.Contains(asked.body, "data: [DONE]"), qt.IsTrue, comment)
		for i := range strings.Count(asked.body, `"delta":{"content"`) {
			world.c.Check(strings.Count(asked.body, fmt.Sprintf("%s/%d ", asked.id, i)), qt.Equals, 1, comment)
		}
	}
}

// tally counts outcomes, so that a trial in which nothing runs is seen.
func (ledger *ledger) tally() map[request.Outcome]int {
	counts := map[request.Outcome]int{}
	for _, asked := range ledger.asks {
		counts[asked.outcome]++
	}
	return counts
}

func bytesReader(body []byte) io.Reader { return bytes.NewReader(body) }

func sortStrings(names []string) { sort.Strings(names) }
