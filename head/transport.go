package head

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Transport sends requests by net/http and checks the heads of their answers.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that sends requests as another one does, which must not be used
// any more.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	config := base.TLSClientConfig
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		return &checkedConn{Conn: conn}, nil
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		tlsConn := tls.Client(conn, clientConfig(config, address))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("TLS with %s: %w", address, err)
		}
		return &checkedConn{Conn: tlsConn}, nil
	}
	return &Transport{base: base}
}

// Default returns a transport with the settings of http.DefaultTransport.
func Default() *Transport {
	base, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return NewTransport(&http.Transport{})
	}
	return NewTransport(base.Clone())
}

// clientConfig returns the configuration of TLS for an address.
func clientConfig(config *tls.Config, address string) *tls.Config {
	if config = config.Clone(); config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		// Without a port it is a name.
		config.ServerName = address
		if host, _, err := net.SplitHostPort(address); err == nil {
			config.ServerName = host
		}
	}
	return config
}

// RoundTrip sends a request and returns its answer, or an error of type Malformed.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[checkedConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*checkedConn); ok {
			conn.expectHead()
			used.Store(conn)
		}
	}}
	response, err := transport.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, fmt.Errorf("send the request: %w", err)
	}
	if conn := used.Load(); conn == nil || !conn.hasHead() {
		_ = response.Body.Close()
		if conn != nil {
			_ = conn.Close()
		}
		return nil, malformed("the answer's head did not come whole after the request")
	}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (transport *Transport) CloseIdleConnections() { transport.base.CloseIdleConnections() }

// checkedConn is a connection by which net/http sends requests, one at a time.
type checkedConn struct {
	net.Conn

	mutex   sync.Mutex
	checker Checker
	// isExpecting is set while the head of an answer is due or has not come whole.
	isExpecting bool
}

// NetConn returns the connection underneath.
func (checkedConn *checkedConn) NetConn() net.Conn { return checkedConn.Conn }

// Read passes on nothing behind the first byte that no head has.
func (checkedConn *checkedConn) Read(buffer []byte) (int, error) {
	n, err := checkedConn.Conn.Read(buffer)
	checkedConn.mutex.Lock()
	defer checkedConn.mutex.Unlock()
	if err := checkedConn.check(buffer[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// check checks the heads in what was read. The caller holds the mutex.
func (checkedConn *checkedConn) check(text []byte) error {
	for checkedConn.isExpecting {
		n, err := checkedConn.checker.Write(text)
		if err != nil {
			return err
		}
		if text = text[n:]; !checkedConn.checker.IsWhole() {
			return nil
		}
		// The head of the final answer follows an interim one.
		checkedConn.isExpecting = checkedConn.checker.Status() < http.StatusOK
		checkedConn.checker = Checker{}
	}
	return nil
}

// expectHead is called before a request is written.
func (checkedConn *checkedConn) expectHead() {
	checkedConn.mutex.Lock()
	defer checkedConn.mutex.Unlock()
	checkedConn.isExpecting, checkedConn.checker = true, Checker{}
}

// hasHead reports whether the head of the final answer has come whole since it was expected. What
// net/http had read before is the answer to no request.
func (checkedConn *checkedConn) hasHead() bool {
	checkedConn.mutex.Lock()
	defer checkedConn.mutex.Unlock()
	return !checkedConn.isExpecting
}
