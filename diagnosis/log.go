// Package diagnosis finds out from the logs of hosts why a request ended as it
// did: it puts the request's lines in order over all hosts, adds what these
// hosts believed then, and names the cause.
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

// maxLineBytes is the longest line of a log that is read; longer ones are no
// lines of ours.
const maxLineBytes = 1 << 20

// Line is one line of a host's log.
type Line struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Event   int       `json:"event"`
	Message string    `json:"message"`
	Request string    `json:"request,omitempty"`
	Target  string    `json:"target,omitempty"`
	Peer    string    `json:"peer,omitempty"`
	Detail  string    `json:"detail,omitempty"`
	// Facts are the other fields.
	Facts map[string]string `json:"facts,omitempty"`
}

// numericFact returns a fact that is a numericFact, 0 if it is none.
func (line *Line) numericFact(name string) float64 {
	// A fact that is missing or no number counts as 0.
	value, _ := strconv.ParseFloat(line.Facts[name], 64)
	return value
}

// Read returns the lines of a log and how many lines were not understood. What
// stands before the first brace of a line is left out.
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
		return nil, unrecognized, fmt.Errorf("read a log: %w", err)
	}
	return lines, unrecognized, nil
}

var errNoEvent = errors.New("the line has no event")

func parseLine(text []byte) (Line, error) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return Line{}, fmt.Errorf("decode a line: %w", err)
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
				return Line{}, fmt.Errorf("read the time of a line: %w", err)
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
