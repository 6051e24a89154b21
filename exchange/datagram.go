package exchange

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"nutmegfield.example/exchange/exchangepb"
)

const (
	// The first byte of a compressed datagram. No uncompressed report begins with
	// it, as no field has the number 0.
	compressedMarker = 0
	// Bounds the size of a decompressed report.
	maxReportBytes = 1 << 20
)

// flateWriters are pooled: each takes about a megabyte, and only leaders of
// zones need one.
var flateWriters = sync.Pool{New: func() any {
	// The error is always nil for a valid level.
	writer, _ := flate.NewWriter(nil, flate.BestSpeed)
	return writer
}}

// encode returns the datagram of a report, compressed if it contains summaries.
func encode(report *exchangepb.Report) ([]byte, error) {
	plain, err := proto.Marshal(report)
	if err != nil {
		return nil, fmt.Errorf("encode report: %w", err)
	}
	if len(report.GetSummaries()) == 0 {
		return plain, nil
	}
	var buffer bytes.Buffer
	buffer.WriteByte(compressedMarker)
	writer := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(writer)
	writer.Reset(&buffer)
	if _, err := writer.Write(plain); err != nil {
		return nil, fmt.Errorf("compress report: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress report: %w", err)
	}
	return buffer.Bytes(), nil
}

// decode returns the report in a datagram.
func decode(datagram []byte) (*exchangepb.Report, error) {
	if len(datagram) > 0 && datagram[0] == compressedMarker {
		plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(datagram[1:])), maxReportBytes))
		if err != nil {
			return nil, fmt.Errorf("decompress report: %w", err)
		}
		datagram = plain
	}
	report := &exchangepb.Report{}
	if err := proto.Unmarshal(datagram, report); err != nil {
		return nil, fmt.Errorf("decode report: %w", err)
	}
	return report, nil
}
