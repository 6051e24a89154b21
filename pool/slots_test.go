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

// steadyEngine simulates an engine of constant speed: 1000 prompt tokens take
// 100 ms, an output token 10 ms. Three in four prompts are cached although the
// pool estimates that they aren't, and one in eight answers is ten times as
// long as estimated.
type steadyEngine struct {
	pool        *pool.Pool
	answerCount int
	running     []*runningAnswer
}

type runningAnswer struct {
	grant        request.Grant
	grantedAt    time.Time
	firstToken   time.Duration
	progressSent bool
	usage        request.Usage
}

func (steadyEngine *steadyEngine) startAnswer(_ string, grant request.Grant) {
	answer := &runningAnswer{grant: grant, grantedAt: time.Now(), firstToken: 10 * time.Millisecond}
	answer.usage = request.Usage{PromptTokens: 4000, CachedTokens: 3900, OutputTokens: 41}
	if steadyEngine.answerCount%4 == 0 {
		answer.usage.CachedTokens = 0
		answer.firstToken = 400 * time.Millisecond
	}
	if steadyEngine.answerCount%8 == 0 {
		answer.usage.OutputTokens = 401
	}
	steadyEngine.answerCount++
	steadyEngine.running = append(steadyEngine.running, answer)
}

func (steadyEngine *steadyEngine) advance() {
	var running, ended []*runningAnswer
	for _, answer := range steadyEngine.running {
		total := answer.firstToken + time.Duration(answer.usage.OutputTokens-1)*10*time.Millisecond
		if time.Since(answer.grantedAt) >= total {
			ended = append(ended, answer)
			continue
		}
		running = append(running, answer)
	}
	steadyEngine.running = running
	for _, answer := range append(ended, running...) {
		if !answer.progressSent && time.Since(answer.grantedAt) >= answer.firstToken {
			answer.progressSent = true
			steadyEngine.pool.Progress(request.Progress{Ticket: answer.grant.Ticket, Number: answer.grant.Number, FirstToken: answer.firstToken})
		}
	}
	for _, answer := range ended {
		steadyEngine.pool.Release(request.Release{
			Ticket: answer.grant.Ticket, Number: answer.grant.Number, End: request.EndDone, Usage: answer.usage,
			FirstToken: answer.firstToken, Total: answer.firstToken + time.Duration(answer.usage.OutputTokens-1)*10*time.Millisecond,
		})
	}
	steadyEngine.pool.Tick()
	for steadyEngine.pool.Waiting() < 8 {
		steadyEngine.pool.Submit(&request.Ticket{
			ID: request.NewID(), Round: 1, Deadline: time.Now().Add(time.Hour),
			Size: request.Size{PromptTokens: 4000, OutputTokens: 40},
		})
	}
}

// TestSteadyEngineKeepsSlots guards against reducing the slots of an engine of
// constant speed because of wrong cache estimates or single long answers.
func TestSteadyEngineKeepsSlots(t *testing.T) {
	const slots = 8
	synctest.Test(t, func(t *testing.T) {
		steadyEngine := &steadyEngine{}
		steadyEngine.pool = &pool.Pool{
			Policy:      policy.New("leastReported", 1),
			SendGrant:   steadyEngine.startAnswer,
			SendRefusal: func(string, request.Refusal) {},
		}
		steadyEngine.pool.Start()
		steadyEngine.pool.Configure(pool.Configuration{MaxWaiting: 100, Targets: []pool.Target{{Name: "a", Slots: slots}}})
		for step := range 600 {
			steadyEngine.advance()
			qt.Assert(t, steadyEngine.running, qt.HasLen, slots, qt.Commentf("step %d", step))
			time.Sleep(50 * time.Millisecond)
		}
	})
}
