package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what is sent, answered and run, with the time since its start.
type record struct {
	mutex     sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: file, startedAt: time.Now()}, nil
}

// add writes one line.
func (record *record) add(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line to the record and to the standard output.
func (record *record) say(format string, values ...any) {
	record.add(format, values...)
	fmt.Printf(format+"\n", values...)
}
