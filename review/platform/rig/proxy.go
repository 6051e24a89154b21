package rig

import (
	"net"
	"sync"
	"time"
)

// Proxy passes connections on to an address. Those that are open may go silent: what either side
// sends then never arrives, and neither side is told.
type Proxy struct {
	Address string

	rig      *Rig
	mutex    sync.Mutex
	open     map[*link]struct{}
	upstream string
}

type link struct {
	one, other net.Conn
	silent     chan struct{}
}

// NewProxy returns a proxy before an address.
func (rig *Rig) NewProxy(upstream string) *Proxy {
	listener, err := net.Listen("tcp", rig.IP()+":8225")
	if err != nil {
		rig.Fail("proxy: %v", err)
	}
	proxy := &Proxy{Address: listener.Addr().String(), rig: rig, open: map[*link]struct{}{}, upstream: upstream}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.serve(conn)
		}
	}()
	rig.closers = append(rig.closers, func() { _ = listener.Close() })
	return proxy
}

func (proxy *Proxy) serve(conn net.Conn) {
	other, err := net.Dial("tcp", proxy.upstream)
	if err != nil {
		_ = conn.Close()
		return
	}
	link := &link{one: conn, other: other, silent: make(chan struct{})}
	proxy.mutex.Lock()
	proxy.open[link] = struct{}{}
	proxy.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { link.pass(other, conn) })
	group.Go(func() { link.pass(conn, other) })
	group.Wait()
	proxy.mutex.Lock()
	delete(proxy.open, link)
	proxy.mutex.Unlock()
	_, _ = conn.Close(), other.Close()
}

// pass passes on what one side sends until it ends, or until the link goes silent.
func (link *link) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-link.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// keepAlive is the time after which the program's own keep-alive ends a silent connection: the probes
// are answered by the system of this proxy, and not over a path that is silent.
const keepAlive = 11 * time.Second

// Silence lets the connections that are open go silent. New ones work.
func (proxy *Proxy) Silence() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for link := range proxy.open {
		select {
		case <-link.silent:
		default:
			close(link.silent)
			time.AfterFunc(keepAlive, func() { _, _ = link.one.Close(), link.other.Close() })
		}
	}
	proxy.rig.Note("%d connections over %s go silent", len(proxy.open), proxy.Address)
}
