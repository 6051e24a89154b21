// Package status writes a summary of each zone's hosts to the platform. One host
// of a zone writes it, every 30 s on average, so that the rate of platform calls
// depends on the number of zones and not on the number of hosts.
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
	// ObjectKind is the object kind of the summaries; the object's name is the
	// zone.
	ObjectKind = "status"
	// Interval is the average interval between two summaries of a zone.
	Interval = 30 * time.Second

	// responsibilityKey is the key by which a zone's hosts agree on the one that
	// writes the summary.
	responsibilityKey = "status"
)

// Summary lists the hosts of a zone that its writer considers live.
type Summary struct {
	Zone string `json:"zone"`
	// Writer is the id of the host that wrote the summary.
	Writer string `json:"writer"`
	// WrittenAt is the time of writing by the writer's clock.
	WrittenAt time.Time `json:"written"`
	// Version is the configuration version in force on the writer.
	Version int64  `json:"version"`
	Hosts   []Host `json:"hosts"`
	// HostsByOtherZone is the number of hosts in each other zone that the writer
	// considers live.
	HostsByOtherZone map[string]int `json:"others"`
}

// Host describes a live host of the zone.
type Host struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
	// Version is the configuration version that the host last reported; 0
	// before its first report.
	Version int64 `json:"version"`
	// ReceivedAt is when that report was received; zero before the first.
	ReceivedAt time.Time `json:"heard,omitzero"`
}

// Writer writes the zone's summary while this host is responsible for it.
// Fields are set before Run.
type Writer struct {
	API     objects.API
	Members *peer.Members

	mutex sync.Mutex
	// reports maps a host's id to the version that it last reported.
	reports map[string]versionReport
}

// versionReport is the configuration version that a host last reported.
type versionReport struct {
	version    int64
	receivedAt time.Time
}

// RecordVersion stores the configuration version that a host has in force.
func (writer *Writer) RecordVersion(host string, version int64) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if writer.reports == nil {
		writer.reports = map[string]versionReport{}
	}
	writer.reports[host] = versionReport{version, time.Now()}
}

// Run writes summaries until the context ends.
func (writer *Writer) Run(ctx context.Context) error {
	for {
		if !pause.For(ctx, pause.Jitter(Interval)) {
			return nil
		}
		writer.pruneReports()
		self := writer.Members.Self
		responsible, ok := writer.Members.View().Responsible(self.Zone, responsibilityKey)
		if ok && responsible.ID == self.ID {
			// After a failure, the next run writes a newer summary.
			_ = writer.writeSummary(ctx)
		}
	}
}

// writeSummary replaces the zone's summary on the platform.
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

// pruneReports removes the reports of hosts that are no longer members.
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
