package diagnosis

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Events that a story is made of; docs/EVENTS.md has them all.
const (
	eventStarted       = 101
	eventRefused       = 1101
	eventBroken        = 1102
	eventSent          = 1103
	eventAttemptFailed = 1104
	eventAnswered      = 1108
	eventPeerHeard     = 6101
	eventPeerSilent    = 6102
	eventPeerLeft      = 6103
	eventPlatformLost  = 8101
	eventPlatformBack  = 8102
	eventTarget        = 8103
	eventRoutes        = 8105
)

// Story is what the logs tell of a request.
type Story struct {
	Request string `json:"request"`
	Cause   string `json:"cause"`
	// Lines are the request's, in order over all hosts.
	Lines []Line `json:"lines"`
	// Beliefs are what its hosts held for true when they first saw it.
	Beliefs []Belief `json:"beliefs"`
}

// Belief is what a host held for true.
type Belief struct {
	Host string `json:"host"`
	// About is the subject: the routes, the platform, a peer, a target.
	About string `json:"about"`
	Text  string `json:"text"`
	// Age is how long before the request's first line there the host came to
	// hold it.
	Age time.Duration `json:"age"`
}

// Explain tells the story of a request; its lines are empty if there are none.
func Explain(lines []Line, request string) *Story {
	ordered := slices.Clone(lines)
	slices.SortStableFunc(ordered, func(one, other Line) int { return one.Time.Compare(other.Time) })
	story := &Story{Request: request}
	for _, line := range ordered {
		if line.Request == request {
			story.Lines = append(story.Lines, line)
		}
	}
	if len(story.Lines) == 0 {
		story.Cause = "no line has this id: it reached no host, its host ended first, or its lines were left out (event 104)"
		return story
	}
	story.Beliefs = beliefs(ordered, story.Lines)
	story.Cause = cause(ordered, story.Lines)
	return story
}

// beliefs returns what the hosts of a request held for true.
func beliefs(all, request []Line) []Belief {
	first := map[string]time.Time{}
	targets := map[string]bool{}
	for _, line := range request {
		if _, ok := first[line.Host]; !ok {
			first[line.Host] = line.Time
		}
		targets[line.Target] = true
	}
	held := map[[2]string]Belief{}
	for _, line := range all {
		at, ok := first[line.Host]
		if !ok || line.Time.After(at) {
			continue
		}
		about, text := belief(&line, targets)
		if about == "" {
			continue
		}
		held[[2]string{line.Host, about}] = Belief{Host: line.Host, About: about, Text: text, Age: at.Sub(line.Time)}
	}
	found := slices.Collect(maps.Values(held))
	found = slices.DeleteFunc(found, func(belief Belief) bool { return belief.Text == "" })
	slices.SortFunc(found, func(one, other Belief) int {
		return cmp.Or(cmp.Compare(one.Host, other.Host), cmp.Compare(one.About, other.About))
	})
	return found
}

// belief returns what a line makes its host hold for true. An empty text ends
// a belief.
func belief(line *Line, targets map[string]bool) (about, text string) {
	switch line.Event {
	case eventStarted:
		return "itself", "started"
	case eventRoutes:
		return "routes", "version " + line.Detail + " in force"
	case eventPlatformLost:
		return "platform", "lost: " + line.Detail
	case eventPlatformBack:
		return "platform", ""
	case eventPeerSilent:
		return "host " + line.Peer, "silent"
	case eventPeerHeard, eventPeerLeft:
		return "host " + line.Peer, ""
	case eventTarget:
		if targets[line.Target] {
			return "target " + line.Target, line.Detail
		}
	}
	return "", ""
}

// cause names why a request ended as it did.
func cause(all, request []Line) string {
	last := request[len(request)-1]
	var failed []string
	for _, line := range request {
		if line.Event == eventAttemptFailed {
			failed = append(failed, line.Target+": "+strings.TrimSuffix(line.Detail, "; trying again"))
		}
	}
	switch last.Event {
	case eventAnswered:
		return answered(&last, request, failed)
	case eventRefused:
		return refused(&last, failed)
	case eventBroken:
		return "the answer had begun and broke off: " + last.Detail
	case eventSent:
		return unanswered(all, &last)
	case eventAttemptFailed:
		return "the target's own failure was passed on, or the caller left: " + strings.Join(failed, "; ")
	default:
		return last.Message + ": " + last.Detail
	}
}

func answered(last *Line, request []Line, failed []string) string {
	var waited float64
	for _, line := range request {
		if line.Event == eventSent {
			waited = line.number("waitedMs")
		}
	}
	text := fmt.Sprintf("%s answered with %s, the first of it after %.0f ms (%.0f ms of it on this host), whole after %.0f ms",
		last.Target, last.Facts["status"], last.number("firstMs"), waited, last.number("tookMs"))
	if len(failed) > 0 {
		text += "; before it failed " + strings.Join(failed, "; ")
	}
	return text
}

func refused(last *Line, failed []string) string {
	switch {
	case strings.HasPrefix(last.Detail, "429"):
		return fmt.Sprintf("workspace %s had %s of %s left in its quota of %s a second; %s of %s hosts were not heard",
			last.Facts["workspace"], last.Facts["left"], last.Facts["burst"], last.Facts["rate"], last.Facts["hostsSilent"], last.Facts["hosts"])
	case strings.HasPrefix(last.Detail, "503 no target"):
		return noTarget(last, failed)
	case last.Facts["cause"] != "":
		return last.Detail + ": " + last.Facts["cause"]
	case last.Facts["routes"] != "":
		return last.Detail + " by routes of version " + last.Facts["routes"]
	default:
		return last.Detail
	}
}

// noTarget is for a request that no target took in time.
func noTarget(last *Line, failed []string) string {
	text := fmt.Sprintf("%s: it waited %s ms in rank %s, %s requests wait there and %s on other hosts, %s places look free",
		last.Facts["cause"], last.Facts["waitedMs"], last.Facts["rank"], last.Facts["waiting"], last.Facts["othersWaiting"], last.Facts["free"])
	if last.Facts["contended"] == "true" {
		text += ", too few for all hosts"
	}
	if last.Facts["returned"] == "true" {
		text += "; its caller had come back after a refusal and stood behind others of the rank"
	}
	if len(failed) > 0 {
		text += "; before that failed " + strings.Join(failed, "; ")
	}
	return text
}

// unanswered is for a request that was sent and has no more lines.
func unanswered(all []Line, last *Line) string {
	for _, line := range all {
		if line.Host == last.Host && line.Event == eventStarted && line.Time.After(last.Time) {
			return fmt.Sprintf("%s ended while %s ran it, and started again at %s", last.Host, last.Target, line.Time.Format(time.RFC3339Nano))
		}
	}
	return fmt.Sprintf("nothing after it was sent to %s: the caller left, the host ended, or the line was left out (event 104)", last.Target)
}

// WriteText writes a story for people.
func (story *Story) WriteText(writer io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s\ncause: %s\n", story.Request, story.Cause)
	for _, line := range story.Lines {
		fmt.Fprintf(&text, "%s  %s  %d %s", line.Time.Format("15:04:05.000"), line.Host, line.Event, line.Message)
		if line.Target != "" {
			fmt.Fprintf(&text, "  %s", line.Target)
		}
		if line.Detail != "" {
			fmt.Fprintf(&text, "  %s", line.Detail)
		}
		for _, name := range slices.Sorted(maps.Keys(line.Facts)) {
			fmt.Fprintf(&text, "  %s=%s", name, line.Facts[name])
		}
		text.WriteByte('\n')
	}
	if len(story.Beliefs) > 0 {
		text.WriteString("what its hosts held for true then:\n")
	}
	for _, belief := range story.Beliefs {
		fmt.Fprintf(&text, "  %s  %s  %s, for %s\n", belief.Host, belief.About, belief.Text, belief.Age.Round(time.Millisecond))
	}
	if _, err := io.WriteString(writer, text.String()); err != nil {
		return fmt.Errorf("write the story: %w", err)
	}
	return nil
}
