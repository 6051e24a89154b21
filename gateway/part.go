package gateway

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/budget"
	"nutmegfield.example/detour"
	"nutmegfield.example/discovery"
	"nutmegfield.example/exchange"
	"nutmegfield.example/kernel"
	"nutmegfield.example/limit"
	"nutmegfield.example/listener"
	"nutmegfield.example/origin"
	"nutmegfield.example/pause"
	"nutmegfield.example/quarantine"
	"nutmegfield.example/quota"
	"nutmegfield.example/rollout"
	"nutmegfield.example/route"
	"nutmegfield.example/settings"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

const (
	// dialTimeout limits a dial to a target. It is a few times the round trip
	// between zones, with one lost packet sent again after a second.
	dialTimeout = 300 * time.Millisecond
	// closeStaleInterval is the interval at which stale idle connections are closed.
	closeStaleInterval = time.Second
	// headerTimeout limits the time for reading a caller's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller stays open. It is
	// longer than the keep-alive time that configurations promise callers.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the size of the largest header accepted from a caller.
	maxHeaderBytes = 64 << 10
	// watchersPerZone is the number of hosts in a zone that watch the platform
	// for all its hosts; the others poll the platform and also receive the changes
	// that the watchers of other zones observe.
	watchersPerZone = 1
	// snapshotInterval is the shortest time between two snapshot requests to
	// other hosts.
	snapshotInterval = 100 * time.Millisecond
	// startDelay is the average time for which a host that starts waits for the state of
	// others before it asks the platform. Seeds ask at once.
	startDelay = 1200 * time.Millisecond
	// targetsPatience is how long a read of the routes may take to verify the targets.
	targetsPatience = 250 * time.Millisecond
	// maxDatagramBytes is the size of the largest datagram received.
	maxDatagramBytes = 64 << 10
)

func init() {
	kernel.Register(kernel.Plugin{Name: "gateway", Rank: kernel.RankEntry, Role: settings.RoleGateway, New: newPart})
}

// Sources provides the platform's objects that a gateway follows.
type Sources struct {
	// Routes is the source of the configuration object, RoutesName its name.
	Routes       discovery.Source
	RoutesName   string
	DecodeRoutes func(value []byte) (*route.Configuration, error)
	// Targets is the source of the targets' entries.
	Targets      discovery.Source
	DecodeTarget func(name string, value []byte) (balance.Target, error)
	// Marks are those of pools whose targets have several versions.
	Marks origin.Marks
	// Streams are the records of streams that began while their pools had several versions.
	Streams origin.Records
	// Orders is the source of orders to move requests to new versions of targets, OrderStatus
	// has the calls for what became of them.
	Orders      discovery.Source
	DecodeOrder func(object *discovery.Object) (rollout.Order, error)
	OrderStatus rollout.Store
	// Quarantines are the records of quarantined requests.
	Quarantines quarantine.Records
	// Eras are those of the platform; its OnChange is set by the gateway.
	Eras *discovery.Eras
}

// host connects a gateway to the sources of its routes, targets and reports.
type host struct {
	gateway  *Gateway
	balancer *balance.Balancer
	attempts *quarantine.Attempts
	suspects *quarantine.Suspects
	keeper   *quarantine.Keeper
	limiter  *limit.Limiter
	origins  *origin.Origins
	ledger   *quota.Ledger
	// tolerance derives the buckets of the ledger from the workspaces' quotas.
	tolerance quota.Tolerance
	exchange  *exchange.Exchange
	snapshots *exchange.Snapshots
	// paths tells which pools this host reaches, detours sends requests over other hosts
	// and detourServer those of others.
	paths        *detour.Paths
	detours      *detour.Client
	detourServer *detour.Server
	// rollouts are nil if there are none.
	rollouts *rolloutHost
	routes   *discovery.Routes
	targets  *discovery.Targets
	// routeFollower and targetFollower follow the platform's objects.
	routeFollower  *discovery.Follower
	targetFollower *discovery.Follower

	mutex sync.Mutex
	// currentTargets are the last targets received; enginePools marks the pools
	// of model engines.
	currentTargets []balance.Target
	enginePools    map[string]bool
	// maxConnections are the connections that the targets of each pool accept.
	maxConnections map[string]int
	// connectionLimits are those of each address; the map is replaced, never changed.
	connectionLimits atomic.Pointer[map[string]int]
	// longestStream is the longest timeout of the routes for streams, in nanoseconds.
	longestStream atomic.Int64
	// snapshotRequestedAt is when another host was last asked for a snapshot;
	// isFetchingSnapshot is set until it has answered or failed to.
	snapshotRequestedAt time.Time
	isFetchingSnapshot  bool
}

func newPart(kernelHost *kernel.Host) (*kernel.Part, error) {
	protocol, err := kernel.Require[Protocol](kernelHost)
	if err != nil {
		return nil, err
	}
	sources, err := kernel.Require[Sources](kernelHost)
	if err != nil {
		return nil, err
	}
	settings := kernelHost.Settings
	datagrams, err := kernelHost.Network.ListenPacket("udp", settings.Peers.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for reports: %w", err)
	}
	listeners := make([]net.Listener, 4)
	for i, address := range []string{settings.Peers.Listen, settings.Gateway.Ready, settings.Callers.Listen, settings.Operators.Listen} {
		if listeners[i], err = kernelHost.Network.Listen("tcp", address); err != nil {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
	}
	host := newHost(kernelHost, *protocol, sources)
	host.exchange.Send = kernel.DatagramSender(datagrams)
	host.boundListeners(kernelHost, listeners)
	callers := newServer(listeners[2], host.gateway)
	run := func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { kernel.ReceiveDatagrams(datagrams, maxDatagramBytes, host.exchange.Receive) })
		for _, part := range []func(context.Context) error{
			host.balancer.Run, host.targets.Run, host.routeFollower.Run, host.targetFollower.Run, host.closeStaleConnections,
			host.attempts.Run, host.suspects.Run, host.keeper.Run, host.exchange.RunSuspicions,
			host.exchange.RunLimits, host.exchange.RunProbes, host.origins.Run, host.origins.RunRecords, host.origins.RunHistory, host.paths.Run, host.detourServer.Run, host.rollouts.run,
			func(ctx context.Context) error { return host.snapshots.Serve(ctx, listeners[0]) },
			func(ctx context.Context) error {
				return serve(ctx, newServer(listeners[1], listener.Handler(http.HandlerFunc(host.serveReadiness))))
			},
			func(ctx context.Context) error { return serve(ctx, callers) },
			func(ctx context.Context) error {
				return serve(ctx, newServer(listeners[3], host.newOperatorsHandler(kernelHost)))
			},
		} {
			group.Go(func() { host.recordFailure(part(ctx)) })
		}
		host.recordFailure(host.exchange.Run(ctx))
		_ = datagrams.Close()
		group.Wait()
		return nil
	}
	return &kernel.Part{Run: run, Drain: host.gateway.Drain}, nil
}

func newHost(kernelHost *kernel.Host, protocol Protocol, sources *Sources) *host {
	settings := kernelHost.Settings
	events := kernelHost.Events
	host := &host{
		balancer: &balance.Balancer{Zone: settings.Host.Zone},
		ledger:   &quota.Ledger{},
		tolerance: quota.Tolerance{
			Window:  settings.Gateway.Quotas.Window,
			Overage: settings.Gateway.Quotas.Overage,
			Slack:   settings.Gateway.Quotas.Slack,
		},
	}
	host.exchange = &exchange.Exchange{
		Host:           settings.Host.ID,
		Incarnation:    uint64(time.Now().UnixMicro()),
		Address:        settings.Peers.Listen,
		Zone:           settings.Host.Zone,
		Link:           uint32(settings.Peers.Link),
		Seeds:          seedAddresses(&settings.Peers),
		Dial:           kernelHost.Network.Dial,
		Events:         events,
		Balancer:       host.balancer,
		Ledger:         host.ledger,
		Versions:       host.objectVersions,
		OnNewerVersion: host.requestSnapshot,
		OnVerified:     host.confirmVersion,

		OnTargetsVerified: func(verification discovery.Verification) { host.targetFollower.MarkVerified(verification) },
	}
	host.ledger.Interval = host.exchange.Interval
	host.ledger.Incarnation = host.exchange.Incarnation
	host.ledger.ReportsDelayed = host.exchange.UsesSummaries
	host.balancer.ReportsDelayed = host.exchange.UsesSummaries
	host.balancer.PropagationDelay = host.exchange.PropagationDelay
	host.balancer.HostCount = host.exchange.SharingHosts
	host.balancer.HostShare = host.exchange.Share
	host.balancer.ZoneHostCount = host.exchange.ZoneHosts
	host.ledger.ExpectedPeers = host.exchange.KnownPeers
	host.balancer.OnZoneChange = func(zone string, isUnreachable bool) {
		kind := eventZoneReachable
		if isUnreachable {
			kind = eventZoneUnreachable
		}
		events.Record(kind, timeline.Event{Detail: zone})
	}
	host.balancer.OnLeavingLearned = func(target, from string) {
		events.Record(eventLeavingLearned, timeline.Event{Target: target, Peer: from})
	}
	host.snapshots = &exchange.Snapshots{Build: host.buildSnapshot, Dial: kernelHost.Dial}
	host.routes = &discovery.Routes{
		Name:     sources.RoutesName,
		Decode:   sources.DecodeRoutes,
		Events:   events,
		OnChange: host.setRoutes,
	}
	outage := &discovery.Outage{}
	delay := time.Duration(0)
	if !slices.Contains(host.exchange.Seeds, host.exchange.Address) {
		delay = pause.Jitter(startDelay)
	}
	startedAt := time.Now()
	watches := func() bool { return time.Since(startedAt) >= delay && host.exchange.Leads(watchersPerZone) }
	host.routeFollower = &discovery.Follower{
		Outage: outage, Eras: sources.Eras, ShouldWatch: watches, Kind: "routes", Source: sources.Routes, Events: events,
		Hosts: host.exchange.Hosts, Turn: host.exchange.Turn, StartDelay: delay, OnRead: host.checkTargets, OnChange: host.routes.Apply,
		Within: min(settings.Platform.RoutesWithin, settings.Platform.TargetsWithin),
	}
	host.targets = &discovery.Targets{
		Decode: sources.DecodeTarget, Heartbeat: settings.Platform.Heartbeat, Events: events, OnChange: host.setTargets,
	}
	host.targetFollower = &discovery.Follower{
		Outage: outage, Eras: sources.Eras, ShouldWatch: watches, Kind: "targets", Source: sources.Targets, Events: events,
		Hosts: host.exchange.Hosts, Turn: host.exchange.Turn, StartDelay: delay, OnChange: host.targets.Apply,
		Within: settings.Platform.TargetsWithin, Patience: targetsPatience,
	}
	host.suspects = &quarantine.Suspects{Turn: host.exchange.Turn, Events: events}
	host.attempts = &quarantine.Attempts{
		Check: host.checkTarget, CheckTimeout: 3 * dialTimeout, Events: events,
		OnCrash: host.suspects.RecordCrash, OnAnswer: host.suspects.RecordAnswer,
	}
	host.suspects.LastAnswer = host.attempts.LastAnswer
	host.exchange.Suspects = host.suspects
	host.keeper = &quarantine.Keeper{
		Suspects: host.suspects, Records: sources.Quarantines, Events: events,
		Leads: func() bool { return host.exchange.Leads(1) }, IsCutOff: host.exchange.MissesZone,
	}
	sources.Eras.OnChange = host.keeper.Restore
	host.origins = &origin.Origins{
		Members: func() []string { return host.exchange.Members().Others }, Send: host.exchange.SendOrigins,
		Known: host.exchange.KnownPeers, ReadTargets: host.targetFollower.ReadSince, Marks: sources.Marks, Events: events,
		KeepsMarks: func() bool { return host.exchange.Leads(1) }, Turn: host.exchange.Succession, Era: sources.Eras.Current,
		Lives: host.exchange.Lives, FirstStart: settings.Host.FirstStart,
		Records: sources.Streams, Recorder: host.exchange.ZoneLeader, Zone: settings.Host.Zone, Longest: func() time.Duration { return time.Duration(host.longestStream.Load()) },
		ReadsRecords: func() bool { return !host.exchange.UsesSummaries() },
	}
	host.exchange.Origins = host.origins
	host.limiter = &limit.Limiter{
		Address: settings.Peers.Listen, Members: host.exchange.Members, OnUpdate: host.balancer.Dispatch, Events: events,
	}
	host.exchange.Limiter = host.limiter
	host.balancer.Limits = limitCalls(host.limiter)
	host.gateway = &Gateway{
		Protocol: protocol,
		Connections: &upstream.Connections{
			Dial:        kernelHost.Network.Dial,
			DialTimeout: dialTimeout,
			MaxOpen:     host.maxOpenConnections,
			Identify:    identify(protocol),
		},
		Balancer: host.balancer,
		Ledger:   host.ledger,
		Budget: &budget.Budget{
			Ratio:  settings.Gateway.Retries.Ratio,
			Window: settings.Gateway.Retries.Window,
			Spare:  settings.Gateway.Retries.Spare,
			Hosts:  host.exchange.SharingHosts,

			StartedAt: time.Now(),
		},
		Attempts: host.attempts,
		Suspects: host.suspects,
		Limiter:  host.limiter,
		Origins:  host.origins,

		Events:     events,
		Table:      host.routes.Table,
		TargetsAge: func() time.Duration { return time.Since(host.targetFollower.VerifiedAt()) },
		Refresh:    host.refreshRoutes,
		Notice:     settings.Drain.Notice,
	}
	host.gateway.Witnesses = host.gateway.NewWitnesses()
	host.addDetours(kernelHost)
	host.addRollouts(kernelHost, sources, outage)
	return host
}

// addDetours lets requests go over other hosts while this one reaches no target, and sends
// those of others.
func (host *host) addDetours(kernelHost *kernel.Host) {
	gateway := host.gateway
	host.paths = &detour.Paths{
		Connect: gateway.Connections.Warm, ConnectTimeout: dialTimeout, Events: gateway.Events,
		Hosts: func(pool string) int { return len(host.forwarders(pool)) },
		OnUnreached: func(_ string, addresses []string) {
			// They may hang, or be closed already. Requests go over other hosts now.
			for _, address := range addresses {
				gateway.Connections.CloseIdle(address)
			}
		},
	}
	host.detours = &detour.Client{
		Host: host.exchange.Host, Hosts: host.forwarders, Dial: kernelHost.Network.Dial, Events: gateway.Events,
		Identify: gateway.Connections.Identify,
	}
	host.detourServer = &detour.Server{
		Connections: gateway.Connections, Target: host.balancer.Find, Reaches: host.paths.Reaches, Events: gateway.Events,
		Watch:      func(pool string) *detour.Attempt { return host.paths.Begin(pool, func() {}) },
		IsDraining: gateway.draining.Load, OnFailed: host.paths.Failed,
		OnAnswer: func(target *balance.Target, answer *upstream.Answer) {
			reply := gateway.Protocol.ReadReply(answer.Status, answer.Header)
			gateway.observeAnnouncement(target, reply)
			if !reply.Misdirected {
				gateway.Balancer.RecordDuration(target, reply.Load.Duration)
			}
		},
		OnSkipped: gateway.recordSkipped, WatchEnd: gateway.Witnesses.Begin, Verify: gateway.Witnesses.Verify,
		Begin: func() func() {
			gateway.runningRequests.Add(1)
			return func() { gateway.runningRequests.Add(-1) }
		},
	}
	gateway.Witnesses.WasPaused = host.detourServer.WasPaused
	gateway.Paths, gateway.Detours = host.paths, host.detours
	gateway.WaitForwarded = host.detourServer.Wait
	host.snapshots.Register = host.detourServer.Register
	host.exchange.Unreached, host.exchange.Forwards = host.paths.Unreached, host.detourServer.Takes
}

// seedAddresses returns the addresses of the seeds, with SeedPort as the port if it
// is set.
func seedAddresses(peers *settings.Peers) []string {
	var addresses []string
	for _, seed := range peers.Seeds {
		if name, _, err := net.SplitHostPort(seed); err == nil && peers.SeedPort > 0 {
			seed = net.JoinHostPort(name, strconv.Itoa(peers.SeedPort))
		}
		addresses = append(addresses, seed)
	}
	return addresses
}

var (
	eventPartFailed = timeline.Define(timeline.Kind{
		Number: 1105, Name: "part of the gateway failed", Level: timeline.Error,
		Meaning: "A part of the gateway ended with an error while the host was running.",
		Action:  "restart the host; report the error",
	})
	eventZoneUnreachable = timeline.Define(timeline.Kind{
		Number: 1109, Name: "zone unreachable", Level: timeline.Info,
		Meaning: "Several targets of the zone in the detail were unreachable, one after the other; the zone is probed with single requests.",
	})
	eventZoneReachable = timeline.Define(timeline.Kind{
		Number: 1110, Name: "zone reachable again", Level: timeline.Info,
		Meaning: "A target of the zone in the detail, which was assumed to be unreachable, answered.",
	})
)

// recordFailure records the error with which a part of the gateway ended; nil is
// ignored.
func (host *host) recordFailure(err error) {
	if err != nil {
		host.gateway.Events.Record(eventPartFailed, timeline.Event{Detail: err.Error()})
	}
}

func (host *host) closeStaleConnections(ctx context.Context) error {
	ticker := time.NewTicker(closeStaleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			host.gateway.Connections.CloseStale()
		}
	}
}

// setRoutes applies a new routing table to the quota ledger and the balancer.
func (host *host) setRoutes(table *route.Table) {
	limits := map[string]quota.Limit{}
	for _, workspace := range table.Configuration.Workspaces {
		limits[workspace.Name] = host.tolerance.Bucket(quota.Limit{Rate: workspace.Quota.Rate, Burst: workspace.Quota.Burst})
	}
	host.ledger.SetLimits(limits)
	host.longestStream.Store(int64(longestTimeout(table)))
	engines, maxConnections := map[string]bool{}, map[string]int{}
	for _, pool := range table.Configuration.Pools {
		engines[pool.Name] = pool.Engine != nil
		maxConnections[pool.Name] = pool.Connections
	}
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.enginePools, host.maxConnections = engines, maxConnections
	host.updateConnectionLimits()
	host.balancer.SetTargets(host.currentTargets, engines)
}

func (host *host) setTargets(targets []balance.Target) {
	host.attempts.SetTargets(targets)
	host.gateway.Witnesses.SetTargets(targets)
	host.paths.SetTargets(targets)
	host.origins.SetTargets(targets)
	host.rollouts.setTargets(targets)
	host.limiter.SetTargets(limitedTargets(targets))
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.currentTargets = targets
	host.updateConnectionLimits()
	host.balancer.SetTargets(targets, host.enginePools)
}

// updateConnectionLimits computes the connections that each address accepts. The caller
// holds the mutex.
func (host *host) updateConnectionLimits() {
	limits := map[string]int{}
	for i := range host.currentTargets {
		target := &host.currentTargets[i]
		limits[target.Address] = host.maxConnections[target.Pool]
	}
	host.connectionLimits.Store(&limits)
}

// maxOpenConnections returns this host's share of the connections that the target at an
// address accepts from all hosts, 0 for no limit.
func (host *host) maxOpenConnections(address string) int {
	limits := host.connectionLimits.Load()
	if limits == nil || (*limits)[address] <= 0 {
		return 0
	}
	return max(1, (*limits)[address]/host.exchange.SharingHosts())
}

// longestTimeout returns the longest timeout of the routes for streams.
func longestTimeout(table *route.Table) time.Duration {
	longest := time.Duration(0)
	for i := range table.Configuration.Routes {
		if route := &table.Configuration.Routes[i]; route.Streaming {
			longest = max(longest, cmp.Or(route.Timeout, defaultTimeout))
		}
	}
	return cmp.Or(longest, defaultTimeout)
}

// serveReadiness answers readiness checks of the load balancer: 503 while draining,
// without routes or with no room for a connection, else 200.
func (host *host) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if host.gateway.draining.Load() || host.gateway.Table() == nil || host.gateway.Callers.IsFull() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}
