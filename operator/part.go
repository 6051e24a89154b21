// Package operator is the operators' side of a host: metrics, status and
// time line, on an address of its own.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"nutmegfield.example/certificate"
	"nutmegfield.example/kernel"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
	"nutmegfield.example/timeline"
)

const (
	readTimeout  = 5 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = time.Minute
	stopTimeout  = time.Second
)

func init() {
	kernel.Register(kernel.Plugin{Name: "operators", Rank: kernel.RankOperators, New: newPart})
}

// Operator serves the operators' side. Fields are set before use.
type Operator struct {
	// TokenHash is the SHA-256 sum, in hexadecimal, of the operators' token;
	// empty for none.
	TokenHash string
	Store     *profile.Store
	Members   *peer.Members
	Events    *timeline.Recorder
}

// Status is what a host says of itself.
type Status struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Version int64  `json:"version"`
	// Since is when the version came in force here; absent before the first.
	Since time.Time `json:"since,omitzero"`
	// Hosts are the hosts it holds for live.
	Hosts []peer.Host `json:"hosts"`
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	store, err := kernel.Require[profile.Store](host)
	if err != nil {
		return nil, err
	}
	members, err := kernel.Require[peer.Members](host)
	if err != nil {
		return nil, err
	}
	listener, err := host.Network.Listen("tcp", host.Settings.Operators.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	endpoint := &certificate.Endpoint{Files: host.Settings.Operators.TLS, Events: host.Events}
	listener, err = endpoint.Listen(listener)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	operator := &Operator{
		TokenHash: host.Settings.Operators.TokenHash,
		Store:     store,
		Members:   members,
		Events:    host.Events,
	}
	return &kernel.Part{Run: operator.serve(listener)}, nil
}

func (operator *Operator) serve(listener net.Listener) func(context.Context) error {
	server := khttp.NewServer(khttp.Listener(listener), khttp.Timeout(0))
	server.ReadHeaderTimeout = readTimeout
	server.ReadTimeout = readTimeout
	server.WriteTimeout = writeTimeout
	server.IdleTimeout = idleTimeout
	server.HandlePrefix("/", operator.Handler())
	return func(ctx context.Context) error {
		go func() {
			<-ctx.Done()
			stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			if server.Stop(stopping) != nil {
				_ = server.Close()
			}
		}()
		if err := server.Start(context.WithoutCancel(ctx)); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve operators: %w", err)
		}
		return nil
	}
}

// Handler returns the operators' side.
func (operator *Operator) Handler() http.Handler {
	mux := Pages(operator.Events)
	mux.HandleFunc("GET /status", operator.status)
	return operator.authorised(mux)
}

// Pages are those that every host has: its variables, time line and metrics.
func Pages(events *timeline.Recorder) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /timeline", func(writer http.ResponseWriter, asked *http.Request) {
		answerTimeline(events, writer, asked)
	})
	mux.HandleFunc("GET /metrics", answerMetrics)
	return mux
}

// answerMetrics answers with the counters and histograms as text.
func answerMetrics(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(writer, true)
}

func (operator *Operator) authorised(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		token, bearer := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		given := hex.EncodeToString(sum[:])
		same := subtle.ConstantTimeCompare([]byte(given), []byte(operator.TokenHash)) == 1
		if operator.TokenHash != "" && (!bearer || !same) {
			writer.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(writer, "the operators' token is needed", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func (operator *Operator) status(writer http.ResponseWriter, _ *http.Request) {
	status := Status{
		Host:  operator.Members.Self.ID,
		Zone:  operator.Members.Self.Zone,
		Hosts: operator.Members.View().Hosts,
	}
	if snapshot := operator.Store.Current(); snapshot != nil {
		status.Version = snapshot.Version
		status.Since = snapshot.AppliedAt
	}
	writeJSON(writer, status)
}

// answerTimeline answers with the events that the query asks for: request is an
// id, since a duration before now.
func answerTimeline(events *timeline.Recorder, writer http.ResponseWriter, asked *http.Request) {
	now := time.Now()
	selection := timeline.Selection{Request: asked.FormValue("request")}
	if text := asked.FormValue("since"); text != "" {
		since, err := time.ParseDuration(text)
		if err != nil {
			http.Error(writer, "since is no duration such as 10m", http.StatusBadRequest)
			return
		}
		selection.Since = now.Add(-since)
	}
	writeJSON(writer, timeline.Page{
		Host:   events.Host,
		Now:    now,
		Events: selection.Select(events.Events()),
	})
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// The operator may be gone; there is nobody to tell.
	_ = json.NewEncoder(writer).Encode(value)
}
