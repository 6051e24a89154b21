package detour

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"nutmegfield.example/balance"
	"nutmegfield.example/detour/detourpb"
	"nutmegfield.example/head"
	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

const (
	// maxUsedHosts is the number of hosts over which this one sends the requests of a
	// pool, so that connections are used again.
	maxUsedHosts = 4
	// maxTriedHosts is the number of hosts that one request is offered to.
	maxTriedHosts = 2
	// declinedRest is the average time for which a host that declined a request is offered
	// none.
	declinedRest = 400 * time.Millisecond
	// connectTimeout limits the dial of a host.
	connectTimeout = 300 * time.Millisecond
	// idleLifetime is how long an unused connection to a host is kept.
	idleLifetime = 2 * time.Second
	// maxIdlePerHost limits the unused connections to a host.
	maxIdlePerHost = 16
	// maxReplyBytes limits a reply, of which the longest have the head of an answer, and
	// maxReplyFields the fields of that head.
	maxReplyBytes  = 128 << 10
	maxReplyFields = 512
	// MaxBodyBytes is the size of the largest body of a request that goes over a host.
	MaxBodyBytes = 3 << 20
)

var (
	// Declined means that no host sent the request: those that reach the pool take no more
	// now, or there are none. It has not run.
	Declined = upstream.NotSent.NewSubtype("declined")

	eventForwarded = timeline.Define(timeline.Kind{
		Number: 1133, Name: "request sent over another host", Level: timeline.Info, Frequent: true,
		Meaning: "This host reaches no target of the pool; the host in the field peer is asked to send the request to the target.",
	})
	eventDeclined = timeline.Define(timeline.Kind{
		Number: 1134, Name: "detour declined", Level: timeline.Info,
		Meaning: "This host reaches no target of the pool, and the host in the field peer did not send the request for it; the detail is the reason.",
	})
)

// Host is another host that reaches a pool.
type Host struct {
	ID, Address, Zone string
}

// Client sends requests over other hosts. Its fields are set before use.
type Client struct {
	// Host is this host's id.
	Host string
	// Hosts returns the other hosts that reach a pool.
	Hosts func(pool string) []Host
	// Dial opens a connection to a host.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Identify reads from the head of an answer which request it belongs to.
	Identify func(status int, header http.Header) upstream.Identity
	Events   *timeline.Recorder

	mutex sync.Mutex
	// states are kept by the addresses of hosts.
	states map[string]*hostState
	pool   atomic.Pointer[drpcpool.Pool[string, *drpcconn.Conn]]
}

// hostState is what is known of a host that sends requests for this one.
type hostState struct {
	running   int
	restUntil time.Time
}

// Call is a request that goes over another host.
type Call struct {
	*upstream.Request
	Target *balance.Target
	// Rank orders requests, 0 for the most important.
	Rank int
}

// Exchange sends a request to a target over another host and returns the answer once its
// header is read. Its errors are those of upstream.Connections.Exchange, and Declined.
func (client *Client) Exchange(ctx context.Context, call *Call) (*upstream.Answer, error) {
	if len(call.Body) > MaxBodyBytes {
		return nil, Declined.New("the body of %d bytes is too long for a detour", len(call.Body))
	}
	if call.ID == "" {
		// This host could not tell whether an answer is its own.
		return nil, Declined.New("a request without an id is not sent over another host")
	}
	err := error(Declined.New("no other host that reaches pool %s takes requests", call.Target.Pool))
	var tried []string
	for range maxTriedHosts {
		host, ok := client.choose(call.Target.Pool, tried)
		if !ok {
			break
		}
		tried = append(tried, host.Address)
		var answer *upstream.Answer
		answer, err = client.exchange(ctx, host, call)
		if err == nil || !upstream.Is(err, Declined) {
			return answer, err
		}
		client.recordDeclined(host, call, err)
	}
	return nil, err
}

// choose returns the less used one of two of the hosts over which requests of a pool go.
func (client *Client) choose(pool string, tried []string) (Host, bool) {
	hosts := client.Hosts(pool)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := time.Now()
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(host Host) bool {
		state := client.states[host.Address]
		return slices.Contains(tried, host.Address) || state != nil && now.Before(state.restUntil)
	})
	if len(hosts) == 0 {
		return Host{}, false
	}
	if len(hosts) > maxUsedHosts {
		// Each host uses others, so that few have to send for all.
		slices.SortFunc(hosts, func(one, other Host) int {
			if client.order(one) < client.order(other) {
				return -1
			}
			return 1
		})
		hosts = hosts[:maxUsedHosts]
	}
	first, second := hosts[rand.IntN(len(hosts))], hosts[rand.IntN(len(hosts))]
	if client.runningAt(second) < client.runningAt(first) {
		return second, true
	}
	return first, true
}

// order returns the place of a host in this host's own order of all.
func (client *Client) order(host Host) uint64 {
	hash := fnv.New64a()
	// Writes to a hash don't fail.
	_, _ = io.WriteString(hash, client.Host+"\x00"+host.ID)
	return hash.Sum64()
}

func (client *Client) runningAt(host Host) int {
	if state := client.states[host.Address]; state != nil {
		return state.running
	}
	return 0
}

// state returns the state of a host. The caller holds the mutex.
func (client *Client) state(host Host) *hostState {
	state := client.states[host.Address]
	if state == nil {
		if client.states == nil {
			client.states = map[string]*hostState{}
		}
		state = &hostState{}
		client.states[host.Address] = state
	}
	return state
}

func (client *Client) addRunning(host Host, change int) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	state := client.state(host)
	state.running += change
	if state.running == 0 && !time.Now().Before(state.restUntil) {
		delete(client.states, host.Address)
	}
}

func (client *Client) recordDeclined(host Host, call *Call, err error) {
	client.mutex.Lock()
	now := time.Now()
	maps.DeleteFunc(client.states, func(_ string, state *hostState) bool {
		return state.running == 0 && !now.Before(state.restUntil)
	})
	client.state(host).restUntil = now.Add(pause.Jitter(declinedRest))
	client.mutex.Unlock()
	countDetour("declined")
	client.Events.Record(eventDeclined, timeline.Event{
		Request: call.ID, Pool: call.Target.Pool, Target: call.Target.ID, Peer: host.ID, Detail: err.Error(),
	})
}

func countDetour(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_detours_total{result=%q}", result)).Inc()
}

// connOptions limit the size of replies.
var connOptions = drpcconn.Options{Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxReplyBytes}}}

// connections returns the pool of connections to hosts.
func (client *Client) connections() *drpcpool.Pool[string, *drpcconn.Conn] {
	if pool := client.pool.Load(); pool != nil {
		return pool
	}
	pool := drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleLifetime, KeyCapacity: maxIdlePerHost})
	if !client.pool.CompareAndSwap(nil, pool) {
		return client.pool.Load()
	}
	return pool
}

// connect opens a connection to a host, or takes an unused one.
func (client *Client) connect(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn, ok := client.connections().Take(address); ok {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := client.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return drpcconn.NewWithOptions(conn, connOptions), nil
}

// exchange sends a request over one host.
func (client *Client) exchange(ctx context.Context, host Host, call *Call) (*upstream.Answer, error) {
	conn, err := client.connect(ctx, host.Address)
	if err != nil {
		return nil, Declined.Wrap(err, "connect to host %s", host.ID)
	}
	if call.MaySend != nil && !call.MaySend() {
		client.connections().Put(host.Address, conn)
		return nil, upstream.Withdrawn.New("%s wants no requests now", call.Target.ID)
	}
	client.Events.Record(eventForwarded, timeline.Event{
		Request: call.ID, Pool: call.Target.Pool, Target: call.Target.ID, Peer: host.ID,
	})
	client.addRunning(host, 1)
	// The stream, and with it the request at the target, ends with its context.
	streamContext, cancel := context.WithCancel(ctx)
	exchange := &exchange{client: client, host: host, conn: conn, cancel: cancel}
	answer, err := exchange.begin(streamContext, call)
	if err != nil {
		exchange.release()
		return nil, err
	}
	countDetour("answered")
	return answer, nil
}

// exchange is a request that another host sends.
type exchange struct {
	client *Client
	host   Host
	conn   *drpcconn.Conn
	cancel context.CancelFunc
	stream detourpb.DRPCDetours_ForwardClient
	// unread is the part of the last reply's body that was not read yet. hasEnded is set
	// after the last reply.
	unread   []byte
	hasEnded bool
	// isConfirmed is set if the last reply says that an unframed answer is whole. Hosts of
	// earlier builds do not say so.
	isConfirmed bool
}

func (exchange *exchange) begin(ctx context.Context, call *Call) (*upstream.Answer, error) {
	stream, err := detourpb.NewDRPCDetoursClient(exchange.conn).Forward(ctx, encodeRequest(exchange.client.Host, call))
	if err != nil {
		return nil, upstream.Unknown.Wrap(err, "send over host %s", exchange.host.ID)
	}
	exchange.stream = stream
	reply, err := stream.Recv()
	if err != nil {
		return nil, upstream.Unknown.Wrap(err, "read from host %s", exchange.host.ID)
	}
	if err := decodeOutcome(reply); err != nil {
		// A host that takes no more should not keep the connections of all that ask it.
		exchange.hasEnded = !upstream.Is(err, Declined)
		return nil, err
	}
	if fields := len(reply.GetHeader()); fields > maxReplyFields {
		return nil, upstream.Unknown.New("the answer over host %s has %d fields", exchange.host.ID, fields)
	}
	header := decodeHeader(reply.GetHeader())
	// A host of an earlier build passes on what it has read.
	if err := head.CheckRead(int(reply.GetStatus()), header); err != nil {
		return nil, upstream.Unknown.Wrap(err, "read over host %s", exchange.host.ID)
	}
	if err := exchange.checkOwn(call, int(reply.GetStatus()), header); err != nil {
		return nil, err
	}
	return &upstream.Answer{
		Status: int(reply.GetStatus()), Header: header, Length: reply.GetLength(), Unframed: reply.GetUnframed(),
		Body:      upstream.NewBody(exchange, exchange.release),
		Confirmed: func() bool { return exchange.isConfirmed },
	}, nil
}

// checkOwn returns an error if an answer does not name the request. The other host reads the
// target's connections, and may be one of an earlier build that believes refusals which name
// none.
func (exchange *exchange) checkOwn(call *Call, status int, header http.Header) error {
	identity := exchange.client.Identify(status, header)
	if identity.ID == call.ID {
		return nil
	}
	skipped := upstream.Skipped{Status: status, Doubt: upstream.NamesAnother, NotRun: identity.NotRun}
	if identity.ID == "" {
		skipped.Doubt = upstream.NamesNone
	}
	if call.OnSkipped != nil {
		call.OnSkipped(skipped)
	}
	return upstream.Unknown.New("the answer over host %s, with status %d, %s", exchange.host.ID, status, skipped.Doubt)
}

// Read reads the body of the answer.
func (exchange *exchange) Read(buffer []byte) (int, error) {
	for len(exchange.unread) == 0 {
		if exchange.hasEnded {
			return 0, io.EOF
		}
		reply, err := exchange.stream.Recv()
		if err != nil {
			// An end of the stream before the last reply is none of the body.
			return 0, fmt.Errorf("read from host %s: %w", exchange.host.ID, errors.Join(io.ErrUnexpectedEOF, err))
		}
		if err := decodeOutcome(reply); err != nil {
			exchange.hasEnded = true
			return 0, fmt.Errorf("read over host %s: %w", exchange.host.ID, err)
		}
		exchange.unread, exchange.hasEnded, exchange.isConfirmed = reply.GetBody(), reply.GetEnd(), reply.GetConfirmed()
	}
	n := copy(buffer, exchange.unread)
	exchange.unread = exchange.unread[n:]
	return n, nil
}

// release ends the exchange. The connection is kept if all replies were read.
func (exchange *exchange) release() {
	exchange.client.addRunning(exchange.host, -1)
	if exchange.hasEnded && exchange.stream != nil && exchange.stream.Close() == nil {
		exchange.client.connections().Put(exchange.host.Address, exchange.conn)
		exchange.cancel()
		return
	}
	exchange.cancel()
	_ = exchange.conn.Close()
}

// Check asks a host that reaches the target's pool whether the target accepts connections. It
// returns nil, an error that wraps ECONNREFUSED or context.DeadlineExceeded, or another one
// if that is not known.
func (client *Client) Check(ctx context.Context, target *balance.Target) error {
	host, ok := client.choose(target.Pool, nil)
	if !ok {
		return Declined.New("no other host reaches pool %s", target.Pool)
	}
	conn, err := client.connect(ctx, host.Address)
	if err != nil {
		return Declined.New("connect to host %s: %v", host.ID, err)
	}
	reply, err := detourpb.NewDRPCDetoursClient(conn).Check(ctx, encodeTarget(target))
	if err != nil {
		_ = conn.Close()
		return Declined.New("check over host %s: %v", host.ID, err)
	}
	client.connections().Put(host.Address, conn)
	switch {
	case reply.GetOutcome() == detourpb.Outcome_NONE:
		return nil
	case reply.GetOutcome() != detourpb.Outcome_UNREACHABLE:
		return Declined.New("host %s did not check: %s", host.ID, reply.GetReason())
	case reply.GetRefused():
		return fmt.Errorf("check over host %s: %w", host.ID, syscall.ECONNREFUSED)
	default:
		return fmt.Errorf("check over host %s: %s: %w", host.ID, reply.GetReason(), context.DeadlineExceeded)
	}
}

func encodeTarget(target *balance.Target) *detourpb.Target {
	return &detourpb.Target{Id: target.ID, StartedMs: target.StartedAt.UnixMilli()}
}

func encodeRequest(sender string, call *Call) *detourpb.Request {
	return &detourpb.Request{
		Sender: sender, Target: encodeTarget(call.Target), Method: call.Method, Path: call.Request.Target, Host: call.Host,
		Header: encodeHeader(call.Header), Body: call.Body, Id: call.ID, FreshOnly: call.Once, Rank: uint32(max(0, call.Rank)),
		VerifyStart: call.Verify != nil,
	}
}

func encodeHeader(header http.Header) []*detourpb.Field {
	fields := make([]*detourpb.Field, 0, len(header))
	for name, values := range header {
		fields = append(fields, &detourpb.Field{Name: name, Values: values})
	}
	return fields
}

func decodeHeader(fields []*detourpb.Field) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header[field.GetName()] = field.GetValues()
	}
	return header
}

// decodeOutcome returns the error of a reply that says how a request failed.
func decodeOutcome(reply *detourpb.Reply) error {
	switch reply.GetOutcome() {
	case detourpb.Outcome_NONE:
		return nil
	case detourpb.Outcome_DECLINED:
		return Declined.New("%s", reply.GetReason())
	case detourpb.Outcome_UNWANTED:
		return upstream.Withdrawn.New("%s", reply.GetReason())
	case detourpb.Outcome_UNREACHABLE:
		return upstream.NotSent.New("%s", reply.GetReason())
	default:
		return upstream.Unknown.New("%s", reply.GetReason())
	}
}
