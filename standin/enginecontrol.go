package standin

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"nutmegfield.example/protocol"
)

// EngineFaults selects the faults that an engine simulates.
type EngineFaults struct {
	// Slow multiplies the duration of computing; a value below 1 counts as 1.
	Slow float64 `json:"slow"`
	// Crashed aborts every connection and drops all requests and the cache. The
	// engine restarts when Crashed is reset.
	Crashed bool `json:"crashed"`
	// Poison makes a prompt that contains the constant Poison crash the engine.
	Poison bool `json:"poison"`
	// Leaving makes the engine refuse new requests without running them.
	Leaving bool `json:"leaving"`
	// Limit is the number of requests a second that the engine says it takes, 0 for no
	// limit.
	Limit float64 `json:"limit"`
	// Silent leaves connections open without sending any bytes.
	Silent bool `json:"silent"`
}

func (engine *Engine) setFaults(writer http.ResponseWriter, request *http.Request) {
	var faults EngineFaults
	if !decodeBody(writer, request, &faults) {
		return
	}
	engine.update(func(model *EngineModel) {
		engine.faults = faults
		model.SetSlowdown(faults.Slow)
		model.SetLeaving(faults.Leaving)
		model.SetLimit(faults.Limit)
		switch {
		case faults.Crashed && !model.Down():
			model.Crash()
			engine.streams = map[string]*stream{}
		case !faults.Crashed:
			model.Restart()
		}
	})
}

// applyFaults aborts calls while the engine is down, and leaves them without an
// answer while it is silent.
func (engine *Engine) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		engine.mutex.Lock()
		down := engine.model.Down()
		silent := engine.faults.Silent
		engine.mutex.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if silent {
			// net/http notices a closed connection, and ends the context, only after
			// the body was read.
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func (engine *Engine) cacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.FormValue("after"), 10, 64)
	engine.update(func(model *EngineModel) { _ = json.NewEncoder(writer).Encode(model.Events(after)) })
}

// hashBytes is the length of a block hash in an exported KV cache.
const hashBytes = 8

func (engine *Engine) exportKV(writer http.ResponseWriter, request *http.Request) {
	hash, err := strconv.ParseUint(request.PathValue("prefix"), 10, 64)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	var chain []uint64
	var wait time.Duration
	engine.update(func(model *EngineModel) { chain, wait = model.Export(hash) })
	if len(chain) == 0 {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(wait)
	cache := make([]byte, 0, len(chain)*hashBytes)
	for _, hash := range chain {
		cache = binary.LittleEndian.AppendUint64(cache, hash)
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	_, _ = writer.Write(cache)
}

func (engine *Engine) importKV(writer http.ResponseWriter, request *http.Request) {
	limit := int64(engine.model.cache.capacity * hashBytes)
	cache, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if err != nil || len(cache) == 0 || len(cache)%hashBytes != 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	var chain []uint64
	for at := 0; at < len(cache); at += hashBytes {
		chain = append(chain, binary.LittleEndian.Uint64(cache[at:]))
	}
	if strconv.FormatUint(chain[len(chain)-1], 10) != request.PathValue("prefix") {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	var wait time.Duration
	engine.update(func(model *EngineModel) { wait = model.Import(chain) })
	time.Sleep(wait)
}

// engineState is the state of the engine after the accepted orders.
type engineState struct {
	protocol.State
}

func (engine *Engine) order(writer http.ResponseWriter, request *http.Request) {
	var order protocol.Order
	if !decodeBody(writer, request, &order) {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.Options.Fenced && order.FencingNumber < engine.state.FencingNumber {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	if !engine.state.apply(order) {
		writer.WriteHeader(http.StatusBadRequest)
	}
}

// apply applies an order; it returns false if its action is unknown.
func (state *engineState) apply(order protocol.Order) bool {
	switch order.Action {
	case "load":
		state.Models = with(state.Models, modelVersion(order.Model, order.Version))
		state.Adapters = with(state.Adapters, order.Adapter)
	case "unload":
		if order.Adapter != "" {
			state.Adapters = without(state.Adapters, order.Adapter)
		} else {
			state.Models = without(state.Models, modelVersion(order.Model, order.Version))
		}
	case "role":
		state.Role = order.Role
	default:
		return false
	}
	state.FencingNumber = max(state.FencingNumber, order.FencingNumber)
	return true
}

func modelVersion(model, version string) string {
	if model == "" || version == "" {
		return model
	}
	return model + "@" + version
}

func with(names []string, name string) []string {
	if name == "" || slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(names, func(found string) bool { return found == name })
}

func (engine *Engine) readState(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	state := engine.state.State
	if state.Models == nil {
		state.Models = []string{}
	}
	if state.Adapters == nil {
		state.Adapters = []string{}
	}
	_ = json.NewEncoder(writer).Encode(state)
}
