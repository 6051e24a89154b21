package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// add adds a line with the time since the beginning.
func (record *record) add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, arguments...))
}
