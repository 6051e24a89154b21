package protocol

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/head/headtest"
	"nutmegfield.example/memory"
)

// TestMalformedHeads guards against answers of services and engines that are none of the protocol and
// are taken as one.
func TestMalformedHeads(t *testing.T) {
	for name, text := range headtest.Answers(qt.New(t), "q1", "{}") {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := headtest.Listen(c, text)
			limits := Limits{
				MaxBytes: maxAnswerBytes, MaxControlBytes: maxControlBytes, MaxEventBytes: maxEventBytes, HeaderTimeout: time.Minute,
				SilenceTimeout: answerSilenceTimeout, MaxResumes: 1, Dial: (&net.Dialer{}).DialContext,
				Memory: memory.NewPlan(smallMachineBytes, 4096).Callers,
			}
			answer, err := New("service", limits).Dispatch(c.Context(), address, &Call{Method: http.MethodGet, Path: "/", BeforeSend: func() bool { return true }})
			c.Check(Is(err, Broken, Garbled), qt.IsTrue, qt.Commentf("%+v, %v", answer, err))
			engine := New("engine", limits)
			load, err := engine.Load(c.Context(), address)
			c.Check(err, qt.IsNotNil, qt.Commentf("%+v", load))
			c.Check(engine.Order(c.Context(), address, Order{}), qt.IsNotNil)
		})
	}
}
