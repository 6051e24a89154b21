package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/protocol"
)

// fastEngine serves an engine with rates at which requests take almost no time.
func fastEngine(t *testing.T, options EngineOptions) *httptest.Server {
	engine := &Engine{Name: "engine", PrefillRate: 1e7, DecodeRate: 1e5, Options: options}
	server := httptest.NewServer(engine.Handler())
	t.Cleanup(server.Close)
	return server
}

func call(t *testing.T, method, url, body string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("Nutmegfield-Request", "r1")
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	return response.StatusCode, string(text)
}

const chatStream = `{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"%s"}]}`

func TestEngineStreamResumes(t *testing.T) {
	server := fastEngine(t, EngineOptions{})
	body := fmt.Sprintf(chatStream, "hello")
	status, all := call(t, http.MethodPost, server.URL+"/v1/chat/completions", body)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	for i := range 4 {
		qt.Assert(t, all, qt.Contains, fmt.Sprintf("id: %d\n", i))
	}
	qt.Assert(t, strings.HasSuffix(all, "data: [DONE]\n\n"), qt.IsTrue)

	status, rest := call(t, http.MethodGet, server.URL+"/engine/streams/r1?offset=2", "")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, rest, qt.Equals, all[strings.Index(all, "id: 2\n"):])

	status, _ = call(t, http.MethodGet, server.URL+"/engine/streams/other?offset=0", "")
	qt.Assert(t, status, qt.Equals, http.StatusNotFound)
}

func TestEngineCacheExportImport(t *testing.T) {
	from := fastEngine(t, EngineOptions{})
	to := fastEngine(t, EngineOptions{})
	body := fmt.Sprintf(chatStream, strings.Repeat("a", 1000))
	call(t, http.MethodPost, from.URL+"/v1/chat/completions", body)

	_, text := call(t, http.MethodGet, from.URL+"/engine/cache?after=0", "")
	var events []protocol.CacheEvent
	qt.Assert(t, json.Unmarshal([]byte(text), &events), qt.IsNil)
	qt.Assert(t, events, qt.HasLen, 1)
	stored := events[0].Stored
	qt.Assert(t, stored, qt.HasLen, 3)

	path := fmt.Sprintf("/engine/kv/%d", stored[2])
	status, cache := call(t, http.MethodGet, from.URL+path, "")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	status, _ = call(t, http.MethodPut, to.URL+path, cache)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	_, answer := call(t, http.MethodPost, to.URL+"/v1/chat/completions", body)
	qt.Assert(t, answer, qt.Contains, `"cached_tokens":192`)
}

func TestEngineOrders(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		server := fastEngine(t, EngineOptions{Fenced: fenced})
		sendOrder := func(order protocol.Order) int {
			text, err := json.Marshal(order)
			qt.Assert(t, err, qt.IsNil)
			status, _ := call(t, http.MethodPost, server.URL+"/engine/orders", string(text))
			return status
		}
		qt.Assert(t, sendOrder(protocol.Order{FencingNumber: 5, Action: "load", Model: "m", Version: "2"}), qt.Equals, http.StatusOK)
		qt.Assert(t, sendOrder(protocol.Order{FencingNumber: 5, Action: "load", Adapter: "lace"}), qt.Equals, http.StatusOK)
		qt.Assert(t, sendOrder(protocol.Order{FencingNumber: 6, Action: "dance"}), qt.Equals, http.StatusBadRequest)
		staleStatus := sendOrder(protocol.Order{FencingNumber: 4, Action: "role", Role: "prefill"})
		want := protocol.State{FencingNumber: 5, Role: "prefill", Models: []string{"m@2"}, Adapters: []string{"lace"}}
		if fenced {
			want.Role = ""
			qt.Assert(t, staleStatus, qt.Equals, http.StatusConflict)
		}
		_, text := call(t, http.MethodGet, server.URL+"/engine/state", "")
		var state protocol.State
		qt.Assert(t, json.NewDecoder(bytes.NewBufferString(text)).Decode(&state), qt.IsNil)
		qt.Assert(t, state, qt.DeepEquals, want)
	}
}

func TestEngineFaults(t *testing.T) {
	server := fastEngine(t, EngineOptions{})
	setFaults := func(text string) {
		status, _ := call(t, http.MethodPut, server.URL+"/standin/faults", text)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	chat := server.URL + "/v1/chat/completions"
	setFaults(`{"leaving":true}`)
	status, _ := call(t, http.MethodPost, chat, fmt.Sprintf(chatStream, "hello"))
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)

	setFaults(`{"poison":true}`)
	response, err := http.Post(chat, "", strings.NewReader(fmt.Sprintf(chatStream, Poison)))
	if err == nil {
		_, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	qt.Assert(t, err, qt.IsNotNil)
	_, err = http.Get(server.URL + "/engine/load")
	qt.Assert(t, err, qt.IsNotNil)

	setFaults(`{}`)
	status, _ = call(t, http.MethodPost, chat, fmt.Sprintf(chatStream, "hello"))
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}
