package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
)

var (
	eventTargetLeaving = timeline.Define(timeline.Kind{
		Number: 1123, Name: "target said that it leaves", Level: timeline.Info,
		Meaning: "An answer of a target said that it leaves. It gets no new requests, whatever its entry says; the other hosts are told.",
	})
	eventLeavingLearned = timeline.Define(timeline.Kind{
		Number: 1125, Name: "leaving target learned", Level: timeline.Info,
		Meaning: "Another host, or the summary of a zone, which the peer names, said that the target leaves. It gets no new requests from this host either.",
	})
	eventBrittle = timeline.Define(timeline.Kind{
		Number: 1136, Name: "targets are brittle", Level: timeline.Warn,
		Meaning: "A target said that those of its pool end when one has to turn away more requests in a second than the fact limit. Hosts let none wait there and divide the slots among them, until none has said so for 5 s.",
		Action:  "find out why the targets are in need; more requests are refused meanwhile",
	})
	eventTargetRests = timeline.Define(timeline.Kind{
		Number: 1124, Name: "target rests", Level: timeline.Info, Frequent: true,
		Meaning: "A target turned a request away and wants no requests from this host for the time in the fact rest.",
	})
)

var (
	leavingAnnounced = metrics.GetOrCreateCounter(`nutmegfield_announcements_total{what="leaving"}`)
	brittleAnnounced = metrics.GetOrCreateCounter(`nutmegfield_announcements_total{what="brittle"}`)
	restsAnnounced   = metrics.GetOrCreateCounter(`nutmegfield_announcements_total{what="rest"}`)
	restsCut         = metrics.GetOrCreateCounter(`nutmegfield_announcements_total{what="restCut"}`)
	restsUnreadable  = metrics.GetOrCreateCounter(`nutmegfield_announcements_total{what="restUnreadable"}`)
	durationsTold    = metrics.GetOrCreateCounter(`nutmegfield_announcements_total{what="duration"}`)
	loadsUnreadable  = metrics.GetOrCreateCounter(`nutmegfield_announcements_total{what="loadUnreadable"}`)
)

// observeAnnouncement records what an answer says of further requests to its target. An
// answer of another incarnation says nothing of it.
func (gateway *Gateway) observeAnnouncement(target *balance.Target, reply Reply) {
	if reply.Misdirected {
		return
	}
	if reply.Leaving && gateway.Balancer.RecordLeaving(target) {
		leavingAnnounced.Inc()
		gateway.Events.Record(eventTargetLeaving, timeline.Event{Pool: target.Pool, Target: target.ID})
	}
	if reply.Brittle > 0 && gateway.Balancer.RecordBrittle(target, reply.Brittle) {
		brittleAnnounced.Inc()
		gateway.Events.Record(eventBrittle, timeline.Event{
			Pool: target.Pool, Target: target.ID, Facts: []timeline.Fact{timeline.Count("limit", reply.Brittle)},
		})
	}
	if reply.Load.Duration > 0 {
		durationsTold.Inc()
	}
	if reply.HasUnreadableLoad {
		loadsUnreadable.Inc()
	}
	if reply.HasUnreadableRest {
		restsUnreadable.Inc()
	}
	if reply.Rest > 0 {
		rest := gateway.Balancer.RecordRest(target, reply.Rest)
		restsAnnounced.Inc()
		if rest < reply.Rest {
			restsCut.Inc()
		}
		gateway.Events.Record(eventTargetRests, timeline.Event{
			Pool: target.Pool, Target: target.ID, Facts: []timeline.Fact{timeline.Duration("rest", rest)},
		})
	}
}
