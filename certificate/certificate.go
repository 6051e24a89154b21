// Package certificate listens and dials with TLS. It reloads certificate, key and
// authority files when they change, so that a renewed certificate needs no
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
	// BadFile is returned when a certificate and its key can't be loaded, or
	// an authority file holds no certificate.
	BadFile = Errors.NewType("badFile")
)

// Events of this package.
var (
	eventLoaded = timeline.Define(timeline.Kind{
		Number: 110, Name: "certificate loaded", Level: timeline.Info,
		Meaning: "The TLS files of an endpoint were loaded, at start or after a change.",
	})
	eventNotLoaded = timeline.Define(timeline.Kind{
		Number: 111, Name: "certificate not loaded", Level: timeline.Warn,
		Meaning: "Changed TLS files could not be loaded; the previous certificate stays in use.",
		Action:  "fix the files that the detail names",
	})
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// handshakeTimeout limits the TLS handshake of a dialled connection.
const handshakeTimeout = 5 * time.Second

// Endpoint listens or dials with the TLS files of one of a host's addresses.
// Fields are set before use.
type Endpoint struct {
	Files  settings.TLS
	Events *timeline.Recorder
	// Connect opens a TCP connection without TLS; only Dial uses it.
	Connect func(ctx context.Context, network, address string) (net.Conn, error)

	mutex       sync.Mutex
	credentials *credentials
	checkedAt   time.Time
}

// credentials holds the content of the files and their versions before they were
// read.
type credentials struct {
	versions    [3]fileVersion
	certificate tls.Certificate
	authority   *x509.CertPool
}

// fileVersion detects changes of a file; it is zero if the file can't be
// examined.
type fileVersion struct {
	modTime time.Time
	size    int64
}

// Load reads the files. Hosts call it at start, so that bad files keep them from
// starting.
func (endpoint *Endpoint) Load() error {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return endpoint.load()
}

// Listen loads the files and returns a TLS listener on top of the given one. It
// returns the given listener if TLS is off.
func (endpoint *Endpoint) Listen(listener net.Listener) (net.Listener, error) {
	if !endpoint.Files.Enabled() {
		return listener, nil
	}
	if err := endpoint.Load(); err != nil {
		return nil, fmt.Errorf("load TLS files: %w", err)
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return endpoint.serverConfig(), nil
		},
	}), nil
}

// Dial opens a connection, with TLS unless it is off. Connect limits the time of
// the connection; the handshake may take 5 s.
func (endpoint *Endpoint) Dial(ctx context.Context, address string) (net.Conn, error) {
	plain, err := endpoint.Connect(ctx, "tcp", address)
	if err != nil || !endpoint.Files.Enabled() {
		return plain, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	config := endpoint.clientConfig()
	config.ServerName, _, _ = net.SplitHostPort(address)
	connection := tls.Client(plain, config)
	if err := connection.HandshakeContext(ctx); err != nil {
		_ = plain.Close()
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return connection, nil
}

func (endpoint *Endpoint) serverConfig() *tls.Config {
	credentials := endpoint.current()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
		Certificates: []tls.Certificate{credentials.certificate},
	}
	if credentials.authority != nil {
		config.ClientCAs = credentials.authority
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// clientConfig returns a configuration without a server name; Dial sets it from
// the address.
func (endpoint *Endpoint) clientConfig() *tls.Config {
	credentials := endpoint.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{credentials.certificate},
		RootCAs:      credentials.authority,
	}
}

// current returns the credentials in use. It checks the files at most once per
// checkInterval and reloads them if they have changed. If that fails, the
// previous credentials stay in use.
func (endpoint *Endpoint) current() *credentials {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	if time.Since(endpoint.checkedAt) < checkInterval {
		return endpoint.credentials
	}
	endpoint.checkedAt = time.Now()
	if versions := endpoint.fileVersions(); endpoint.credentials != nil && versions == endpoint.credentials.versions {
		return endpoint.credentials
	}
	if err := endpoint.load(); err != nil {
		endpoint.Events.Record(eventNotLoaded, timeline.Event{Detail: err.Error()})
	}
	return endpoint.credentials
}

func (endpoint *Endpoint) load() error {
	endpoint.checkedAt = time.Now()
	// The versions are taken before the files are read, so that a change in
	// between is found by the next check.
	credentials := &credentials{versions: endpoint.fileVersions()}
	certificate, err := tls.LoadX509KeyPair(endpoint.Files.Certificate, endpoint.Files.Key)
	if err != nil {
		return BadFile.Wrap(err, "read %s and %s", endpoint.Files.Certificate, endpoint.Files.Key)
	}
	credentials.certificate = certificate
	if endpoint.Files.Authority != "" {
		credentials.authority, err = readAuthority(endpoint.Files.Authority)
		if err != nil {
			return err
		}
	}
	endpoint.credentials = credentials
	endpoint.Events.Record(eventLoaded, timeline.Event{Detail: endpoint.Files.Certificate})
	return nil
}

func readAuthority(name string) (*x509.CertPool, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read authority file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, BadFile.New("%s holds no certificate", name)
	}
	return pool, nil
}

func (endpoint *Endpoint) fileVersions() [3]fileVersion {
	var versions [3]fileVersion
	for i, name := range []string{endpoint.Files.Certificate, endpoint.Files.Key, endpoint.Files.Authority} {
		if info, err := os.Stat(name); err == nil {
			versions[i] = fileVersion{modTime: info.ModTime(), size: info.Size()}
		}
	}
	return versions
}
