// Package certificate keeps the TLS files of one side of a host and reads
// them again when they change, so that a renewed certificate needs no
// restart.
package certificate

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/settings"
	"nutmegfield.example/timeline"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("certificate")
	// BadFile is returned for a file that holds no certificate or key.
	BadFile = Errors.NewType("badFile")
)

// Events of this package.
var (
	eventLoaded = timeline.Define(timeline.Kind{
		Number: 110, Name: "certificate loaded", Level: timeline.Info,
		Meaning: "The TLS files of a side were read, at start or after a change.",
	})
	eventKept = timeline.Define(timeline.Kind{
		Number: 111, Name: "certificate not loaded", Level: timeline.Warn,
		Meaning: "Changed TLS files could not be read; the earlier ones stay in use.",
		Action:  "mend the files that the detail names",
	})
)

// lookInterval is the least time between two looks at the files.
const lookInterval = time.Second

// handshakeTimeout bounds the handshake of a dialled connection.
const handshakeTimeout = 5 * time.Second

// Endpoint is the TLS of one side of a host. Fields are set before use.
type Endpoint struct {
	Files  settings.TLS
	Events *timeline.Recorder
	// Connect opens a plain connection; only Dial needs it.
	Connect func(ctx context.Context, network, address string) (net.Conn, error)

	mutex  sync.Mutex
	loaded *loaded
	looked time.Time
}

// loaded is what the files held when they were read.
type loaded struct {
	stamp       [3]fileStamp
	certificate tls.Certificate
	authority   *x509.CertPool
}

// fileStamp tells a changed file.
type fileStamp struct {
	changed time.Time
	size    int64
}

// Load reads the files for the first time; an error stops the start of a
// host.
func (endpoint *Endpoint) Load() error {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return endpoint.load()
}

// Listen wraps a listener; it returns it unchanged where TLS is off.
func (endpoint *Endpoint) Listen(listener net.Listener) (net.Listener, error) {
	if !endpoint.Files.Enabled() {
		return listener, nil
	}
	if err := endpoint.Load(); err != nil {
		return nil, fmt.Errorf("load the certificate: %w", err)
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return endpoint.server(), nil
		},
	}), nil
}

// Dial opens a connection; it is plain where TLS is off.
func (endpoint *Endpoint) Dial(ctx context.Context, address string) (net.Conn, error) {
	plain, err := endpoint.Connect(ctx, "tcp", address)
	if err != nil || !endpoint.Files.Enabled() {
		return plain, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	config := endpoint.client()
	config.ServerName, _, _ = net.SplitHostPort(address)
	connection := tls.Client(plain, config)
	if err := connection.HandshakeContext(ctx); err != nil {
		_ = plain.Close()
		return nil, fmt.Errorf("dial with TLS: %w", err)
	}
	return connection, nil
}

func (endpoint *Endpoint) server() *tls.Config {
	present := endpoint.current()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
		Certificates: []tls.Certificate{present.certificate},
	}
	if present.authority != nil {
		config.ClientCAs = present.authority
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// client has no name to verify of its own: Dial takes the address's.
func (endpoint *Endpoint) client() *tls.Config {
	present := endpoint.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{present.certificate},
		RootCAs:      present.authority,
	}
}

// current returns what is in use, after a look at the files from time to
// time. Files that can't be read leave the earlier ones in use.
func (endpoint *Endpoint) current() *loaded {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	if time.Since(endpoint.looked) < lookInterval {
		return endpoint.loaded
	}
	endpoint.looked = time.Now()
	if stamp := endpoint.stamp(); endpoint.loaded != nil && stamp == endpoint.loaded.stamp {
		return endpoint.loaded
	}
	if err := endpoint.load(); err != nil {
		endpoint.Events.Record(eventKept, timeline.Event{Detail: err.Error()})
	}
	return endpoint.loaded
}

func (endpoint *Endpoint) load() error {
	endpoint.looked = time.Now()
	// The stamps come first: a change after them is seen at the next look.
	read := &loaded{stamp: endpoint.stamp()}
	certificate, err := tls.LoadX509KeyPair(endpoint.Files.Certificate, endpoint.Files.Key)
	if err != nil {
		return BadFile.Wrap(err, "read %s and %s", endpoint.Files.Certificate, endpoint.Files.Key)
	}
	read.certificate = certificate
	if endpoint.Files.Authority != "" {
		read.authority, err = readAuthority(endpoint.Files.Authority)
		if err != nil {
			return err
		}
	}
	endpoint.loaded = read
	endpoint.Events.Record(eventLoaded, timeline.Event{Detail: endpoint.Files.Certificate})
	return nil
}

func readAuthority(name string) (*x509.CertPool, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, BadFile.New("%s holds no certificate", name)
	}
	return pool, nil
}

func (endpoint *Endpoint) stamp() [3]fileStamp {
	var stamps [3]fileStamp
	for i, name := range []string{endpoint.Files.Certificate, endpoint.Files.Key, endpoint.Files.Authority} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = fileStamp{changed: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}
