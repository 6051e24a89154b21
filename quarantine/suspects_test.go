package quarantine

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"
)

// TestSuspects runs the scripts of testdata/suspects.txtar: what hosts observe of
// traits and tell each other, and which requests they refuse. Its commands are
// documented at suspectScript.run.
func TestSuspects(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "suspects.txtar"))
	qt.Assert(t, err, qt.IsNil)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				script := &suspectScript{C: qt.New(t), hosts: map[string]*Suspects{}, answers: map[string]time.Time{}}
				for line := range strings.Lines(string(file.Data)) {
					t.Log(line)
					script.run(strings.Fields(line))
				}
			})
		})
	}
}

type suspectScript struct {
	*qt.C
	hosts map[string]*Suspects
	// answers are the last answers of targets, by host and target.
	answers  map[string]time.Time
	releases []func()
}

// run executes a command:
//
//	crash HOST REQUEST TARGET [silent]  a target ended under a request
//	crashes HOST COUNT                  targets ended under many traits
//	served HOST REQUEST                 a target served a request
//	answer HOST TARGET                  a target answered
//	tell FROM TO                        a host sends what it knows
//	hear HOST PART TARGET...            a host hears that targets ended under a part
//	restart HOST
//	admit HOST REQUEST                  a request is admitted and goes on
//	release                             such requests end
//	wait DURATION
//	want HOST REQUEST admitted|refused
//	size HOST COUNT                     the number of suspects
func (script *suspectScript) run(words []string) {
	if len(words) == 0 || words[0] == "#" {
		return
	}
	number := func(i int) int {
		number, err := strconv.Atoi(words[i])
		script.Assert(err, qt.IsNil)
		return number
	}
	switch words[0] {
	case "crash":
		evidence := Refused
		if len(words) > 4 {
			evidence = Silent
		}
		script.host(words[1]).RecordCrash(Crash{
			Traits: script.traits(words[2]), Target: Incarnation(number(3)), At: time.Now(), Evidence: evidence,
		})
	case "crashes":
		for i := range number(2) {
			script.host(words[1]).RecordCrash(Crash{Traits: Traits{Content: Trait(1000 + i)}, At: time.Now(), Evidence: Refused})
		}
	case "served":
		traits := script.traits(words[2])
		script.host(words[1]).RecordServed(traits.Shared, func() Trait { return traits.Content })
	case "answer":
		script.answers[words[1]+words[2]] = time.Now()
		script.host(words[1]).RecordAnswer(Incarnation(number(2)))
	case "tell":
		for _, suspect := range script.host(words[1]).load() {
			script.host(words[2]).Learn(words[1], suspect)
		}
	case "hear":
		heard := &Suspect{Trait: NewShared("part", words[2])}
		for i := range words[3:] {
			heard.Endings = append(heard.Endings, Ending{Target: Incarnation(number(3 + i)), At: time.Now(), Certain: true})
		}
		script.host(words[1]).Learn("c", heard)
	case "restart":
		delete(script.hosts, words[1])
	case "admit":
		_, admitted, release := script.host(words[1]).Admit(script.traits(words[2]))
		script.Assert(admitted, qt.IsTrue)
		script.releases = append(script.releases, release)
	case "release":
		for _, release := range script.releases {
			release()
		}
		script.releases = nil
	case "wait":
		duration, err := time.ParseDuration(words[1])
		script.Assert(err, qt.IsNil)
		time.Sleep(duration)
		for _, host := range script.hosts {
			host.expire(time.Now())
		}
	case "want":
		_, admitted, release := script.host(words[1]).Admit(script.traits(words[2]))
		if admitted {
			release()
		}
		script.Assert(admitted, qt.Equals, words[3] == "admitted", qt.Commentf("%v", words))
	case "size":
		script.Assert(script.host(words[1]).load(), qt.HasLen, number(2))
	default:
		script.Fatalf("unknown command %q", words[0])
	}
}

// traits returns the traits of a request, written as its content and the traits that it
// shares with others, which begin with a letter: 1/prompt,subject.
func (script *suspectScript) traits(word string) Traits {
	content, rest, _ := strings.Cut(word, "/")
	number, err := strconv.Atoi(content)
	script.Assert(err, qt.IsNil)
	traits := Traits{Content: Trait(number)}
	for value := range strings.SplitSeq(rest, ",") {
		if value != "" {
			traits.Shared = append(traits.Shared, NewShared("part", value))
		}
	}
	return traits
}

func (script *suspectScript) host(name string) *Suspects {
	if script.hosts[name] == nil {
		script.hosts[name] = &Suspects{LastAnswer: func(target Incarnation) time.Time {
			return script.answers[name+fmt.Sprint(target)]
		}}
	}
	return script.hosts[name]
}

// TestFullOfQuarantines guards against a crash of the host when a new suspect finds
// only more important ones: it is dropped itself.
func TestFullOfQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		suspects := &Suspects{LastAnswer: func(Incarnation) time.Time { return time.Time{} }}
		for i := range maxSuspects {
			suspects.crash(Trait(1+i), 1, 2, 3)
		}
		suspects.crash(5000, 1)
		suspects.Learn("b", &Suspect{Trait: 5001, Endings: []Ending{{Target: 1, At: time.Now(), Certain: true}}})
		suspects.Learn("b", &Suspect{Trait: 5002, ClearedAt: time.Now()})
		taken := 0
		suspects.TakeChanges(func(suspect *Suspect) bool {
			taken++
			return suspect.Trait < 5000
		})
		c.Assert(taken, qt.Equals, maxSuspects)
		c.Assert(suspects.load(), qt.HasLen, maxSuspects)
	})
}
