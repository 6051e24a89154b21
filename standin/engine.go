package standin

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"nutmegfield.example/prefix"
)

// Engine is a stand-in of a model engine: an EngineModel behind the HTTP
// interface of docs/ENGINE.md, which answers with a text that names the
// request. Fields are set before Handler.
type Engine struct {
	Name string
	// PrefillRate and DecodeRate are tokens a second.
	PrefillRate float64
	DecodeRate  float64
	Options     EngineOptions

	mutex    sync.Mutex
	model    *EngineModel
	timer    *time.Timer
	streams  map[string]*stream
	state    engineState
	faults   EngineFaults
	received []Received
}

type chatBody struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
}

// defaultOutputTokens is the number of tokens where the caller sets no limit.
const defaultOutputTokens = 16

// Poison in a prompt crashes an engine whose faults say so.
const Poison = "nutmegfield-standin-poison"

// Received returns the calls that the stand-in got.
func (standin *Engine) Received() []Received {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	return append([]Received(nil), standin.received...)
}

// Handler returns the engine's API and, under /standin/, its switches and
// what it got.
func (standin *Engine) Handler() http.Handler {
	standin.model = &EngineModel{
		Name:        standin.Name,
		PrefillRate: standin.PrefillRate,
		DecodeRate:  standin.DecodeRate,
		Options:     standin.Options,
	}
	standin.model.Advance()
	standin.streams = map[string]*stream{}
	engine := http.NewServeMux()
	engine.HandleFunc("POST /v1/chat/completions", standin.chat)
	engine.HandleFunc("GET /engine/streams", standin.listStreams)
	engine.HandleFunc("GET /engine/streams/{request}", standin.resume)
	engine.HandleFunc("DELETE /engine/streams/{request}", standin.cancel)
	engine.HandleFunc("GET /engine/load", standin.load)
	engine.HandleFunc("GET /engine/cache", standin.cacheEvents)
	engine.HandleFunc("GET /engine/kv/{prefix}", standin.exportKV)
	engine.HandleFunc("PUT /engine/kv/{prefix}", standin.importKV)
	engine.HandleFunc("POST /engine/orders", standin.order)
	engine.HandleFunc("GET /engine/state", standin.readState)
	outer := http.NewServeMux()
	outer.HandleFunc("PUT /standin/faults", standin.setFaults)
	outer.HandleFunc("GET /standin/received", standin.listReceived)
	outer.Handle("/", standin.applyFaults(engine))
	return outer
}

// update runs a function on the model, brought to the present, and sees that it
// is woken in time.
func (standin *Engine) update(change func(model *EngineModel)) {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	standin.model.Advance()
	change(standin.model)
	standin.scheduleNext()
}

func (standin *Engine) scheduleNext() {
	next, ok := standin.model.NextEvent()
	if !ok {
		return
	}
	if standin.timer != nil {
		standin.timer.Reset(time.Until(next))
		return
	}
	standin.timer = time.AfterFunc(time.Until(next), func() { standin.update(func(*EngineModel) {}) })
}

func (standin *Engine) listReceived(writer http.ResponseWriter, _ *http.Request) {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(standin.received)
}

func (standin *Engine) load(writer http.ResponseWriter, _ *http.Request) {
	standin.update(func(model *EngineModel) { _ = json.NewEncoder(writer).Encode(model.Load()) })
}

func (standin *Engine) chat(writer http.ResponseWriter, request *http.Request) {
	var body chatBody
	if !decodeBody(writer, request, &body) {
		return
	}
	id := request.Header.Get("Nutmegfield-Request")
	if id == "" {
		id = rand.Text()
	}
	prompt := body.prompt()
	job := &Job{
		ID:     id,
		Prompt: max(1, prefix.EstimateTokens(len(prompt))),
		Output: body.MaxTokens,
		Blocks: prefix.BlockHashes([]byte(prompt)),
		Poison: strings.Contains(prompt, Poison),
	}
	if job.Output <= 0 {
		job.Output = defaultOutputTokens
	}
	if standin.isRunning(id) {
		http.Error(writer, "request "+id+" runs already", http.StatusConflict)
		return
	}
	started := standin.start(job, body.Model, request)
	if started == nil {
		writer.Header().Set("Nutmegfield-Leaving", "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if body.Stream {
		started.serveEvents(writer, request, 0)
		return
	}
	started.serveComplete(writer, request)
}

func (standin *Engine) isRunning(id string) bool {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	return standin.model.jobs[id] != nil
}

func (body *chatBody) prompt() string {
	var prompt strings.Builder
	for _, message := range body.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteByte('\n')
		prompt.Write(message.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

// start starts a job, nil if the engine refuses it.
func (standin *Engine) start(job *Job, modelName string, call *http.Request) *stream {
	started := &stream{engine: standin, job: job, model: modelName, ended: make(chan struct{}), lastRead: time.Now()}
	job.OnEnd = func(end JobEnd) {
		started.end = end
		close(started.ended)
	}
	var accepted bool
	standin.update(func(model *EngineModel) {
		standin.received = append(standin.received, Received{
			Request: job.ID, Method: call.Method, Path: call.URL.Path, At: time.Now(),
		})
		job.Poison = job.Poison && standin.faults.Poison
		accepted = model.Submit(job)
		if accepted {
			standin.streams[job.ID] = started
		}
	})
	if !accepted {
		return nil
	}
	return started
}
