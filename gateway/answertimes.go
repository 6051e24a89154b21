package gateway

import (
	"sync"
	"time"

	"nutmegfield.example/route"
)

const (
	// answerTimePeriod is for how long the longest answer of a route is kept at least; twice as
	// long at most.
	answerTimePeriod = time.Minute
	// answerTimeSpare is the part of the longest answer by which another one may be longer.
	answerTimeSpare = 2
)

// answerTimes keeps how long targets take for the longest answers of each route. The zero value
// is ready for use.
type answerTimes struct {
	mutex sync.Mutex
	// present and before are the longest of two periods, the first of which began at beganAt.
	present, before map[string]time.Duration
	beganAt         time.Time
}

// record records how long a request of a route was at a target.
func (answerTimes *answerTimes) record(route *route.Route, took time.Duration) {
	answerTimes.mutex.Lock()
	defer answerTimes.mutex.Unlock()
	if now := time.Now(); now.Sub(answerTimes.beganAt) >= answerTimePeriod {
		answerTimes.before, answerTimes.present = answerTimes.present, map[string]time.Duration{}
		answerTimes.beganAt = now
	}
	name := route.Host + route.Prefix
	if took > answerTimes.present[name] {
		answerTimes.present[name] = took
	}
}

// longest returns the time of the longest answer of a route, 0 if there was none.
func (answerTimes *answerTimes) longest(route *route.Route) time.Duration {
	answerTimes.mutex.Lock()
	defer answerTimes.mutex.Unlock()
	name := route.Host + route.Prefix
	return max(answerTimes.present[name], answerTimes.before[name])
}
