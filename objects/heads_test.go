package objects_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/head/headtest"
	"nutmegfield.example/objects"
)

// TestMalformedHeads guards against answers of the platform that are none of the protocol and are
// taken for an object or for the success of a write.
func TestMalformedHeads(t *testing.T) {
	for name, text := range headtest.Answers(qt.New(t), "q1", "[]") {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := &objects.Client{
				Address: headtest.Listen(c, text), Timeout: 200 * time.Millisecond, Do: (&http.Client{Transport: objects.NewTransport(nil)}).Do,
			}
			object, err := client.Get(c.Context(), "k", "n")
			c.Check(objects.Is(err, objects.Unavailable), qt.IsTrue, qt.Commentf("%+v, %v", object, err))
			_, err = client.Put(c.Context(), objects.Object{Kind: "k", Name: "n"})
			c.Check(objects.Is(err, objects.AnswerLost), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestAnswersWithoutALength guards against a part of a value that is taken for the whole, as its
// answer has no length and its connection ends before the rest has come.
func TestAnswersWithoutALength(t *testing.T) {
	c := qt.New(t)
	client := &objects.Client{
		Address: headtest.Listen(c, "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\nhalf of"), Timeout: 200 * time.Millisecond,
		Do: (&http.Client{Transport: objects.NewTransport(nil)}).Do,
	}
	object, err := client.Get(c.Context(), "k", "n")
	c.Check(objects.Is(err, objects.Unavailable), qt.IsTrue, qt.Commentf("%q, %v", object.Value, err))
	_, err = client.Put(c.Context(), objects.Object{Kind: "k", Name: "n"})
	c.Check(objects.Is(err, objects.AnswerLost), qt.IsTrue, qt.Commentf("%v", err))
}
