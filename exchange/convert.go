package exchange

import (
	"math"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/quota"
)

func usesOut(uses []balance.Use) []*exchangepb.Use {
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

func usesIn(messages []*exchangepb.Use) []balance.Use {
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

func queuesOut(queues []balance.Queue) []*exchangepb.Queue {
	messages := make([]*exchangepb.Queue, len(queues))
	for i, queue := range queues {
		messages[i] = &exchangepb.Queue{Pool: queue.Pool}
		for _, waiting := range queue.Waiting {
			messages[i].Waiting = append(messages[i].Waiting, uint32(waiting))
		}
	}
	return messages
}

func queuesIn(messages []*exchangepb.Queue) []balance.Queue {
	queues := make([]balance.Queue, len(messages))
	for i, message := range messages {
		queues[i].Pool = message.GetPool()
		for _, waiting := range message.GetWaiting() {
			queues[i].Waiting = append(queues[i].Waiting, int(waiting))
		}
	}
	return queues
}

func spendsOut(spends []quota.Spend) []*exchangepb.Spend {
	messages := make([]*exchangepb.Spend, len(spends))
	for i, spend := range spends {
		messages[i] = &exchangepb.Spend{Workspace: spend.Workspace, Total: spend.Total, Level: spend.Level}
	}
	return messages
}

func spendsIn(messages []*exchangepb.Spend) []quota.Spend {
	spends := make([]quota.Spend, len(messages))
	for i, message := range messages {
		spends[i] = quota.Spend{Workspace: message.GetWorkspace(), Total: message.GetTotal(), Level: message.GetLevel()}
	}
	return spends
}

func speedsOut(speeds []balance.Speed) []*exchangepb.Speed {
	messages := make([]*exchangepb.Speed, len(speeds))
	for i, speed := range speeds {
		messages[i] = &exchangepb.Speed{Target: speed.Target, PerToken: uint32(min(speed.TimePerToken, math.MaxUint32))}
	}
	return messages
}

func speedsIn(messages []*exchangepb.Speed) []balance.Speed {
	speeds := make([]balance.Speed, len(messages))
	for i, message := range messages {
		speeds[i] = balance.Speed{Target: message.GetTarget(), TimePerToken: time.Duration(message.GetPerToken())}
	}
	return speeds
}

// summaryUses returns the sums of a summary, as far as its lists agree.
func summaryUses(summary *exchangepb.Summary) []balance.Use {
	known := min(len(summary.GetTargets()), len(summary.GetOpen()), len(summary.GetBacklog()))
	uses := make([]balance.Use, known)
	for i := range uses {
		uses[i] = balance.Use{
			Target:   summary.GetTargets()[i],
			InFlight: int(summary.GetOpen()[i]),
			Backlog:  int(summary.GetBacklog()[i]),
		}
	}
	return uses
}

// memberSpends returns what a member of a summary spent, as far as the lists
// agree.
func memberSpends(summary *exchangepb.Summary, member *exchangepb.Member) []quota.Spend {
	known := min(len(member.GetWorkspaces()), len(member.GetTotals()), len(member.GetLevels()))
	spends := make([]quota.Spend, 0, known)
	for i, place := range member.GetWorkspaces()[:known] {
		if int(place) >= len(summary.GetWorkspaces()) {
			continue
		}
		spends = append(spends, quota.Spend{
			Workspace: summary.GetWorkspaces()[place],
			Total:     member.GetTotals()[i],
			Level:     member.GetLevels()[i],
		})
	}
	return spends
}
