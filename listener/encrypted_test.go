package listener

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/memory"
)

// encryptedFixture is a fixture whose listener uses TLS.
type encryptedFixture struct {
	*fixture
	client *tls.Config
}

func newEncryptedFixture(t *testing.T, writeTimeout time.Duration) *encryptedFixture {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	client := certified.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	client.ServerName = "example.com"
	server := &tls.Config{Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS12}
	return &encryptedFixture{client: client, fixture: newFixture(t, func(listener *Listener) {
		listener.Socket, listener.Listener = listener.Listener, tls.NewListener(listener.Listener, server)
		listener.WriteTimeout = writeTimeout
		listener.Limits = func() Limits { return Limits{HeaderBytes: 16 << 10} }
		listener.Problem = func(int) (string, string) { return "X-Outcome: notRun\r\n", "refused" }
	})}
}

// ask sends a text over a new connection and returns the answer.
func (fixture *encryptedFixture) ask(text string) (status int, body string) {
	conn := tls.Client(fixture.dial(""), fixture.client)
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, text) }()
	return fixture.answer(conn)
}

// TestEncrypted guards against bounds that do not hold above TLS: heads that are counted in their
// encrypted form, and silent connections that keep out new ones.
func TestEncrypted(t *testing.T) {
	fixture := newEncryptedFixture(t, 300*time.Millisecond)
	status, text := fixture.ask(post("/", testBodyBytes) + strings.Repeat("x", testBodyBytes))
	fixture.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	status, text = fixture.ask("GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 30<<10))
	fixture.Check(status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	fixture.Check(text, qt.Equals, "refused")
	unread := tls.Client(fixture.dial(""), fixture.client)
	_, err := io.WriteString(unread, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	fixture.Assert(err, qt.IsNil)
	fixture.waitUntil("the request runs", func() bool { return fixture.listener.Budget.Held(memory.Requests) > 0 })
	fixture.waitUntil("it has ended", func() bool { return fixture.listener.Budget.Held(memory.Requests) == 0 })
	fixture.waitUntil("its connection has ended", func() bool { return fixture.listener.Budget.Holders() == 0 })
	for range 8 {
		fixture.dial("")
	}
	// On a busy machine the first ones may give way before the last one is accepted.
	fixture.waitUntil("all are accepted", func() bool {
		budget := fixture.listener.Budget
		return budget.Holders() == 8 || budget.GaveWay(memory.Connections) > 0
	})
	time.Sleep(150 * time.Millisecond)
	status, text = fixture.ask("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	fixture.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
}

// TestEncryptedRefusal guards against connections without room that cost a handshake, which would
// also keep the others from being accepted.
func TestEncryptedRefusal(t *testing.T) {
	c := qt.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = raw.Close() })
	bounded := &Listener{Listener: tls.NewListener(raw, &tls.Config{MinVersion: tls.VersionTLS12}), Socket: raw, Budget: &memory.Budget{}}
	go func() { _, _ = bounded.Accept() }()
	for range 3 {
		conn, err := net.Dial("tcp", raw.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		text, err := io.ReadAll(conn)
		c.Check(err, qt.IsNil)
		c.Check(text, qt.HasLen, 0)
		_ = conn.Close()
	}
}
