package load_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"nutmegfield.example/standin"
)

// The addresses come from script/benchmark, which starts the processes. With
// no address there is nothing to measure.
var (
	capacityHosts    = flag.String("capacity.hosts", "", "base addresses of running hosts, with commas")
	capacityEngine   = flag.String("capacity.engine", "", "base address of the engine to ask directly")
	capacityRate     = flag.Int("capacity.rate", 200, "requests a second")
	capacityTargets  = flag.Int("capacity.targets", 0, "number of engines to serve until SIGTERM, each on a loopback address of its own")
	capacityRequests = flag.Int("capacity.requests", 4000, "requests in all")
)

const (
	chatPath      = "/v1/chat/completions"
	statusPath    = "/services/s/status/17"
	smallChat     = `{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"describe a boot"}]}`
	longChat      = `{"model":"m","max_tokens":500,"stream":true,"messages":[{"role":"user","content":"describe a boot"}]}`
	clientTimeout = 60 * time.Second
	maxIdle       = 512
)

// capacityClient sends requests, each at its time whatever became of those
// before, and keeps how long each took from the time when it was due.
type capacityClient struct {
	client http.Client

	mutex  sync.Mutex
	took   map[string][]time.Duration
	errors int
	first  error
}

func newCapacityClient() *capacityClient {
	return &capacityClient{
		client: http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}},
		took:   map[string][]time.Duration{},
	}
}

// call is one request; Kind groups the figures.
type call struct{ Kind, URL, Body string }

// run sends the requests that next makes and returns how long it took.
func (client *capacityClient) run(count, rate int, next func(number int) call) time.Duration {
	var group sync.WaitGroup
	begin := time.Now()
	for number := range count {
		due := begin.Add(time.Duration(number) * time.Second / time.Duration(rate))
		if wait := time.Until(due); wait > 0 {
			<-time.After(wait)
		}
		made := next(number)
		group.Go(func() { client.send(made, due) })
	}
	group.Wait()
	return time.Since(begin)
}

func (client *capacityClient) send(made call, due time.Time) {
	err := client.ask(made)
	took := time.Since(due)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if err != nil {
		client.errors++
		client.first = err
		return
	}
	client.took[made.Kind] = append(client.took[made.Kind], took)
}

func (client *capacityClient) ask(made call) error {
	method := http.MethodGet
	if made.Body != "" {
		method = http.MethodPost
	}
	request, err := http.NewRequest(method, made.URL, bytes.NewReader([]byte(made.Body)))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Nutmegfield-Workspace", "w0")
	response, err := client.client.Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(&chunks{Reader: response.Body, client: client, kind: made.Kind, last: time.Now()})
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %.200s", response.StatusCode, body)
	}
	return nil
}

// chunks notes the time before each piece of a stream after the first, which
// is a token where the engine is slow enough.
type chunks struct {
	io.Reader
	client *capacityClient
	kind   string
	last   time.Time
	count  int
}

// Read passes the bytes on.
func (chunks *chunks) Read(into []byte) (int, error) {
	n, err := chunks.Reader.Read(into)
	now := time.Now()
	if chunks.count > 0 && n > 0 && strings.HasPrefix(chunks.kind, "stream") {
		kind := chunks.kind + "-gap"
		chunks.client.mutex.Lock()
		chunks.client.took[kind] = append(chunks.client.took[kind], now.Sub(chunks.last))
		chunks.client.mutex.Unlock()
	}
	chunks.count++
	chunks.last = now
	return n, err
}

// warm sends each request once, so that its pool's scheduler runs, and
// reports how long that took.
func (client *capacityClient) warm(b *testing.B, calls ...call) {
	for _, made := range calls {
		made.Kind = "first-" + made.Kind
		client.send(made, time.Now())
		b.ReportMetric(client.quantile(made.Kind, 1), made.Kind+"-ms")
	}
}

// quantile is in milliseconds.
func (client *capacityClient) quantile(kind string, share float64) float64 {
	took := client.took[kind]
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	at := min(len(took)-1, int(share*float64(len(took))))
	return float64(took[at]) / float64(time.Millisecond)
}

func (client *capacityClient) report(b *testing.B, kind string) {
	b.ReportMetric(float64(len(client.took[kind])), kind+"-requests")
	b.ReportMetric(client.quantile(kind, 0.5), kind+"-p50-ms")
	b.ReportMetric(client.quantile(kind, 0.99), kind+"-p99-ms")
	b.ReportMetric(client.quantile(kind, 1), kind+"-max-ms")
}

func hosts() []string {
	return strings.FieldsFunc(*capacityHosts, func(letter rune) bool { return letter == ',' })
}

// BenchmarkAdded sends small chats through a host and to the engine itself in
// turn. Run it with -benchtime 1x.
func BenchmarkAdded(b *testing.B) {
	for _, host := range hosts() {
		b.Run("host", func(b *testing.B) {
			for b.Loop() {
				client := newCapacityClient()
				client.warm(b, call{"host", host + chatPath, smallChat}, call{"direct", *capacityEngine + chatPath, smallChat})
				client.run(*capacityRequests, *capacityRate, func(number int) call {
					if number%2 == 0 {
						return call{"host", host + chatPath, smallChat}
					}
					return call{"direct", *capacityEngine + chatPath, smallChat}
				})
				client.report(b, "host")
				client.report(b, "direct")
				b.ReportMetric(client.quantile("host", 0.5)-client.quantile("direct", 0.5), "added-p50-ms")
				b.ReportMetric(client.quantile("host", 0.99)-client.quantile("direct", 0.99), "added-p99-ms")
				client.reportErrors(b)
			}
		})
	}
}

// BenchmarkRate sends small chats and status checks, half and half, to all
// hosts in turn. Run it with -benchtime 1x.
func BenchmarkRate(b *testing.B) {
	addresses := hosts()
	if len(addresses) == 0 {
		return
	}
	for b.Loop() {
		client := newCapacityClient()
		client.warm(b, call{"chat", addresses[0] + chatPath, smallChat}, call{"service", addresses[0] + statusPath, ""})
		took := client.run(*capacityRequests, *capacityRate, func(number int) call {
			host := addresses[number%len(addresses)]
			if number/len(addresses)%2 == 0 {
				return call{"chat", host + chatPath, smallChat}
			}
			return call{"service", host + statusPath, ""}
		})
		client.report(b, "chat")
		client.report(b, "service")
		b.ReportMetric(float64(*capacityRequests)/took.Seconds(), "requests/s")
		client.reportErrors(b)
	}
}

func (client *capacityClient) reportErrors(b *testing.B) {
	b.ReportMetric(float64(client.errors), "errors")
	if client.errors > 0 {
		b.Logf("%d errors, the last: %v", client.errors, client.first)
	}
}

// BenchmarkStream sends long streamed chats through the first host and, where
// the engine's address is given, as many to the engine. Run it with
// -benchtime 1x.
func BenchmarkStream(b *testing.B) {
	addresses := hosts()
	if len(addresses) == 0 {
		return
	}
	host := addresses[0]
	for b.Loop() {
		client := newCapacityClient()
		client.warm(b, call{"host", host + chatPath, smallChat})
		client.run(*capacityRequests, *capacityRate, func(number int) call {
			if number%2 == 1 && *capacityEngine != "" {
				return call{"streamDirect", *capacityEngine + chatPath, longChat}
			}
			return call{"streamHost", host + chatPath, longChat}
		})
		for _, kind := range []string{"streamHost-gap", "streamDirect-gap"} {
			b.ReportMetric(float64(len(client.took[kind])), kind+"-requests")
			b.ReportMetric(client.quantile(kind, 0.5), kind+"-p50-ms")
			b.ReportMetric(client.quantile(kind, 0.95), kind+"-p95-ms")
		}
		client.reportErrors(b)
	}
}

const targetsOfSubnet = 250

// BenchmarkTargetsServe is no measurement: it serves one idle engine on many
// loopback addresses, 127.0.1.1 and so on, for a host to poll.
func BenchmarkTargetsServe(b *testing.B) {
	if *capacityTargets == 0 {
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	engine := &standin.Engine{Name: "idle", PrefillRate: 1e6, DecodeRate: 1e6}
	server := &http.Server{Handler: engine.Handler(), ReadHeaderTimeout: clientTimeout}
	for i := range *capacityTargets {
		address := fmt.Sprintf("127.0.%d.%d:25600", 1+i/targetsOfSubnet, 1+i%targetsOfSubnet)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = server.Serve(listener) }()
	}
	<-ctx.Done()
	_ = server.Close()
}
