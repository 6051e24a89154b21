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

// Engine simulates a model engine: it serves an EngineModel over the HTTP
// interface of docs/ENGINE.md. Each token of an answer holds the id of the
// request and the token's index. Fields are set before Handler is called.
type Engine struct {
	Name string
	// PrefillRate and DecodeRate are in tokens a second, see EngineModel.
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

// defaultOutputTokens is the length of an answer without max_tokens.
const defaultOutputTokens = 16

// Poison in a prompt crashes an engine if EngineFaults.Poison is set.
const Poison = "nutmegfield-standin-poison"

// Received returns the chat requests received so far.
func (engine *Engine) Received() []Received {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]Received(nil), engine.received...)
}

// Handler initializes the engine and returns a handler of its API and, under
// /standin/, of its faults and the requests received.
func (engine *Engine) Handler() http.Handler {
	engine.model = &EngineModel{
		Name:        engine.Name,
		PrefillRate: engine.PrefillRate,
		DecodeRate:  engine.DecodeRate,
		Options:     engine.Options,
	}
	engine.model.Advance()
	engine.streams = map[string]*stream{}
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/chat/completions", engine.chat)
	api.HandleFunc("GET /engine/streams", engine.listStreams)
	api.HandleFunc("GET /engine/streams/{request}", engine.resume)
	api.HandleFunc("DELETE /engine/streams/{request}", engine.cancel)
	api.HandleFunc("GET /engine/load", engine.load)
	api.HandleFunc("GET /engine/cache", engine.cacheEvents)
	api.HandleFunc("GET /engine/kv/{prefix}", engine.exportKV)
	api.HandleFunc("PUT /engine/kv/{prefix}", engine.importKV)
	api.HandleFunc("POST /engine/orders", engine.order)
	api.HandleFunc("GET /engine/state", engine.readState)
	outer := http.NewServeMux()
	outer.HandleFunc("PUT /standin/faults", engine.setFaults)
	outer.HandleFunc("GET /standin/received", engine.listReceived)
	outer.Handle("/", engine.applyFaults(api))
	return outer
}

// update advances the model to now, changes it under the mutex, and schedules
// the next call of Advance.
func (engine *Engine) update(change func(model *EngineModel)) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.model.Advance()
	change(engine.model)
	engine.scheduleNext()
}

// scheduleNext sets the timer to the model's next event.
func (engine *Engine) scheduleNext() {
	next, ok := engine.model.NextEvent()
	if !ok {
		return
	}
	if engine.timer != nil {
		engine.timer.Reset(time.Until(next))
		return
	}
	engine.timer = time.AfterFunc(time.Until(next), func() { engine.update(func(*EngineModel) {}) })
}

func (engine *Engine) listReceived(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(engine.received)
}

func (engine *Engine) load(writer http.ResponseWriter, _ *http.Request) {
	engine.update(func(model *EngineModel) { _ = json.NewEncoder(writer).Encode(model.Load()) })
}

func (engine *Engine) chat(writer http.ResponseWriter, request *http.Request) {
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
		ID:           id,
		PromptTokens: max(1, prefix.EstimateTokens(len(prompt))),
		OutputTokens: body.MaxTokens,
		Blocks:       prefix.BlockHashes([]byte(prompt)),
		Poison:       strings.Contains(prompt, Poison),
	}
	if job.OutputTokens <= 0 {
		job.OutputTokens = defaultOutputTokens
	}
	if engine.isRunning(id) {
		http.Error(writer, "request "+id+" runs already", http.StatusConflict)
		return
	}
	stream := engine.start(job, body.Model, request)
	if stream == nil {
		writer.Header().Set("Nutmegfield-Leaving", "true")
		writer.Header().Set("Nutmegfield-Request", id)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if body.Stream {
		stream.serveEvents(writer, request, 0)
		return
	}
	stream.serveComplete(writer, request)
}

func (engine *Engine) isRunning(id string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.model.jobs[id] != nil
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

// start submits a job and returns its stream, or nil if the engine refuses it.
func (engine *Engine) start(job *Job, modelName string, call *http.Request) *stream {
	stream := &stream{engine: engine, job: job, model: modelName, ended: make(chan struct{}), lastRead: time.Now()}
	job.OnEnd = func(end JobEnd) {
		stream.end = end
		close(stream.ended)
	}
	var accepted bool
	engine.update(func(model *EngineModel) {
		engine.received = append(engine.received, Received{
			Request: job.ID, Method: call.Method, Path: call.URL.Path, At: time.Now(),
		})
		job.Poison = job.Poison && engine.faults.Poison
		accepted = model.Submit(job)
		if accepted {
			engine.streams[job.ID] = stream
		}
	})
	if !accepted {
		return nil
	}
	return stream
}
