package head

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/head/headtest"
)

// verdict checks a head that comes in pieces of some bytes.
func verdict(text string, piece int) string {
	var checker Checker
	for len(text) > 0 {
		n := min(piece, len(text))
		taken, err := checker.Write([]byte(text[:n]))
		switch {
		case err != nil:
			return "malformed"
		case checker.IsWhole() && taken < len(text):
			return "longer"
		}
		text = text[n:]
	}
	if checker.IsWhole() {
		return "whole"
	}
	return "open"
}

// TestHeads guards against heads that are no answer of the protocol and are taken as one.
func TestHeads(t *testing.T) {
	for _, head := range headtest.Heads(qt.New(t)) {
		t.Run(head.Name, func(t *testing.T) {
			c := qt.New(t)
			for _, piece := range []int{1, 3, 1 << 10} {
				c.Assert(verdict(head.Text, piece), qt.Equals, head.Verdict, qt.Commentf("%d bytes at once", piece))
			}
		})
	}
}

// TestTransport guards against answers with such heads that net/http takes: as the first answer of
// a connection, after another one and after an interim one.
func TestTransport(t *testing.T) {
	const whole, interim = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 100 Continue\r\n\r\n"
	for _, head := range headtest.Heads(qt.New(t)) {
		for name, replies := range map[string][]string{"first": {head.Text}, "second": {whole, head.Text}, "interim": {interim + head.Text}} {
			t.Run(head.Name+"/"+name, func(t *testing.T) {
				c := qt.New(t)
				transport := NewTransport(&http.Transport{DialContext: dialReplies(c, head.Verdict == "open", replies)})
				defer transport.CloseIdleConnections()
				for i := range replies {
					ctx, cancel := context.WithTimeout(c.Context(), time.Second)
					defer cancel()
					request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h/", http.NoBody)
					c.Assert(err, qt.IsNil)
					response, err := transport.RoundTrip(request)
					if i == len(replies)-1 && head.Verdict != "whole" {
						c.Assert(err, qt.IsNotNil, qt.Commentf("%+v", response))
						c.Assert(ctx.Err(), qt.IsNil)
						return
					}
					c.Assert(err, qt.IsNil)
					body, err := io.ReadAll(response.Body)
					c.Assert(err, qt.IsNil)
					c.Assert(string(body), qt.Equals, "ok")
					c.Assert(response.Body.Close(), qt.IsNil)
				}
			})
		}
	}
}

// TestTransportOverTLS checks that answers are read, and checked, behind TLS.
func TestTransportOverTLS(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/" {
			_, _ = io.WriteString(writer, "ok")
			return
		}
		conn, _, err := http.NewResponseController(writer).Hijack()
		c.Check(err, qt.IsNil)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nno")
		_ = conn.Close()
	}))
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	client := &http.Client{Transport: NewTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}})}
	defer client.CloseIdleConnections()
	for range 2 {
		response, err := client.Get(server.URL)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Assert(string(body), qt.Equals, "ok")
	}
	_, err := client.Get(server.URL + "/malformed")
	c.Assert(Is(err, Malformed), qt.IsTrue, qt.Commentf("%v", err))
}

// dialReplies returns a function that opens a connection to a server which answers with replies,
// the last one with a body unless it is open, and then closes the connection.
func dialReplies(c *qt.C, isOpen bool, replies []string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			reader := bufio.NewReader(far)
			for i, reply := range replies {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				if i == len(replies)-1 && !isOpen {
					reply += "ok"
				}
				_, _ = io.WriteString(far, reply)
			}
		}()
		c.Cleanup(func() { _ = near.Close() })
		return near, nil
	}
}

// FuzzChecker looks for heads that the checker takes and net/http reads otherwise: with another
// status or end, with fields that the protocol doesn't allow, or with a body of another length.
func FuzzChecker(f *testing.F) {
	for _, head := range headtest.Heads(qt.New(f)) {
		f.Add([]byte(head.Text), uint8(3))
	}
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		c := qt.New(t)
		var checker Checker
		n, err := checker.Write(text)
		c.Assert(verdict(string(text), 1+int(piece)) == "malformed", qt.Equals, err != nil)
		if err != nil || !checker.IsWhole() {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(text))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		c.Assert(response.StatusCode, qt.Equals, checker.Status())
		c.Assert(reader.Buffered() <= len(text)-n, qt.IsTrue)
		c.Assert(CheckRead(max(response.StatusCode, http.StatusOK), response.Header), qt.IsNil)
		c.Assert(len(response.TransferEncoding) > 0, qt.Equals, checker.isChunked)
		hasBody := response.StatusCode >= http.StatusOK && response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified
		if hasBody && checker.contentLength != "" {
			c.Assert(strings.TrimLeft(checker.contentLength, "0"), qt.Equals, strings.TrimLeft(strconv.FormatInt(response.ContentLength, 10), "0"))
		}
		if hasBody && !checker.isChunked && checker.contentLength == "" {
			c.Assert(response.ContentLength, qt.Equals, int64(-1))
		}
	})
}

func BenchmarkChecker(b *testing.B) {
	text := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest: 9c41d07be2a35f68\r\nSeal: 3e1b.07.5a2.600.0.c9f2a4d1.600.07.5a2.600\r\n" +
		"Load: 3,0,8 of 14\r\nKeep-Alive: timeout=8\r\nDate: Mon, 07 Dec 2026 00:58:26 GMT\r\nTransfer-Encoding: chunked\r\n\r\n")
	for b.Loop() {
		var checker Checker
		if _, err := checker.Write(text); err != nil || !checker.IsWhole() {
			b.Fatal(err)
		}
	}
}

// TestAnswerBeforeItsRequest guards against an answer that came before its request was written, behind
// the one to the request before: net/http may have read it by then.
func TestAnswerBeforeItsRequest(t *testing.T) {
	c := qt.New(t)
	const own, other = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					if _, err := io.WriteString(conn, own+other); err != nil {
						return
					}
				}
			}()
		}
	}()
	transport := NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	taken := 0
	for range 2000 {
		request, err := http.NewRequestWithContext(c.Context(), http.MethodPost, "http://"+listener.Addr().String()+"/", http.NoBody)
		c.Assert(err, qt.IsNil)
		response, err := transport.RoundTrip(request)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		c.Assert(response.Body.Close(), qt.IsNil)
		if err == nil && string(body) != "ok" {
			taken++
		}
	}
	c.Assert(taken, qt.Equals, 0)
}
