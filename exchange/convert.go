package exchange

import (
	"math"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/quota"
)

func encodeUses(uses []balance.Use) []*exchangepb.Use {
	messages := make([]*exchangepb.Use, len(uses))
	for i, use := range uses {
		messages[i] = &exchangepb.Use{
			Target:  use.Target,
			Open:    uint32(max(0, use.InFlight)),
			Backlog: uint32(max(0, use.Backlog)),
		}
	}
	return messages
}

func decodeUses(messages []*exchangepb.Use) []balance.Use {
	uses := make([]balance.Use, len(messages))
	for i, message := range messages {
		uses[i] = balance.Use{
			Target:   message.GetTarget(),
			InFlight: int(message.GetOpen()),
			Backlog:  int(message.GetBacklog()),
		}
	}
	return uses
}

func encodeQueues(queues []balance.Queue) []*exchangepb.Queue {
	messages := make([]*exchangepb.Queue, len(queues))
	for i, queue := range queues {
		messages[i] = &exchangepb.Queue{Pool: queue.Pool}
		for _, waiting := range queue.Waiting {
			messages[i].Waiting = append(messages[i].Waiting, uint32(waiting))
		}
	}
	return messages
}

func decodeQueues(messages []*exchangepb.Queue) []balance.Queue {
	queues := make([]balance.Queue, len(messages))
	for i, message := range messages {
		queues[i].Pool = message.GetPool()
		for _, waiting := range message.GetWaiting() {
			queues[i].Waiting = append(queues[i].Waiting, int(waiting))
		}
	}
	return queues
}

func encodeSpends(spends []quota.Spend) []*exchangepb.Spend {
	messages := make([]*exchangepb.Spend, len(spends))
	for i, spend := range spends {
		messages[i] = &exchangepb.Spend{Workspace: spend.Workspace, Total: spend.Total, Level: spend.Level}
	}
	return messages
}

func decodeSpends(messages []*exchangepb.Spend) []quota.Spend {
	spends := make([]quota.Spend, len(messages))
	for i, message := range messages {
		spends[i] = quota.Spend{Workspace: message.GetWorkspace(), Total: message.GetTotal(), Level: message.GetLevel()}
	}
	return spends
}

func encodeSpeeds(speeds []balance.Speed) []*exchangepb.Speed {
	messages := make([]*exchangepb.Speed, len(speeds))
	for i, speed := range speeds {
		messages[i] = &exchangepb.Speed{
			Target:        speed.Target,
			PerToken:      uint32(min(speed.TimePerToken, math.MaxUint32)),
			EventInterval: uint32(min(speed.EventInterval.Microseconds(), math.MaxUint32)),
		}
	}
	return messages
}

func decodeSpeeds(messages []*exchangepb.Speed) []balance.Speed {
	speeds := make([]balance.Speed, len(messages))
	for i, message := range messages {
		speeds[i] = balance.Speed{
			Target:        message.GetTarget(),
			TimePerToken:  time.Duration(message.GetPerToken()),
			EventInterval: time.Duration(message.GetEventInterval()) * time.Microsecond,
		}
	}
	return speeds
}

func encodeLeaving(incarnations []balance.Incarnation) []*exchangepb.LeavingTarget {
	messages := make([]*exchangepb.LeavingTarget, len(incarnations))
	for i, incarnation := range incarnations {
		messages[i] = &exchangepb.LeavingTarget{Target: incarnation.Target, StartedMs: incarnation.StartedAt}
	}
	return messages
}

func encodeBrittle(pools []balance.BrittlePool) []*exchangepb.BrittlePool {
	messages := make([]*exchangepb.BrittlePool, len(pools))
	for i, pool := range pools {
		messages[i] = &exchangepb.BrittlePool{Pool: pool.Pool, Limit: uint32(pool.Limit)}
	}
	return messages
}

func decodeBrittle(messages []*exchangepb.BrittlePool) []balance.BrittlePool {
	pools := make([]balance.BrittlePool, len(messages))
	for i, message := range messages {
		pools[i] = balance.BrittlePool{Pool: message.GetPool(), Limit: int(message.GetLimit())}
	}
	return pools
}

func decodeLeaving(messages []*exchangepb.LeavingTarget) []balance.Incarnation {
	incarnations := make([]balance.Incarnation, len(messages))
	for i, message := range messages {
		incarnations[i] = balance.Incarnation{Target: message.GetTarget(), StartedAt: message.GetStartedMs()}
	}
	return incarnations
}

// summaryUses returns the uses in a summary. It ignores elements of its parallel
// lists beyond the length of the shortest.
func summaryUses(summary *exchangepb.Summary) []balance.Use {
	count := min(len(summary.GetTargets()), len(summary.GetOpen()), len(summary.GetBacklog()))
	uses := make([]balance.Use, count)
	for i := range uses {
		uses[i] = balance.Use{
			Target:   summary.GetTargets()[i],
			InFlight: int(summary.GetOpen()[i]),
			Backlog:  int(summary.GetBacklog()[i]),
		}
	}
	return uses
}

// memberSpends returns the spends of a member of a summary. It ignores elements of
// the parallel lists beyond the length of the shortest, and invalid indexes.
func memberSpends(summary *exchangepb.Summary, member *exchangepb.Member) []quota.Spend {
	count := min(len(member.GetWorkspaces()), len(member.GetTotals()), len(member.GetLevels()))
	spends := make([]quota.Spend, 0, count)
	for i, index := range member.GetWorkspaces()[:count] {
		if int(index) >= len(summary.GetWorkspaces()) {
			continue
		}
		spends = append(spends, quota.Spend{
			Workspace: summary.GetWorkspaces()[index],
			Total:     member.GetTotals()[i],
			Level:     member.GetLevels()[i],
		})
	}
	return spends
}
