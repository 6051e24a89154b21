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

// EngineFaults are what is wrong with an engine now.
type EngineFaults struct {
	// Slow makes all it computes take so many times as long.
	Slow float64 `json:"slow"`
	// Crashed breaks every connection and loses what ran and was cached,
	// until it is switched off.
	Crashed bool `json:"crashed"`
	// Poison lets a prompt that holds the marker Poison crash it.
	Poison bool `json:"poison"`
	// Leaving refuses new requests, unrun.
	Leaving bool `json:"leaving"`
	// Silent lets connections stand open without a byte.
	Silent bool `json:"silent"`
}

func (standin *Engine) setFaults(writer http.ResponseWriter, request *http.Request) {
	var faults EngineFaults
	if !decodeBody(writer, request, &faults) {
		return
	}
	standin.update(func(model *EngineModel) {
		standin.faults = faults
		model.SetSlowdown(faults.Slow)
		model.SetLeaving(faults.Leaving)
		switch {
		case faults.Crashed && !model.Down():
			model.Crash()
			standin.streams = map[string]*stream{}
		case !faults.Crashed:
			model.Restart()
		}
	})
}

// applyFaults breaks or holds the calls of an engine that is down or silent.
func (standin *Engine) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		standin.mutex.Lock()
		down := standin.model.Down()
		silent := standin.faults.Silent
		standin.mutex.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if silent {
			// The body is read so that the context ends with the connection.
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func (standin *Engine) cacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.FormValue("after"), 10, 64)
	standin.update(func(model *EngineModel) { _ = json.NewEncoder(writer).Encode(model.Events(after)) })
}

// hashBytes is the length of a block's hash in an exported KV cache.
const hashBytes = 8

func (standin *Engine) exportKV(writer http.ResponseWriter, request *http.Request) {
	hash, err := strconv.ParseUint(request.PathValue("prefix"), 10, 64)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	var chain []uint64
	var wait time.Duration
	standin.update(func(model *EngineModel) { chain, wait = model.Export(hash) })
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

func (standin *Engine) importKV(writer http.ResponseWriter, request *http.Request) {
	limit := int64(standin.model.cache.capacity * hashBytes)
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
	standin.update(func(model *EngineModel) { wait = model.Import(chain) })
	time.Sleep(wait)
}

// engineState is what orders have made of the engine.
type engineState struct {
	protocol.State
}

func (standin *Engine) order(writer http.ResponseWriter, request *http.Request) {
	var order protocol.Order
	if !decodeBody(writer, request, &order) {
		return
	}
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	if standin.Options.Fenced && order.Fence < standin.state.Fence {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	if !standin.state.apply(order) {
		writer.WriteHeader(http.StatusBadRequest)
	}
}

// apply reports false for an unknown action.
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
	state.Fence = max(state.Fence, order.Fence)
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

func (standin *Engine) readState(writer http.ResponseWriter, _ *http.Request) {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	state := standin.state.State
	if state.Models == nil {
		state.Models = []string{}
	}
	if state.Adapters == nil {
		state.Adapters = []string{}
	}
	_ = json.NewEncoder(writer).Encode(state)
}
