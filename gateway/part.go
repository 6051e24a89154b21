package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/budget"
	"nutmegfield.example/discovery"
	"nutmegfield.example/exchange"
	"nutmegfield.example/kernel"
	"nutmegfield.example/operator"
	"nutmegfield.example/quota"
	"nutmegfield.example/route"
	"nutmegfield.example/settings"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

const (
	// dialTimeout bounds a dial to a target: a few times the round trip
	// between zones, with one lost packet sent again after a second.
	dialTimeout = 300 * time.Millisecond
	// trimInterval is the time between two looks at idle connections.
	trimInterval = time.Second
	// headerTimeout bounds the reading of a caller's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection without a request stays
	// open: above what configurations promise callers.
	idleTimeout = 2 * time.Minute
	// headerBytes is the largest header of a caller.
	headerBytes = 64 << 10
	// watchers is how many hosts of a zone watch the platform for all of it; the
	// others read it now and then, and hear of what other zones' watchers see.
	watchers = 1
	// askInterval is the time between two questions to other hosts for what
	// they know.
	askInterval = 100 * time.Millisecond
	// datagramBytes is the longest datagram taken.
	datagramBytes = 64 << 10
)

func init() {
	kernel.Register(kernel.Plugin{Name: "gateway", Rank: kernel.RankEntry, Role: settings.RoleGateway, New: newPart})
}

// Sources is where a gateway learns its routes and targets.
type Sources struct {
	// Routes follows the kind of object that holds the routes, under a name.
	Routes       discovery.Source
	RoutesName   string
	DecodeRoutes func(value []byte) (*route.Configuration, error)
	// Targets follows the entries of targets.
	Targets      discovery.Source
	DecodeTarget func(name string, value []byte) (balance.Target, error)
}

// host is a gateway and what feeds it.
type host struct {
	gateway   *Gateway
	balancer  *balance.Balancer
	ledger    *quota.Ledger
	tolerance quota.Tolerance
	exchange  *exchange.Exchange
	snapshots *exchange.Snapshots
	routes    *discovery.Routes
	targets   *discovery.Targets
	// routeFollower and targetFollower keep the platform's objects.
	routeFollower  *discovery.Follower
	targetFollower *discovery.Follower

	mutex sync.Mutex
	// known are the targets last told, engines the pools of model engines.
	known   []balance.Target
	engines map[string]bool
	// asked is when another host was last asked for its snapshot.
	asked time.Time
}

func newPart(kernelHost *kernel.Host) (*kernel.Part, error) {
	protocol, err := kernel.Need[Protocol](kernelHost)
	if err != nil {
		return nil, err
	}
	sources, err := kernel.Need[Sources](kernelHost)
	if err != nil {
		return nil, err
	}
	given := kernelHost.Settings
	datagrams, err := kernelHost.Network.ListenPacket("udp", given.Peers.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for reports: %w", err)
	}
	listeners := make([]net.Listener, 4)
	for i, address := range []string{given.Peers.Listen, given.Gateway.Ready, given.Callers.Listen, given.Operators.Listen} {
		if listeners[i], err = kernelHost.Network.Listen("tcp", address); err != nil {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
	}
	host := newHost(kernelHost, *protocol, sources)
	host.exchange.Send = kernel.Sender(datagrams)
	callers := newServer(listeners[2], host.gateway)
	host.gateway.Shutdown = callers.Shutdown
	run := func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { kernel.Receive(datagrams, datagramBytes, host.exchange.Receive) })
		for _, part := range []func(context.Context) error{
			host.balancer.Run, host.targets.Run, host.routeFollower.Run, host.targetFollower.Run, host.trim,
			func(ctx context.Context) error { return host.snapshots.Serve(ctx, listeners[0]) },
			func(ctx context.Context) error {
				return serve(ctx, newServer(listeners[1], http.HandlerFunc(host.ready)))
			},
			func(ctx context.Context) error { return serve(ctx, callers) },
			func(ctx context.Context) error {
				return serve(ctx, newServer(listeners[3], operator.Pages(kernelHost.Events)))
			},
		} {
			group.Go(func() { host.record(part(ctx)) })
		}
		host.record(host.exchange.Run(ctx))
		_ = datagrams.Close()
		group.Wait()
		return nil
	}
	return &kernel.Part{Run: run, Drain: host.gateway.Drain}, nil
}

func newHost(kernelHost *kernel.Host, protocol Protocol, sources *Sources) *host {
	given := kernelHost.Settings
	events := kernelHost.Events
	host := &host{
		balancer: &balance.Balancer{Zone: given.Host.Zone},
		ledger:   &quota.Ledger{},
		tolerance: quota.Tolerance{
			Window:  given.Gateway.Quotas.Window,
			Overage: given.Gateway.Quotas.Overage,
			Slack:   given.Gateway.Quotas.Slack,
		},
	}
	host.exchange = &exchange.Exchange{
		Host:           given.Host.ID,
		Incarnation:    uint64(time.Now().UnixMicro()),
		Address:        given.Peers.Listen,
		Zone:           given.Host.Zone,
		Link:           uint32(given.Peers.Link),
		Seeds:          seeds(&given.Peers),
		Events:         events,
		Balancer:       host.balancer,
		Ledger:         host.ledger,
		Versions:       host.knowledge,
		OnNewerVersion: host.newer,
		OnVerified:     host.verify,
	}
	host.ledger.Interval = host.exchange.Interval
	host.ledger.ReportsDelayed = host.exchange.UsesSummaries
	host.balancer.ReportsDelayed = host.exchange.UsesSummaries
	host.balancer.PropagationDelay = host.exchange.PropagationDelay
	host.balancer.HostCount = func() int { return 1 + host.exchange.KnownPeers() }
	host.ledger.ExpectedPeers = host.exchange.KnownPeers
	host.balancer.OnZoneChange = func(zone string, cut bool) {
		kind := eventZoneReached
		if cut {
			kind = eventZoneCut
		}
		events.Record(kind, timeline.Event{Detail: zone})
	}
	host.snapshots = &exchange.Snapshots{Build: host.snapshot, Dial: kernelHost.Dial}
	host.routes = &discovery.Routes{
		Name:   sources.RoutesName,
		Decode: sources.DecodeRoutes,
		Events: events,
		Set:    host.setRoutes,
	}
	outage := &discovery.Outage{}
	watches := func() bool { return host.exchange.Leads(watchers) }
	host.routeFollower = &discovery.Follower{
		Outage: outage, Watches: watches, Kind: "routes", Source: sources.Routes, Events: events, Hosts: host.exchange.Hosts, Apply: host.routes.Apply,
	}
	host.targets = &discovery.Targets{Decode: sources.DecodeTarget, Events: events, Set: host.setTargets}
	host.targetFollower = &discovery.Follower{
		Outage: outage, Watches: watches, Kind: "targets", Source: sources.Targets, Events: events, Hosts: host.exchange.Hosts, Apply: host.targets.Apply,
	}
	host.gateway = &Gateway{
		Protocol: protocol,
		Connections: &upstream.Connections{
			Dial:        kernelHost.Network.Dial,
			DialTimeout: dialTimeout,
			Own:         owner(protocol),
		},
		Balancer: host.balancer,
		Ledger:   host.ledger,
		Budget: &budget.Budget{
			Ratio:  given.Gateway.Retries.Ratio,
			Window: given.Gateway.Retries.Window,
			Spare:  given.Gateway.Retries.Spare,
			Hosts:  host.exchange.Hosts,
		},
		Events:  events,
		Table:   host.routes.Table,
		Refresh: host.routeFollower.Refresh,
		Notice:  given.Drain.Notice,
	}
	return host
}

// owner tells answers apart by the id that targets repeat. A target that did
// not run a request may not say its id.
func owner(protocol Protocol) func(*upstream.Request, *http.Response) bool {
	return func(request *upstream.Request, response *http.Response) bool {
		reply := protocol.Reply(response.StatusCode, response.Header)
		return reply.ID == request.ID || reply.ID == "" && reply.NotRun
	}
}

func seeds(peers *settings.Peers) []string {
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
		Meaning: "A part of the gateway ended with an error while the host runs.",
		Action:  "restart the host; report the error",
	})
	eventZoneCut = timeline.Define(timeline.Kind{
		Number: 1109, Name: "zone cut off", Level: timeline.Info,
		Meaning: "No target of the zone in the detail could be reached, several one after the other; it is tried with a request now and then.",
	})
	eventZoneReached = timeline.Define(timeline.Kind{
		Number: 1110, Name: "zone reached again", Level: timeline.Info,
		Meaning: "A target of the zone in the detail, which was held to be cut off, answered.",
	})
)

func (host *host) record(err error) {
	if err != nil {
		host.gateway.Events.Record(eventPartFailed, timeline.Event{Detail: err.Error()})
	}
}

func (host *host) trim(ctx context.Context) error {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			host.gateway.Connections.Trim()
		}
	}
}

// setRoutes puts new routes in force.
func (host *host) setRoutes(table *route.Table) {
	limits := map[string]quota.Limit{}
	for _, workspace := range table.Configuration.Workspaces {
		limits[workspace.Name] = host.tolerance.Bucket(quota.Limit{Rate: workspace.Quota.Rate, Burst: workspace.Quota.Burst})
	}
	host.ledger.SetLimits(limits)
	engines := map[string]bool{}
	for _, pool := range table.Configuration.Pools {
		engines[pool.Name] = pool.Engine != nil
	}
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.engines = engines
	host.balancer.SetTargets(host.known, engines)
}

func (host *host) setTargets(targets []balance.Target) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.known = targets
	host.balancer.SetTargets(targets, host.engines)
}

// ready answers the balancer.
func (host *host) ready(writer http.ResponseWriter, _ *http.Request) {
	if host.gateway.leaving.Load() || host.gateway.Table() == nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}
