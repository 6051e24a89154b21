// Package operator serves a host's metrics, status and timeline to operators,
// on an address of its own.
package operator

import (
	"bytes"
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
	"nutmegfield.example/listener"
	"nutmegfield.example/memory"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
	"nutmegfield.example/rollout"
	"nutmegfield.example/timeline"
)

const (
	readTimeout = 5 * time.Second
	idleTimeout = time.Minute
	stopTimeout = time.Second

	// headerBytes limits the heads of operators' requests.
	headerBytes = 4 << 10
	// maxPages is the number of pages that are built at a time: a full timeline takes some
	// megabytes. Others wait for pagePatience.
	maxPages     = 1
	pagePatience = 2 * time.Second
)

// Limits returns the limits of operators' requests.
func Limits() listener.Limits { return listener.Limits{HeaderBytes: headerBytes} }

// Limit bounds what the pages of a handler hold together.
func Limit(next http.Handler) http.Handler { return listener.Limit(maxPages, pagePatience, next) }

func init() {
	kernel.Register(kernel.Plugin{Name: "operators", Rank: kernel.RankOperators, New: newPart})
}

// Server answers operators' requests. Fields are set before use.
type Server struct {
	// TokenHash is the SHA-256 hash, in hexadecimal, of the operators' token;
	// if it is empty, no token is required.
	TokenHash string
	Store     *profile.Store
	Members   *peer.Members
	Events    *timeline.Recorder
	// Memory is the division of the host's memory; nil if it is not known.
	Memory *memory.Plan
}

// Status is the JSON body of GET /status.
type Status struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Version is the configuration version in force on this host; 0 before the
	// first.
	Version int64 `json:"version"`
	// Since is when this host applied Version; zero before the first.
	Since time.Time `json:"since,omitzero"`
	// Hosts are the hosts that this host considers live.
	Hosts []peer.Host `json:"hosts"`
	// Memory is what is held for callers, operators and other hosts, by kind.
	Memory []memory.Usage `json:"memory,omitempty"`
	// Rollouts are those that this host knows of, at gateways.
	Rollouts []rollout.Status `json:"rollouts,omitempty"`
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
	socket, err := host.Network.Listen("tcp", host.Settings.Operators.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	endpoint := &certificate.Endpoint{Files: host.Settings.Operators.TLS, Events: host.Events}
	accepting, err := endpoint.Listen(socket)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	plan := host.Memory()
	bounded := &listener.Listener{
		Listener: accepting, Socket: socket, Budget: plan.Operators, Limits: Limits, IsSmall: listener.IsSmall(plan.Machine),
	}
	(&listener.Report{Name: "operators", Events: host.Events}).Observe(bounded)
	server := &Server{
		TokenHash: host.Settings.Operators.TokenHash,
		Store:     store,
		Members:   members,
		Events:    host.Events,
		Memory:    plan,
	}
	return &kernel.Part{Run: server.serve(bounded)}, nil
}

// serve returns the part's Run function, which serves HTTP on the listener until
// its context ends and then lets active requests complete for up to stopTimeout.
func (server *Server) serve(accepting net.Listener) func(context.Context) error {
	httpServer := khttp.NewServer(khttp.Listener(accepting), khttp.Timeout(0))
	listener.Bind(httpServer.Server)
	httpServer.ReadHeaderTimeout = readTimeout
	httpServer.ReadTimeout = readTimeout
	httpServer.IdleTimeout = idleTimeout
	httpServer.HandlePrefix("/", listener.Handler(server.Handler()))
	return func(ctx context.Context) error {
		go func() {
			<-ctx.Done()
			stopContext, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			if httpServer.Stop(stopContext) != nil {
				_ = httpServer.Close()
			}
		}()
		if err := httpServer.Start(context.WithoutCancel(ctx)); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve operators: %w", err)
		}
		return nil
	}
}

// Handler returns the handler of all operators' requests: the routes of NewMux and
// GET /status. It requires the token.
func (server *Server) Handler() http.Handler {
	mux := NewMux(server.Events)
	mux.HandleFunc("GET /status", server.serveStatus)
	return server.requireToken(Limit(mux))
}

// NewMux returns a mux that serves a host's expvar variables, timeline and metrics
// without a token. The gateway serves these routes, and a status of its own.
func NewMux(events *timeline.Recorder) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /timeline", func(writer http.ResponseWriter, request *http.Request) {
		serveTimeline(events, writer, request)
	})
	mux.HandleFunc("GET /metrics", serveMetrics)
	return mux
}

// serveMetrics writes the counters and histograms in the Prometheus text format. The
// buckets of the histograms and the metrics of the process come last, as monitoring may
// keep only the beginning of the page.
func serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
	var page bytes.Buffer
	metrics.WritePrometheus(&page, false)
	// A failed write means that the reader has left.
	_, _ = writer.Write(bucketsLast(page.Bytes()))
	metrics.WriteProcessMetrics(writer)
}

// bucketsLast returns a page of metrics with the buckets of histograms after all else.
func bucketsLast(page []byte) []byte {
	var others, buckets []byte
	for line := range bytes.Lines(page) {
		if name, _, _ := bytes.Cut(line, []byte("{")); bytes.HasSuffix(name, []byte("_bucket")) {
			buckets = append(buckets, line...)
		} else {
			others = append(others, line...)
		}
	}
	return append(others, buckets...)
}

func (server *Server) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		token, isBearer := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		hash := hex.EncodeToString(sum[:])
		isValid := subtle.ConstantTimeCompare([]byte(hash), []byte(server.TokenHash)) == 1
		if server.TokenHash != "" && (!isBearer || !isValid) {
			writer.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(writer, "the operators' token is needed", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func (server *Server) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	status := Status{
		Host:  server.Members.Self.ID,
		Zone:  server.Members.Self.Zone,
		Hosts: server.Members.View().Hosts,
	}
	if snapshot := server.Store.Current(); snapshot != nil {
		status.Version = snapshot.Version
		status.Since = snapshot.AppliedAt
	}
	if server.Memory != nil {
		status.Memory = server.Memory.Usage()
	}
	WriteJSON(writer, status)
}

// serveTimeline writes the host's events as a timeline.Page. The query parameter
// "request" selects the events of a request id, "since" those of the last duration,
// such as 10m.
func serveTimeline(events *timeline.Recorder, writer http.ResponseWriter, request *http.Request) {
	now := time.Now()
	selection := timeline.Selection{Request: request.FormValue("request")}
	if text := request.FormValue("since"); text != "" {
		since, err := time.ParseDuration(text)
		if err != nil {
			http.Error(writer, "since is no duration such as 10m", http.StatusBadRequest)
			return
		}
		selection.Since = now.Add(-since)
	}
	WriteJSON(writer, timeline.Page{
		Host:   events.Host,
		Now:    now,
		Events: selection.Select(events.Events()),
	})
}

// WriteJSON writes a value as the body of an answer.
func WriteJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// An error means that the client closed the connection.
	_ = json.NewEncoder(writer).Encode(value)
}
