package certificate_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/certificate"
	"nutmegfield.example/settings"
	"nutmegfield.example/timeline"
)

// authority is a certificate authority for a test.
type authority struct {
	*qt.C
	key    *ecdsa.PrivateKey
	issuer *x509.Certificate
	serial int64
}

func newAuthority(c *qt.C) *authority {
	authority := &authority{C: c, key: newKey(c)}
	template := authority.template("authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &authority.key.PublicKey, authority.key)
	c.Assert(err, qt.IsNil)
	authority.issuer, err = x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	return authority
}

func newKey(c *qt.C) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	return key
}

func (authority *authority) template(name string) *x509.Certificate {
	authority.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(authority.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// write writes a new certificate, its key and the authority's certificate into a
// directory.
func (authority *authority) write(directory, name string) settings.TLS {
	key := newKey(authority.C)
	der, err := x509.CreateCertificate(rand.Reader, authority.template(name), authority.issuer, &key.PublicKey, authority.key)
	authority.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	authority.Assert(err, qt.IsNil)
	files := settings.TLS{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authority:   filepath.Join(directory, "authority.pem"),
	}
	for file, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.Authority:   {Type: "CERTIFICATE", Bytes: authority.issuer.Raw},
	} {
		authority.Assert(os.WriteFile(file, pem.EncodeToMemory(block), 0o600), qt.IsNil)
	}
	return files
}

// serveEcho listens on an endpoint, sends back whatever it reads, and returns its
// address.
func serveEcho(c *qt.C, endpoint *certificate.Endpoint) string {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener, err := endpoint.Listen(plain)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				_, _ = io.Copy(connection, connection)
			}()
		}
	}()
	return listener.Addr().String()
}

// message is longer than the header of a TLS record, so that a server reads a
// whole header from a client without TLS.
const message = "a line of plain text"

// exchange dials, sends the message and reads it back.
func exchange(endpoint *certificate.Endpoint, address string) error {
	connection, err := endpoint.Dial(context.Background(), address)
	if err != nil {
		return err
	}
	defer connection.Close()
	if _, err := connection.Write([]byte(message)); err != nil {
		return err
	}
	_, err = io.ReadFull(connection, make([]byte, len(message)))
	return err
}

func newEndpoint(c *qt.C, files settings.TLS) *certificate.Endpoint {
	endpoint := &certificate.Endpoint{Files: files, Events: &timeline.Recorder{Host: "a1"}, Connect: new(net.Dialer).DialContext}
	c.Assert(endpoint.Load(), qt.IsNil)
	return endpoint
}

func TestMutualAuthentication(t *testing.T) {
	c := qt.New(t)
	ours := newAuthority(c)
	address := serveEcho(c, newEndpoint(c, ours.write(c.TempDir(), "a1")))
	c.Assert(exchange(newEndpoint(c, ours.write(c.TempDir(), "a2")), address), qt.IsNil)

	untrusted := newAuthority(c).write(c.TempDir(), "stranger")
	c.Assert(exchange(newEndpoint(c, untrusted), address), qt.IsNotNil)
	// A client that trusts the server is refused if the server doesn't trust it.
	trusting := newAuthority(c).write(c.TempDir(), "stranger")
	trusting.Authority = ours.write(c.TempDir(), "a3").Authority
	c.Assert(exchange(newEndpoint(c, trusting), address), qt.IsNotNil)
	// A connection without TLS is refused.
	c.Assert(exchange(&certificate.Endpoint{Connect: new(net.Dialer).DialContext}, address), qt.IsNotNil)
}

func TestPlainWithoutFiles(t *testing.T) {
	c := qt.New(t)
	c.Assert(exchange(&certificate.Endpoint{Connect: new(net.Dialer).DialContext}, serveEcho(c, &certificate.Endpoint{})), qt.IsNil)
}

func TestRenewalWithoutRestart(t *testing.T) {
	c := qt.New(t)
	before, after := newAuthority(c), newAuthority(c)
	directory := c.TempDir()
	endpoint := newEndpoint(c, before.write(directory, "a1"))
	address := serveEcho(c, endpoint)
	peer := newEndpoint(c, after.write(c.TempDir(), "a2"))
	c.Assert(exchange(peer, address), qt.IsNotNil)

	after.write(directory, "a1")
	endpoint.ResetCheck()
	c.Assert(exchange(peer, address), qt.IsNil)

	// If a file can't be loaded, the previous certificate stays in use.
	c.Assert(os.WriteFile(endpoint.Files.Certificate, []byte("nothing"), 0o600), qt.IsNil)
	endpoint.ResetCheck()
	c.Assert(exchange(peer, address), qt.IsNil)
	events := endpoint.Events.Events()
	c.Assert(events[len(events)-1].Name, qt.Equals, "certificate not loaded")
}
