package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service simulates a plain service. It answers each call with a description of
// the call, and records all calls for tests to check.
type Service struct {
	Name string
	// Delay is the duration of a call.
	Delay time.Duration

	mutex    sync.Mutex
	received []Received
}

// Received describes a call that a stand-in received. Key and Body are set by
// Service only.
type Received struct {
	Request string    `json:"request"`
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	Key     string    `json:"key,omitempty"`
	Body    string    `json:"body,omitempty"`
	At      time.Time `json:"at"`
}

// Received returns the calls received so far.
func (service *Service) Received() []Received {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return append([]Received(nil), service.received...)
}

// Handler returns a handler of the service and, at /standin/received, of the
// calls received.
func (service *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/received", func(writer http.ResponseWriter, _ *http.Request) {
		service.mutex.Lock()
		defer service.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(service.received)
	})
	mux.HandleFunc("/", service.serve)
	return mux
}

func (service *Service) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	received := Received{
		Request: request.Header.Get("Nutmegfield-Request"),
		Method:  request.Method,
		Path:    request.URL.RequestURI(),
		Key:     request.Header.Get("Idempotency-Key"),
		Body:    string(body),
		At:      time.Now(),
	}
	service.mutex.Lock()
	service.received = append(service.received, received)
	service.mutex.Unlock()
	time.Sleep(service.Delay)
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(received)
}
