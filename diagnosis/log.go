// Package diagnosis explains from the logs of hosts why a request ended as it did.
// An explanation has the request's lines of all hosts, sorted by time, the states
// that these hosts had logged before, and the cause.
package diagnosis

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"
)

// maxLineBytes is the length of the longest line that Read accepts. Hosts don't
// write longer ones.
const maxLineBytes = 1 << 20

// Line is a line of a host's log.
type Line struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Event   int       `json:"event"`
	Message string    `json:"message"`
	Request string    `json:"request,omitempty"`
	Target  string    `json:"target,omitempty"`
	Peer    string    `json:"peer,omitempty"`
	Detail  string    `json:"detail,omitempty"`
	// Facts are the other fields of the line, except level.
	Facts map[string]string `json:"facts,omitempty"`
}

// numericFact returns a fact's value as a number, or 0 if the fact is missing or
// not a number.
func (line *Line) numericFact(name string) float64 {
	value, _ := strconv.ParseFloat(line.Facts[name], 64)
	return value
}

// Read returns the lines of a log and the number of unrecognized lines, which it
// skips. Text before the first brace of a line is ignored, so that lines may
// have a prefix. Read fails if the log can't be read or has a line longer than
// 1 MiB.
func Read(reader io.Reader) (lines []Line, unrecognized int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			unrecognized++
			continue
		}
		line, err := parseLine(scanner.Bytes()[start:])
		if err != nil {
			unrecognized++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, unrecognized, fmt.Errorf("read log: %w", err)
	}
	return lines, unrecognized, nil
}

var errNoEvent = errors.New("line has no event number")

func parseLine(text []byte) (Line, error) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return Line{}, fmt.Errorf("decode line: %w", err)
	}
	event, ok := fields["event"].(float64)
	if !ok {
		return Line{}, errNoEvent
	}
	line := Line{Event: int(event), Facts: map[string]string{}}
	stringFields := map[string]*string{
		"host": &line.Host, "message": &line.Message, "request": &line.Request,
		"target": &line.Target, "peer": &line.Peer, "detail": &line.Detail,
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value := fmt.Sprint(fields[name])
		switch {
		case name == "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, fmt.Errorf("parse time of line: %w", err)
			}
			line.Time = at
		case name == "event" || name == "level":
		case stringFields[name] != nil:
			*stringFields[name] = value
		default:
			line.Facts[name] = value
		}
	}
	return line, nil
}
