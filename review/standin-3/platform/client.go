package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// newID returns the id of a client's attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+requestNumber.Add(1)) }

// head returns the head of a client's request.
func head(method, path, id string, deadline time.Duration, more ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n%s\r\n",
		method, path, hostName, id, deadline.Milliseconds(), apiKey, strings.Join(more, ""))
}
