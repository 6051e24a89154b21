package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/policy"
	"nutmegfield.example/pool"
	"nutmegfield.example/request"
)

// even is an engine at even speed: 1000 tokens of prompt take 100 ms, a token
// of output 10 ms. Three in four prompts are cached though nobody knew, and
// one in eight answers is ten times as long as foreseen.
type even struct {
	pool    *pool.Pool
	number  int
	running []*evenAnswer
}

type evenAnswer struct {
	grant request.Grant
	at    time.Time
	first time.Duration
	told  bool
	usage request.Usage
}

func (even *even) granted(_ string, grant request.Grant) {
	answer := &evenAnswer{grant: grant, at: time.Now(), first: 10 * time.Millisecond}
	answer.usage = request.Usage{PromptTokens: 4000, CachedTokens: 3900, OutputTokens: 41}
	if even.number%4 == 0 {
		answer.usage.CachedTokens = 0
		answer.first = 400 * time.Millisecond
	}
	if even.number%8 == 0 {
		answer.usage.OutputTokens = 401
	}
	even.number++
	even.running = append(even.running, answer)
}

func (even *even) step() {
	var running, ended []*evenAnswer
	for _, answer := range even.running {
		total := answer.first + time.Duration(answer.usage.OutputTokens-1)*10*time.Millisecond
		if time.Since(answer.at) >= total {
			ended = append(ended, answer)
			continue
		}
		running = append(running, answer)
	}
	even.running = running
	for _, answer := range append(ended, running...) {
		if !answer.told && time.Since(answer.at) >= answer.first {
			answer.told = true
			even.pool.Progress(request.Progress{Ticket: answer.grant.Ticket, Number: answer.grant.Number, FirstToken: answer.first})
		}
	}
	for _, answer := range ended {
		even.pool.Release(request.Release{
			Ticket: answer.grant.Ticket, Number: answer.grant.Number, End: request.EndDone, Usage: answer.usage,
			FirstToken: answer.first, Total: answer.first + time.Duration(answer.usage.OutputTokens-1)*10*time.Millisecond,
		})
	}
	even.pool.Tick()
	for even.pool.Waiting() < 8 {
		even.pool.Submit(&request.Ticket{
			ID: request.NewID(), Round: 1, Deadline: time.Now().Add(time.Hour),
			Size: request.Size{PromptTokens: 4000, OutputTokens: 40},
		})
	}
}

// TestEvenEngineKeepsSlots lets no wrong guess of what is cached and no long
// answer pass for a slow engine.
func TestEvenEngineKeepsSlots(t *testing.T) {
	const slots = 8
	synctest.Test(t, func(t *testing.T) {
		even := &even{}
		even.pool = &pool.Pool{
			Policy:  policy.New("leastReported", 1),
			SendGrant: even.granted,
			SendRefusal: func(string, request.Refusal) {},
		}
		even.pool.Start()
		even.pool.Configure(pool.Configuration{MaxWaiting: 100, Targets: []pool.Target{{Name: "a", Slots: slots}}})
		for step := range 600 {
			even.step()
			qt.Assert(t, even.running, qt.HasLen, slots, qt.Commentf("step %d", step))
			time.Sleep(50 * time.Millisecond)
		}
	})
}
