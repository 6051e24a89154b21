package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"nutmegfield.example/balance"
	"nutmegfield.example/detour"
	"nutmegfield.example/upstream"
)

// exchange sends a request to the target of a grant: over this host's own connections or,
// while it reaches no target of the pool, over another host.
func (forwarding *forwarding) exchange(
	ctx context.Context, grant *balance.Grant, silenceTimer *silenceTimer, request *upstream.Request,
) (*upstream.Answer, error) {
	gateway, pool := forwarding.gateway, grant.Target.Pool
	if gateway.Paths == nil {
		return gateway.Connections.Exchange(ctx, grant.Target.Address, request)
	}
	if !gateway.Paths.Reaches(pool) && len(gateway.Detours.Hosts(pool)) > 0 {
		if request.Verify != nil && !forwarding.goesOn() {
			// The other host would not begin it.
			request.Verify, forwarding.isStartDoubted = nil, true
		}
		return gateway.Detours.Exchange(ctx, &detour.Call{Request: request, Target: &grant.Target, Rank: forwarding.rank})
	}
	silenceTimer.path = gateway.Paths.Begin(pool, silenceTimer.expireEarly)
	answer, err := gateway.Connections.Exchange(ctx, grant.Target.Address, request)
	if upstream.Is(err, upstream.NotSent) && !upstream.Is(err, upstream.Withdrawn) {
		gateway.Paths.Failed(pool)
	}
	return answer, err
}

// forwarders returns the hosts over which requests of a pool can go.
func (host *host) forwarders(pool string) []detour.Host {
	var hosts []detour.Host
	for _, forwarder := range host.exchange.Forwarders() {
		if !slices.Contains(forwarder.Unreached, pool) {
			hosts = append(hosts, detour.Host{ID: forwarder.Host, Address: forwarder.Address, Zone: forwarder.Zone})
		}
	}
	return hosts
}

// checkTarget opens a connection to a target, to see whether it still runs. If this host
// reaches no target of the pool, another host does so.
func (host *host) checkTarget(ctx context.Context, target *balance.Target) error {
	// An own connection to a target out of reach may hang for longer than is waited.
	if host.paths.Reaches(target.Pool) {
		err := host.connectTo(ctx, target)
		if err == nil || host.paths.Confirm(ctx, target.Pool) {
			return err
		}
	}
	checkErr := host.detours.Check(ctx, target)
	if upstream.Is(checkErr, detour.Declined) {
		// Nobody else knows more: this host's own failure is no evidence.
		return errors.Join(errNotReached, checkErr)
	}
	return checkErr
}

// connectTo opens a connection to a target and closes it.
func (host *host) connectTo(ctx context.Context, target *balance.Target) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := host.gateway.Connections.Dial(ctx, "tcp", target.Address)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", target.Address, err)
	}
	// It was only opened to see whether the target accepts it.
	_ = conn.Close()
	return nil
}

// errNotReached means that this host reaches no target of a pool.
var errNotReached = errors.New("this host reaches no target of the pool")
