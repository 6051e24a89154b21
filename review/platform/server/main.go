// Command server is a stand-in of a model server, as a process of its own. It answers each request
// with a stream of events. One in so many answers has no length and ends with its connection.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

var (
	id       = flag.String("id", "", "id of the server")
	address  = flag.String("address", "", "address to listen at")
	events   = flag.Int("events", 60, "events of a stream")
	interval = flag.Duration("interval", 50*time.Millisecond, "time between two events")
	unframed = flag.Int64("unframed", 20, "one in so many answers has no length")
	first    = flag.Int64("first", 0, "answers to count before the first one")

	answers, running atomic.Int64
)

func main() {
	flag.Parse()
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

func serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, writer := bufio.NewReader(conn), bufio.NewWriter(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		name := request.Header.Get("X-Request-Id")
		head := fmt.Sprintf("X-Request-Id: %s\r\nX-Instance-Id: %s\r\nX-Server-Load: %d,0,14\r\nKeep-Alive: timeout=20\r\n", name, *id, running.Load())
		if request.URL.Path == "/health" {
			fmt.Fprintf(writer, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", head)
			if writer.Flush() != nil {
				return
			}
			continue
		}
		if wanted := request.Header.Get("X-Expect-Instance"); wanted != "" && wanted != *id {
			fmt.Fprintf(writer, "HTTP/1.1 421 Misdirected Request\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
			if writer.Flush() != nil {
				return
			}
			continue
		}
		isUnframed := *unframed > 0 && (answers.Add(1)+*first)%*unframed == 0
		fmt.Printf("server %s runs %s, without a length: %v\n", *id, name, isUnframed)
		running.Add(1)
		after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		isComplete := stream(writer, head, after, isUnframed)
		running.Add(-1)
		if isComplete {
			fmt.Printf("server %s has answered %s\n", *id, name)
		}
		if !isComplete || isUnframed {
			return
		}
	}
}

// stream writes the events of an answer that follow one, and reports whether all were written.
func stream(writer *bufio.Writer, head string, after int, isUnframed bool) bool {
	framing := "Transfer-Encoding: chunked\r\n"
	if isUnframed {
		framing = "Connection: close\r\n"
	}
	fmt.Fprintf(writer, "HTTP/1.1 200 OK\r\n%sX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n%s\r\n", head, framing)
	for number := after + 1; number <= *events; number++ {
		time.Sleep(*interval)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", number, number, *events)
		if !isUnframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := writer.WriteString(event); err != nil {
			return false
		}
		if writer.Flush() != nil {
			return false
		}
	}
	if !isUnframed {
		_, _ = writer.WriteString("0\r\n\r\n")
	}
	return writer.Flush() == nil
}
