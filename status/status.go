// Package status writes what a zone's hosts know of each other to the
// platform, seldom and from one host of a zone, so that the calls do not grow
// with the fleet.
package status

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"nutmegfield.example/objects"
	"nutmegfield.example/pause"
	"nutmegfield.example/peer"
)

const (
	// ObjectKind is the kind of the summaries; each is named after its zone.
	ObjectKind = "status"
	// Interval is the mean time between two summaries of a zone.
	Interval = 30 * time.Second

	// responsibilityKey ranks a zone's hosts for writing.
	responsibilityKey = "status"
)

// Summary is what one zone looks like from the host that writes it.
type Summary struct {
	Zone   string `json:"zone"`
	Writer string `json:"writer"`
	// WrittenAt is by the writer's clock.
	WrittenAt time.Time `json:"written"`
	// Version is the configuration in force on the writer.
	Version int64  `json:"version"`
	Hosts   []Host `json:"hosts"`
	// HostsByOtherZone is the number of live hosts of each other zone, as seen here.
	HostsByOtherZone map[string]int `json:"others"`
}

// Host is one live host of the zone.
type Host struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
	// Version is the configuration in force there when it was last heard, 0
	// if it was not heard yet.
	Version int64 `json:"version"`
	// ReceivedAt is when that was; absent if never.
	ReceivedAt time.Time `json:"heard,omitzero"`
}

// Writer writes a zone's summary while this host is responsible for it.
// Fields are set before Run.
type Writer struct {
	API     objects.API
	Members *peer.Members

	mutex   sync.Mutex
	reports map[string]versionReport
}

// versionReport is what a host said last.
type versionReport struct {
	version    int64
	receivedAt time.Time
}

// RecordVersion notes the version that a host has in force.
func (writer *Writer) RecordVersion(host string, version int64) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if writer.reports == nil {
		writer.reports = map[string]versionReport{}
	}
	writer.reports[host] = versionReport{version, time.Now()}
}

// Run writes until the context ends.
func (writer *Writer) Run(ctx context.Context) error {
	for {
		if !pause.For(ctx, pause.Jitter(Interval)) {
			return nil
		}
		writer.pruneReports()
		self := writer.Members.Self
		responsible, ok := writer.Members.View().Responsible(self.Zone, responsibilityKey)
		if ok && responsible.ID == self.ID {
			// A summary that can't be written is written next time.
			_ = writer.writeSummary(ctx)
		}
	}
}

// writeSummary puts the summary in place of the present one.
func (writer *Writer) writeSummary(ctx context.Context) error {
	value, err := json.Marshal(writer.newSummary())
	if err != nil {
		return fmt.Errorf("encode summary: %w", err)
	}
	change := func(objects.Object) ([]byte, error) { return value, nil }
	if _, err := writer.API.Update(ctx, ObjectKind, writer.Members.Self.Zone, change); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

func (writer *Writer) newSummary() Summary {
	self := writer.Members.Self
	summary := Summary{
		Zone:             self.Zone,
		Writer:           self.ID,
		WrittenAt:        time.Now(),
		Version:          writer.Members.Version(),
		HostsByOtherZone: map[string]int{},
	}
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	for _, host := range writer.Members.View().Hosts {
		if host.Zone != self.Zone {
			summary.HostsByOtherZone[host.Zone]++
			continue
		}
		report := writer.reports[host.ID]
		if host.ID == self.ID {
			report = versionReport{summary.Version, summary.WrittenAt}
		}
		summary.Hosts = append(summary.Hosts, Host{
			ID: host.ID, Address: host.Address, Leaving: host.Leaving, Version: report.version, ReceivedAt: report.receivedAt,
		})
	}
	return summary
}

// pruneReports drops what was heard of hosts that are gone.
func (writer *Writer) pruneReports() {
	view := writer.Members.View()
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	for id := range writer.reports {
		if _, ok := view.Find(id); !ok {
			delete(writer.reports, id)
		}
	}
}
