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
	// compressed begins a compressed datagram: no report begins so, as no field
	// has the number 0.
	compressed = 0
	// reportBytes bounds a report that was compressed.
	reportBytes = 1 << 20
)

// writers take about a megabyte each, and only leaders of zones need one.
var writers = sync.Pool{New: func() any {
	// The level is one that flate knows.
	writer, _ := flate.NewWriter(nil, flate.BestSpeed)
	return writer
}}

// encode returns a report's datagram, compressed if it holds summaries.
func encode(report *exchangepb.Report) ([]byte, error) {
	plain, err := proto.Marshal(report)
	if err != nil {
		return nil, fmt.Errorf("encode a report: %w", err)
	}
	if len(report.GetSummaries()) == 0 {
		return plain, nil
	}
	var buffer bytes.Buffer
	buffer.WriteByte(compressed)
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(&buffer)
	if _, err := writer.Write(plain); err != nil {
		return nil, fmt.Errorf("compress a report: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress a report: %w", err)
	}
	return buffer.Bytes(), nil
}

// decode returns the report of a datagram.
func decode(datagram []byte) (*exchangepb.Report, error) {
	if len(datagram) > 0 && datagram[0] == compressed {
		plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(datagram[1:])), reportBytes))
		if err != nil {
			return nil, fmt.Errorf("decompress a report: %w", err)
		}
		datagram = plain
	}
	report := &exchangepb.Report{}
	if err := proto.Unmarshal(datagram, report); err != nil {
		return nil, fmt.Errorf("decode a report: %w", err)
	}
	return report, nil
}
