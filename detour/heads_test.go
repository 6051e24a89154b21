package detour

import (
	"context"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"nutmegfield.example/balance"
	"nutmegfield.example/detour/detourpb"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

// earlierHost replies as a host of an earlier build that takes heads which are none.
type earlierHost struct {
	detourpb.DRPCDetoursUnimplementedServer
	reply *detourpb.Reply
}

func (earlierHost *earlierHost) Forward(_ *detourpb.Request, stream detourpb.DRPCDetours_ForwardStream) error {
	if err := stream.Send(earlierHost.reply); err != nil {
		return err
	}
	return stream.Send(&detourpb.Reply{Body: []byte("ok"), End: true})
}

// TestMalformedHeadsOfOtherHosts guards against answers that another host has read and that are none
// of the protocol.
func TestMalformedHeadsOfOtherHosts(t *testing.T) {
	for _, test := range []struct {
		name   string
		status uint32
		field  *detourpb.Field
		isSent bool
	}{
		{name: "sound", status: 200, isSent: true},
		{name: "status 0"},
		{name: "status 101", status: 101},
		{name: "status 999", status: 999},
		{name: "blank in a name", status: 200, field: &detourpb.Field{Name: "Other Field", Values: []string{"a"}}},
		{name: "blank before the colon", status: 200, field: &detourpb.Field{Name: "Content-Length ", Values: []string{"2"}}},
		{name: "control byte in a value", status: 200, field: &detourpb.Field{Name: "Other", Values: []string{"a\x00b"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fields := []*detourpb.Field{{Name: "Id", Values: []string{"q1"}}}
			if test.field != nil {
				fields = append(fields, test.field)
			}
			mux := drpcmux.New()
			c.Assert(detourpb.DRPCRegisterDetours(mux, &earlierHost{reply: &detourpb.Reply{Status: test.status, Header: fields, Length: 2}}), qt.IsNil)
			client := &Client{
				Host:  "a",
				Hosts: func(string) []Host { return []Host{{ID: "b", Address: "b"}} },
				Dial: func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() { _ = drpcserver.New(mux).ServeOne(c.Context(), far) }()
					return near, nil
				},
				Identify: identify,
				Events:   &timeline.Recorder{},
			}
			answer, err := client.Exchange(c.Context(), &Call{
				Request: &upstream.Request{Method: http.MethodGet, Target: "/", ID: "q1"}, Target: &balance.Target{ID: "t", Pool: "p"},
			})
			if test.isSent {
				c.Assert(err, qt.IsNil)
				c.Assert(answer.Body.Close(), qt.IsNil)
				return
			}
			c.Assert(upstream.Is(err, upstream.Unknown), qt.IsTrue, qt.Commentf("%+v, %v", answer, err))
		})
	}
}
