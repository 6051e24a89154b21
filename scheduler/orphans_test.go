package scheduler

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

// TestOrphans checks that the slot of an entry host's grant is freed only if
// the host is no longer a member and the engine reports that the stream is not
// read or has ended.
func TestOrphans(t *testing.T) {
	unreadTooLong := protocol.MaxResumeTime + time.Second
	for _, test := range []struct {
		name      string
		dead      bool
		streams   []protocol.Stream
		err       error
		cancelled int
		held      int
	}{
		{"alive", false, nil, nil, 0, 1},
		{"alive and unread", false, []protocol.Stream{{Request: request.ID{1}, UnreadSeconds: unreadTooLong.Seconds()}}, nil, 0, 1},
		{"dead and read lately", true, []protocol.Stream{{Request: request.ID{1}, UnreadSeconds: 3}}, nil, 0, 1},
		{"dead and unread", true, []protocol.Stream{{Request: request.ID{1}, UnreadSeconds: unreadTooLong.Seconds()}}, nil, 1, 0},
		{"dead and ended", true, []protocol.Stream{{Request: request.ID{9}, UnreadSeconds: 900}}, nil, 0, 0},
		{"dead and silent engine", true, nil, protocol.Broken.New("down"), 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, _ *string) {
				cancelled := 0
				client := &protocol.Client{
					Streams: func(context.Context, string) ([]protocol.Stream, error) { return test.streams, test.err },
					Cancel: func(_ context.Context, _ string, id request.ID) error {
						qt.Check(t, id, qt.Equals, request.ID{1})
						cancelled++
						return nil
					},
				}
				scheduler.mutex.Lock()
				scheduler.Client = func(string) *protocol.Client { return client }
				if test.dead {
					scheduler.Hosts = func() []string { return []string{"a"} }
				}
				scheduler.mutex.Unlock()
				submit(scheduler, 1)
				time.Sleep(time.Minute)
				qt.Check(t, sentMessages.grantCount(), qt.Equals, 1)
				qt.Check(t, cancelled, qt.Equals, test.cancelled)
				qt.Check(t, scheduler.findPool("orders").GrantsOf("b"), qt.HasLen, test.held)
			})
		})
	}
}
