package objects_test

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/objects"
	"nutmegfield.example/standin"
)

// TestUnreadableElements guards against one element of a list, or one version, for which the
// others are not read, now or later.
func TestUnreadableElements(t *testing.T) {
	c := qt.New(t)
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	odd := []string{
		"null", "5", `"x"`, deep, `{"other":` + deep + `,"kind":"k","name":"o","version":1}`, `{"kind":"k","name":"o","version":"1"}`,
		`{"kind":"k","name":"o","version":9223372036854775807}`, `{"kind":"k","name":"o","version":99999999999999999999}`, `{"kind":"k","name":"o","version":-1}`,
		`{"kind":"k","name":"o","version":1,"value":5}`, "\xff", `{"id":5}`, `{"id":"h","address":{}}`, `{"id":"` + strings.Repeat("h", 1000) + `","address":"x"}`,
	}
	list := func(good ...string) string {
		return "[" + good[0] + "," + strings.Join(odd, ",") + "," + good[1] + "]"
	}
	etag := ""
	client := &objects.Client{Address: "http://platform", Timeout: 2 * time.Second, Do: doInProcess(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case request.URL.Path == "/hosts":
			_, _ = io.WriteString(writer, list(`{"id":"a","address":"x","zone":"z"}`, `{"id":"b","address":"y"}`))
		case strings.Count(request.URL.Path, "/") == 2:
			_, _ = io.WriteString(writer, list(`{"kind":"k","name":"a","version":1,"value":"QQ=="}`, `{"kind":"k","name":"o","version":2,"value":"Qg=="}`))
		default:
			writer.Header().Set("ETag", etag)
		}
	}))}
	hosts, err := client.Hosts(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(hosts, qt.DeepEquals, []objects.ListedHost{{ID: "a", Address: "x", Zone: "z"}, {ID: "b", Address: "y"}})
	for range 2 {
		found, err := client.List(t.Context(), "k")
		c.Assert(err, qt.IsNil)
		c.Check(found, qt.DeepEquals, []objects.Object{{Kind: "k", Name: "a", Version: 1, Value: []byte("A")}, {Kind: "k", Name: "o", Version: 2, Value: []byte("B")}})
	}
	for _, etag = range []string{`"9223372036854775807"`, `"99999999999999999999"`, `"-1"`, fmt.Sprint(uint64(math.MaxUint64))} {
		_, err = client.Get(t.Context(), "k", "n")
		c.Check(objects.Is(err, objects.Refused), qt.IsTrue, qt.Commentf("%s: %v", etag, err))
		_, err = client.Put(t.Context(), objects.Object{Kind: "k", Name: "n"})
		c.Check(objects.Is(err, objects.AnswerLost), qt.IsTrue, qt.Commentf("%s: %v", etag, err))
		_, _, err = client.Watch(t.Context(), "k", "n", 1, time.Second)
		c.Check(objects.Is(err, objects.Refused), qt.IsTrue, qt.Commentf("%s: %v", etag, err))
	}
	etag = `"7"`
	object, err := client.Get(t.Context(), "k", "n")
	c.Assert(err, qt.IsNil)
	c.Check(object.Version, qt.Equals, int64(7))
}

// TestAbsurdLease guards against a lease that is held up for ever without an event, or whose
// fencing number overflows.
func TestAbsurdLease(t *testing.T) {
	for _, value := range []string{
		`{"holder":"x","zone":"a","number":1,"term":9223372036854775807}`, `{"holder":"x","zone":"a","number":1,"term":-1}`,
		`{"holder":"x","zone":"a","number":9223372036854775807,"term":1,"released":true}`, `{"holder":"x","zone":"a","number":-9223372036854775808,"released":true}`,
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			leaseTest := &leaseTest{c: c, standin: &standin.Platform{}}
			_, err := leaseTest.standin.Put(t.Context(), objects.Object{Kind: objects.LeaseKind, Name: "orders-a", Value: []byte(value)})
			c.Assert(err, qt.IsNil)
			candidate := leaseTest.start("a1")
			time.Sleep(time.Minute)
			c.Check(candidate.events.Events(), qt.HasLen, 1)
			_, err = candidate.lease.Check()
			c.Check(objects.Is(err, objects.NotHeld), qt.IsTrue)
			c.Check(leaseTest.highestNumber >= 0, qt.IsTrue)
			candidate.stop()
			leaseTest.group.Wait()
		})
	}
}
