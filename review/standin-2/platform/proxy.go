package main

import (
	"io"
	"net"
	"sync"
)

// proxy is the link between the hosts and a server. While it is cut, bytes are held up in both
// directions, and nothing is reset; they arrive once it is whole again.
type proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	// open is closed while the link is whole.
	open chan struct{}
}

// newProxy returns a link to a target with an address of its own.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &proxy{listener: listener, target: target, open: make(chan struct{})}
	close(proxy.open)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.carry(conn)
		}
	}()
	return proxy, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

func (proxy *proxy) close() { _ = proxy.listener.Close() }

// cut cuts the link, and heal ends that.
func (proxy *proxy) cut() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.open = make(chan struct{})
}

func (proxy *proxy) heal() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	close(proxy.open)
}

// wait waits until the link is whole.
func (proxy *proxy) wait() {
	proxy.mutex.Lock()
	open := proxy.open
	proxy.mutex.Unlock()
	<-open
}

// carry carries a connection. Its opening is held up, too, while the link is cut.
func (proxy *proxy) carry(near net.Conn) {
	defer func() { _ = near.Close() }()
	proxy.wait()
	far, err := net.Dial("tcp", proxy.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	ended := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			buffer := make([]byte, 16<<10)
			for {
				n, err := pair[0].Read(buffer)
				proxy.wait()
				if n > 0 {
					if _, err := pair[1].Write(buffer[:n]); err != nil {
						break
					}
				}
				if err == io.EOF {
					_ = pair[1].(*net.TCPConn).CloseWrite()
				}
				if err != nil {
					break
				}
			}
			ended <- struct{}{}
		}()
	}
	<-ended
	<-ended
}
