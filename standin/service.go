package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in of a plain service. It answers each call with what it
// received and keeps a list of the calls for the checkers.
type Service struct {
	Name string
	// Delay is how long a call takes.
	Delay time.Duration

	mutex    sync.Mutex
	received []Received
}

// Received is one call that a stand-in got.
type Received struct {
	Request string    `json:"request"`
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	Key     string    `json:"key,omitempty"`
	Body    string    `json:"body,omitempty"`
	At      time.Time `json:"at"`
}

// Received returns the calls that the stand-in got.
func (standin *Service) Received() []Received {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	return append([]Received(nil), standin.received...)
}

// Handler returns the service and, at /standin/received, what it got.
func (standin *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/received", func(writer http.ResponseWriter, _ *http.Request) {
		standin.mutex.Lock()
		defer standin.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(standin.received)
	})
	mux.HandleFunc("/", standin.serve)
	return mux
}

func (standin *Service) serve(writer http.ResponseWriter, request *http.Request) {
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
	standin.mutex.Lock()
	standin.received = append(standin.received, received)
	standin.mutex.Unlock()
	time.Sleep(standin.Delay)
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(received)
}
