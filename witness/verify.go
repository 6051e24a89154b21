package witness

import (
	"context"
	"errors"
	"fmt"
	"time"

	"nutmegfield.example/balance"
)

var (
	errNamesNoStart = errors.New("the target does not name its start")
	errOtherStart   = errors.New("another target, or another start of it, answers at the address")
)

// Verify returns an error unless a connection to the address of a target that was opened at a time
// leads to the start of the target that its entry names. The entry may be old while the platform is
// away. It does if that very start answers later: it was there when the connection was accepted.
func (witnesses *Witnesses) Verify(ctx context.Context, target *balance.Target, openedAt time.Time) error {
	question := witnesses.Question(target)
	if question == nil {
		return nil
	}
	witnesses.mutex.Lock()
	verifiedAt := witnesses.verified[target.Incarnation()]
	witnesses.mutex.Unlock()
	if verifiedAt.After(openedAt) {
		return nil
	}
	askedAt := time.Now()
	identity, err := witnesses.askAnew(ctx, target, question)
	switch {
	case err != nil:
		return err
	case identity.Misdirected, identity.Target != "" && identity.Target != target.ID:
		return errOtherStart
	case identity.StartedAt.UnixMilli() <= 0:
		return errNamesNoStart
	case !identity.StartedAt.Equal(target.StartedAt):
		return errOtherStart
	}
	witnesses.mutex.Lock()
	defer witnesses.mutex.Unlock()
	if witnesses.verified == nil {
		witnesses.verified = map[balance.Incarnation]time.Time{}
	}
	if len(witnesses.verified) < maxTargets {
		witnesses.verified[target.Incarnation()] = askedAt
	}
	return nil
}

// askAnew asks a target over an idle connection, or over a new one if that brings nothing.
func (witnesses *Witnesses) askAnew(ctx context.Context, target *balance.Target, question Question) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, secondTime)
	defer cancel()
	tracked := &trackedTarget{Target: *target}
	if connection := witnesses.Connections.Reserve(target.Address, time.Now()); connection != nil {
		if identity, err := witnesses.askOver(ctx, tracked, question, connection); err == nil {
			connection.Release()
			return identity, nil
		}
	}
	connection, err := witnesses.Connections.Open(ctx, target.Address)
	if err != nil {
		return Identity{}, fmt.Errorf("ask the target %s: %w", target.ID, err)
	}
	identity, err := witnesses.askOver(ctx, tracked, question, connection)
	if err == nil {
		connection.Release()
	}
	return identity, err
}
