package discovery

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/timeline"
)

// TestEras checks how eras are ordered: by what answers name and other hosts know. A step
// is "answer ERA", "late ERA" for an answer to a call that was made before the last change,
// or "learn ERA"; behind it stands the era that the answer is of, or "-" if it is none, and
// the events that began by then.
func TestEras(t *testing.T) {
	for _, script := range []string{
		"answer 3: 3; answer 3: 3; answer 4: 4 8107; answer 6: 6 8107; late 4: -; answer 6: 6",
		"answer 0: 0; answer 1: 1 8107; learn 1: 1; learn 2: 2 8107",
		"answer 1: 1; learn 2: 2 8107; late 1: -; answer 2: 2; answer 3: 3 8107",
		"answer 1: 1; learn 2: 2 8107; answer 3: 3 8107; late 2: -; late 3: 3",
		"learn 2: 2; answer 2: 2; learn 1: 2; answer 3: 3 8107",
		"answer 5: 5; answer 3: 6 8108 8107; answer 3: 6; late 5: -; answer 4: 7 8107",
		"answer 5: 5; learn 6: 6 8107; answer 3: 6; learn 6: 6; answer 3: 6; answer 4: 7 8107",
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			recorder := &timeline.Recorder{}
			eras := &Eras{Events: recorder}
			began, seen := 0, 0
			eras.OnChange = func() { began++ }
			for step := range strings.SplitSeq(script, "; ") {
				var kind string
				var number int64
				action, want, _ := strings.Cut(step, ": ")
				_, err := fmt.Sscan(action, &kind, &number)
				c.Assert(err, qt.IsNil)
				calledAt := time.Now()
				if kind == "late" {
					calledAt = eras.changedAt.Add(-time.Millisecond)
				}
				var got string
				if kind == "learn" {
					eras.Learn(number << revisionBits)
					got = fmt.Sprint(eras.Current())
				} else if era, err := eras.Observe(number, calledAt); err != nil {
					c.Check(Is(err, Unavailable), qt.IsTrue)
					got = "-"
				} else {
					got = fmt.Sprint(era)
				}
				events := recorder.Events()
				for _, event := range events[seen:] {
					got += fmt.Sprint(" ", event.Number)
				}
				seen = len(events)
				c.Assert(got, qt.Equals, want, qt.Commentf("%s of %s", step, script))
				time.Sleep(time.Second)
			}
			c.Assert(began, qt.Equals, strings.Count(script, "8107"))
		})
	}
}
