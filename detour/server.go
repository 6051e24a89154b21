package detour

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"storj.io/drpc"

	"nutmegfield.example/balance"
	"nutmegfield.example/detour/detourpb"
	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
	"nutmegfield.example/witness"
)

const (
	// maxForwarded is the number of requests that a host sends for others at once.
	maxForwarded = 256
	// Each of the first maxSteps ranks below the most important one gets a part of
	// 1/rankSteps less of that number.
	rankSteps = 8
	maxSteps  = 3
	// replyBytes is the size of the largest part of a body in a reply.
	replyBytes = 8 << 10
	// lagInterval is how often a host looks whether its own work is late; while it is by
	// more than maxLag on average it sends no further requests for others.
	lagInterval = 50 * time.Millisecond
	maxLag      = 30 * time.Millisecond
	lagWeight   = 0.2
	// waitInterval is how often a host that shuts down looks whether requests of others run.
	waitInterval = 20 * time.Millisecond
	// maxPause is the longest time without work of a host after which requests that it reads
	// are sent: what had come before a longer one may have been given up meanwhile.
	maxPause = 500 * time.Millisecond
	// afterPause is the time after a pause within which the host reads what came before.
	afterPause = 200 * time.Millisecond
)

var eventSentForHost = timeline.Define(timeline.Kind{
	Number: 1135, Name: "request of another host sent", Level: timeline.Info, Frequent: true,
	Meaning: "This host sends a request to a target for the host in the field peer, which reaches no target of the pool. The fact is the number of those that run.",
})

// Server sends requests of other hosts to targets. Its fields are set before Run.
type Server struct {
	Connections *upstream.Connections
	// Target returns the current target of an incarnation, and whether it may get requests
	// of this host now.
	Target func(incarnation balance.Incarnation) (target balance.Target, isKnown, maySend bool)
	// Verify returns an error unless a connection to a target that was opened at a time leads to the start
	// of it that is known. It may be nil.
	Verify func(ctx context.Context, target *balance.Target, openedAt time.Time) error
	// Reaches reports whether this host reaches a pool.
	Reaches func(pool string) bool
	// Watch starts watching a request to a target of a pool, as for one of this host's own.
	Watch func(pool string) *Attempt
	// IsDraining reports whether this host shuts down. It may be nil.
	IsDraining func() bool
	// OnFailed is called when a target of a pool could not be connected to, OnAnswer with
	// the head of each answer, OnSkipped with each that is not taken as the request's own;
	// Begin when a request arrives, and its result at the end.
	OnFailed  func(pool string)
	OnAnswer  func(target *balance.Target, answer *upstream.Answer)
	OnSkipped func(request string, target *balance.Target, skipped upstream.Skipped)
	Begin     func() (end func())
	// WatchEnd watches an answer without a length whose request was sent at a moment. Nil
	// means that the ends of such answers can't be confirmed.
	WatchEnd func(target *balance.Target, request string, sentAt time.Time) *witness.Watch
	Events   *timeline.Recorder

	running atomic.Int64
	// lag is the average lateness of this host's work in nanoseconds, awakeAt when it was
	// last seen at work, in nanoseconds since 1970.
	lag     atomic.Int64
	awakeAt atomic.Int64
	// pausedUntil is when what came before the last pause has been read, also in
	// nanoseconds since 1970.
	pausedUntil atomic.Int64
}

// Register adds the calls to a server of other hosts' calls.
func (server *Server) Register(mux drpc.Mux) error {
	if err := detourpb.DRPCRegisterDetours(mux, server); err != nil {
		return fmt.Errorf("register detours: %w", err)
	}
	return nil
}

// Run observes how late this host's work is, until the context ends. It returns nil.
func (server *Server) Run(ctx context.Context) error {
	metrics.GetOrCreateGauge("nutmegfield_forwarded_requests", func() float64 { return float64(server.running.Load()) })
	for {
		began := time.Now()
		if server.isOverdue(began) {
			server.pausedUntil.Store(began.Add(afterPause).UnixNano())
		}
		server.awakeAt.Store(began.UnixNano())
		if !pause.For(ctx, lagInterval) {
			return nil
		}
		late := float64(time.Since(began) - lagInterval)
		lag := float64(server.lag.Load())
		server.lag.Store(int64(lag + lagWeight*(late-lag)))
	}
}

// Wait waits until no request of another host is sent any more. It returns an error if the
// context ends first.
func (server *Server) Wait(ctx context.Context) error {
	for server.running.Load() > 0 {
		if !pause.For(ctx, waitInterval) {
			return fmt.Errorf("wait for the requests of other hosts: %w", ctx.Err())
		}
	}
	return nil
}

// Takes reports whether this host sends requests for others at all.
func (server *Server) Takes() bool { return server.IsDraining == nil || !server.IsDraining() }

// WasPaused reports whether this host has not worked for a while, and has not been at work
// again for long.
func (server *Server) WasPaused() bool {
	now := time.Now()
	return server.isOverdue(now) || now.UnixNano() < server.pausedUntil.Load()
}

// isOverdue reports whether this host was last seen at work longer than maxPause ago.
func (server *Server) isOverdue(now time.Time) bool {
	awakeAt := server.awakeAt.Load()
	return awakeAt != 0 && now.UnixNano()-awakeAt > int64(maxPause)
}

// declineReason returns why no request of a rank is taken now, empty if one is.
func (server *Server) declineReason(rank uint32) string {
	limit := int64(maxForwarded * (rankSteps - min(rank, maxSteps)) / rankSteps)
	switch {
	case !server.Takes():
		return "the host shuts down"
	case server.running.Load() > limit:
		return fmt.Sprintf("the host sends %d requests for others", server.running.Load()-1)
	case server.WasPaused():
		return "the host was paused"
	case time.Duration(server.lag.Load()) > maxLag:
		return fmt.Sprintf("the host is %s late", time.Duration(server.lag.Load()).Round(time.Millisecond))
	default:
		return ""
	}
}

// Forward implements the server's side of the Forward call of other hosts.
func (server *Server) Forward(request *detourpb.Request, stream detourpb.DRPCDetours_ForwardStream) error {
	server.running.Add(1)
	defer server.running.Add(-1)
	defer server.Begin()()
	if reason := server.declineReason(request.GetRank()); reason != "" {
		return server.fail(stream, detourpb.Outcome_DECLINED, reason)
	}
	target, isKnown, maySend := server.Target(decodeTarget(request.GetTarget()))
	switch {
	case !isKnown:
		return server.fail(stream, detourpb.Outcome_UNWANTED, "the target is not known")
	case !maySend:
		return server.fail(stream, detourpb.Outcome_UNWANTED, "the target wants no requests")
	case !server.Reaches(target.Pool):
		return server.fail(stream, detourpb.Outcome_DECLINED, "the host reaches no target either")
	}
	server.Events.Record(eventSentForHost, timeline.Event{
		Request: request.GetId(), Pool: target.Pool, Target: target.ID, Peer: request.GetSender(),
		Facts: []timeline.Fact{timeline.Count("forwarded", int(server.running.Load()))},
	})
	sentAt := time.Now()
	watched := server.Watch(target.Pool)
	defer watched.End()
	var verify func(ctx context.Context, openedAt time.Time) error
	if request.GetVerifyStart() && server.Verify != nil {
		verify = func(ctx context.Context, openedAt time.Time) error { return server.Verify(ctx, &target, openedAt) }
	}
	answer, err := server.Connections.Exchange(stream.Context(), target.Address, &upstream.Request{
		Verify: verify,
		Method: request.GetMethod(), Target: request.GetPath(), Host: request.GetHost(), Header: decodeHeader(request.GetHeader()),
		Body: request.GetBody(), ID: request.GetId(), Once: request.GetFreshOnly(),
		MaySend: func() bool {
			_, _, maySend := server.Target(decodeTarget(request.GetTarget()))
			return maySend && !server.WasPaused()
		},
		OnSkipped: func(skipped upstream.Skipped) { server.OnSkipped(request.GetId(), &target, skipped) },
	})
	switch {
	case upstream.Is(err, upstream.Withdrawn):
		return server.fail(stream, detourpb.Outcome_UNWANTED, err.Error())
	case upstream.Is(err, upstream.NotSent):
		server.OnFailed(target.Pool)
		return server.fail(stream, detourpb.Outcome_UNREACHABLE, err.Error())
	case err != nil:
		return server.fail(stream, detourpb.Outcome_UNKNOWN, err.Error())
	}
	defer func() { _ = answer.Body.Close() }()
	watched.Heard()
	server.OnAnswer(&target, answer)
	var watch *witness.Watch
	if answer.Unframed && server.WatchEnd != nil {
		watch = server.WatchEnd(&target, request.GetId(), sentAt)
		defer watch.End()
	}
	return server.passOn(stream, answer, watched, watch)
}

// passOn passes an answer on as it arrives. Watch is that of an answer without a length, nil for
// others.
func (server *Server) passOn(
	stream detourpb.DRPCDetours_ForwardStream, answer *upstream.Answer, watched *Attempt, watch *witness.Watch,
) error {
	head := &detourpb.Reply{
		Status: uint32(answer.Status), Header: encodeHeader(answer.Header), Length: answer.Length, Unframed: answer.Unframed,
	}
	if err := stream.Send(head); err != nil {
		return fmt.Errorf("send the head of an answer: %w", err)
	}
	// The head may be long, and the body may take long.
	answer.Header = nil
	buffer := make([]byte, replyBytes)
	for {
		isDry, waitsSince := watch != nil && answer.Body.IsDry(), time.Now()
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			watched.Heard()
		}
		if n > 0 && isDry {
			watch.Heard(waitsSince)
		}
		reply := &detourpb.Reply{Body: buffer[:n]}
		isComplete := errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
		switch {
		case isComplete:
			reply.End, reply.Confirmed = true, watch != nil && watch.Confirm(stream.Context())
		case err != nil:
			if n > 0 {
				if err := stream.Send(reply); err != nil {
					return fmt.Errorf("send a part of an answer: %w", err)
				}
			}
			return server.fail(stream, detourpb.Outcome_UNKNOWN, err.Error())
		}
		if err := stream.Send(reply); err != nil {
			return fmt.Errorf("send a part of an answer: %w", err)
		}
		if isComplete {
			return nil
		}
	}
}

func (server *Server) fail(stream detourpb.DRPCDetours_ForwardStream, outcome detourpb.Outcome, reason string) error {
	if err := stream.Send(&detourpb.Reply{Outcome: outcome, Reason: reason}); err != nil {
		return fmt.Errorf("send the outcome of a request: %w", err)
	}
	return nil
}

// Check implements the server's side of the Check call of other hosts.
func (server *Server) Check(ctx context.Context, encoded *detourpb.Target) (*detourpb.CheckReply, error) {
	target, isKnown, _ := server.Target(decodeTarget(encoded))
	if !isKnown || !server.Reaches(target.Pool) {
		return &detourpb.CheckReply{Outcome: detourpb.Outcome_DECLINED, Reason: "the host does not reach the target's pool"}, nil
	}
	err := server.Connections.Warm(ctx, target.Address)
	if err == nil {
		return &detourpb.CheckReply{}, nil
	}
	return &detourpb.CheckReply{
		Outcome: detourpb.Outcome_UNREACHABLE, Reason: err.Error(), Refused: errors.Is(err, syscall.ECONNREFUSED),
	}, nil
}

func decodeTarget(target *detourpb.Target) balance.Incarnation {
	return balance.Incarnation{Target: target.GetId(), StartedAt: target.GetStartedMs()}
}
