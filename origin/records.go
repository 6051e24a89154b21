package origin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nutmegfield.example/balance"
	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

// While a pool has several versions, one host of each zone writes the streams that begin in
// the zone to the platform, for the case that all hosts end at once. A record holds the
// streams of a short time. Its name is taken again once no stream of that time lasts.

const (
	// minRecordInterval is the shortest time whose streams a record of a zone holds;
	// recordSlots of them are kept. It is written up to writesPerRecord times.
	minRecordInterval = 250 * time.Millisecond
	maxRecordInterval = time.Second
	recordSlots       = 64
	writesPerRecord   = 3
	// recordTimeout limits a call to the platform.
	recordTimeout = time.Second
	// maxRecorded limits the streams of a record, maxRecordBytes what is read of one.
	maxRecorded    = 4096
	maxRecordBytes = 128 << 10
	// recordsLifetime is how long records that were read are used without a new read.
	recordsLifetime = time.Second
	// recordWait limits the wait of a stream that is taken up for records to be read,
	// recordRetry is the time between two attempts.
	recordWait  = 1500 * time.Millisecond
	recordRetry = 100 * time.Millisecond
	// recordFormat is the format of records.
	recordFormat = 1
	// beginningBytes is the size of a stream in a record: its id and its version.
	beginningBytes = 8 + 4
)

var (
	eventRecordFailed = timeline.Define(timeline.Kind{
		Number: 1137, Name: "streams not recorded", Level: timeline.Info,
		Meaning: "The streams that began while their pools had several versions could not be written to the platform; the detail is the error, the fact streams their number. They are written again. Those that are never written don't go on if all hosts end at once.",
	})
	eventRecordsRead = timeline.Define(timeline.Kind{
		Number: 1138, Name: "records of streams read", Level: timeline.Info,
		Meaning: "A caller took a stream up that no host knows, and this host has read the platform's records; the facts are the streams in them, and the records that were passed over as their format is not known or they are too large.",
	})
	eventRecordsUnread = timeline.Define(timeline.Kind{
		Number: 1139, Name: "records of streams not read", Level: timeline.Info,
		Meaning: "A caller took a stream up that no host knows, and the platform's records could not be read; the detail is the error.",
	})
)

// Records are the platform's calls for records of streams.
type Records struct {
	List func(ctx context.Context) (map[string][]byte, error)
	Save func(ctx context.Context, name string, value []byte) error
}

// recordValue is the encoding of streams on the platform.
type recordValue struct {
	Format int `json:"format"`
	// WrittenAt is in milliseconds since 1970.
	WrittenAt int64  `json:"writtenAt"`
	Streams   []byte `json:"streams"`
}

func encodeRecord(beginnings []Beginning, now time.Time) ([]byte, error) {
	streams := make([]byte, 0, beginningBytes*len(beginnings))
	for _, beginning := range beginnings {
		streams = binary.LittleEndian.AppendUint64(streams, uint64(beginning.Stream))
		streams = binary.LittleEndian.AppendUint32(streams, uint32(beginning.Version))
	}
	value, err := json.Marshal(recordValue{Format: recordFormat, WrittenAt: now.UnixMilli(), Streams: streams})
	if err != nil {
		return nil, fmt.Errorf("encode a record of streams: %w", err)
	}
	return value, nil
}

// decodeRecord returns the streams of a record, and false if it can't be read.
func decodeRecord(value []byte) ([]Beginning, bool) {
	var decoded recordValue
	if len(value) > maxRecordBytes || json.Unmarshal(value, &decoded) != nil || decoded.Format != recordFormat ||
		len(decoded.Streams)%beginningBytes != 0 {
		return nil, false
	}
	var beginnings []Beginning
	for streams := decoded.Streams; len(streams) > 0; streams = streams[beginningBytes:] {
		beginnings = append(beginnings, Beginning{
			Stream:  Stream(binary.LittleEndian.Uint64(streams)),
			Version: balance.VersionID(binary.LittleEndian.Uint32(streams[8:])),
		})
	}
	return beginnings, true
}

// keep has streams recorded: by this host if it does so for its zone, else by the one that
// does.
func (origins *Origins) keep(beginnings []Beginning) {
	if len(beginnings) == 0 || origins.Recorder == nil {
		return
	}
	if address := origins.Recorder(); address != "" {
		origins.Send(address, &Message{Records: beginnings})
		return
	}
	origins.addUnsaved(beginnings)
}

func (origins *Origins) addUnsaved(beginnings []Beginning) {
	origins.recordsMutex.Lock()
	defer origins.recordsMutex.Unlock()
	room := maxRecorded - len(origins.unsaved)
	origins.unsaved = append(origins.unsaved, beginnings[:min(room, len(beginnings))]...)
}

// recordInterval returns the time between two records, for which recordSlots of them hold the
// longest stream.
func (origins *Origins) recordInterval() time.Duration {
	longest := streamLifetime
	if origins.Longest != nil {
		longest = origins.Longest()
	}
	return min(max(minRecordInterval, longest/(recordSlots-4)), maxRecordInterval)
}

// RunRecords writes the streams that this host records, until the context ends. It returns
// nil.
func (origins *Origins) RunRecords(ctx context.Context) error {
	current := &openRecord{}
	for pause.For(ctx, origins.recordInterval()/writesPerRecord) {
		origins.saveRecord(ctx, current)
	}
	return nil
}

// openRecord is the record that streams are added to.
type openRecord struct {
	slot    int64
	streams []Beginning
	// isSaved is set while the platform has all of its streams.
	isSaved bool
}

// add adds streams at a time. Those of the record before that are not saved yet move on.
func (openRecord *openRecord) add(beginnings []Beginning, slot int64) {
	if slot != openRecord.slot && openRecord.isSaved {
		openRecord.streams = nil
	}
	openRecord.slot = slot
	if len(beginnings) > 0 {
		openRecord.isSaved = false
		openRecord.streams = append(openRecord.streams, beginnings...)
		openRecord.streams = openRecord.streams[max(0, len(openRecord.streams)-maxRecorded):]
	}
}

func (origins *Origins) saveRecord(ctx context.Context, current *openRecord) {
	origins.recordsMutex.Lock()
	unsaved := origins.unsaved
	origins.unsaved = nil
	origins.recordsMutex.Unlock()
	now := time.Now()
	current.add(unsaved, now.UnixMilli()/origins.recordInterval().Milliseconds()%recordSlots)
	if len(current.streams) == 0 || current.isSaved {
		return
	}
	value, err := encodeRecord(current.streams, now)
	if err == nil {
		saveContext, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		err = origins.Records.Save(saveContext, origins.Zone+"-"+strconv.FormatInt(current.slot, 10), value)
	}
	if err != nil {
		metrics.GetOrCreateCounter("nutmegfield_stream_records_failed_total").Inc()
		origins.Events.Record(eventRecordFailed, timeline.Event{
			Detail: err.Error(), Facts: []timeline.Fact{timeline.Count("streams", len(current.streams))},
		})
		return
	}
	current.isSaved = true
	metrics.GetOrCreateCounter("nutmegfield_stream_records_total").Inc()
	metrics.GetOrCreateCounter("nutmegfield_stream_record_bytes_total").Add(len(value))
}

// findRecorded returns the version that began a stream by the platform's records, 0 if they
// don't hold it or can't be read in time. Where few hosts read them, one of these is asked.
func (origins *Origins) findRecorded(ctx context.Context, question Question) balance.VersionID {
	if origins.Recorder == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	for {
		var isRead bool
		if address := origins.Recorder(); address == "" || origins.ReadsRecords() {
			isRead = origins.readRecords(ctx) == nil
		} else {
			isRead = origins.askReader(ctx, address, question)
		}
		origins.mutex.Lock()
		version := origins.known(question.Stream)
		origins.mutex.Unlock()
		if version != 0 || isRead || !pause.For(ctx, recordRetry) {
			return version
		}
	}
}

// askReader asks a host that reads records, and reports whether it has read them. What it
// knows of the stream is remembered.
func (origins *Origins) askReader(ctx context.Context, address string, question Question) bool {
	replies := make(chan reply, 1)
	origins.await(question.Stream, replies)
	defer origins.endAwait(question.Stream, replies)
	origins.Send(address, &Message{Questions: []Question{question}})
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	select {
	case reply := <-replies:
		if reply.Version != 0 {
			origins.mutex.Lock()
			origins.remember(question.Stream, &record{version: reply.Version, begunAt: time.Now()})
			origins.mutex.Unlock()
		}
		return reply.HasRead
	case <-ctx.Done():
		return false
	}
}

// readRecords reads the platform's records, unless that was done within recordsLifetime.
func (origins *Origins) readRecords(ctx context.Context) error {
	origins.readMutex.Lock()
	defer origins.readMutex.Unlock()
	if origins.hasRead() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	values, err := origins.Records.List(ctx)
	if err != nil {
		origins.Events.Record(eventRecordsUnread, timeline.Event{Detail: err.Error()})
		return fmt.Errorf("read records of streams: %w", err)
	}
	streams, skipped, now := 0, 0, time.Now()
	origins.mutex.Lock()
	for _, value := range values {
		beginnings, ok := decodeRecord(value)
		if !ok {
			skipped++
			continue
		}
		streams += len(beginnings)
		for _, beginning := range beginnings {
			if origins.streams[beginning.Stream] == nil {
				origins.remember(beginning.Stream, &record{version: beginning.Version, begunAt: now})
			}
		}
	}
	origins.mutex.Unlock()
	origins.recordsReadAt.Store(&now)
	origins.Events.Record(eventRecordsRead, timeline.Event{
		Facts: []timeline.Fact{timeline.Count("streams", streams), timeline.Count("skipped", skipped)},
	})
	return nil
}

// hasRead reports whether the records were read within recordsLifetime.
func (origins *Origins) hasRead() bool {
	readAt := origins.recordsReadAt.Load()
	return readAt != nil && time.Since(*readAt) < recordsLifetime
}
