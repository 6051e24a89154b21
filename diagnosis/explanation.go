package diagnosis

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"nutmegfield.example/timeline"
)

// Numbers of the events that an explanation uses. All events are listed in
// docs/EVENTS.md.
const (
	eventStarted        = 101
	eventRefused        = 1101
	eventUnknownVersion = 1127
	eventAborted        = 1102
	eventSent           = 1103
	eventAttemptFailed  = 1104
	eventAnswered       = 1108
	eventSuspected      = 1112
	eventLimited        = 1121
	eventNotLimited     = 1122
	eventUnreached      = 1131
	eventReached        = 1132
	eventNotContinued   = 1140
	eventForwarded      = 1133
	eventSkipped        = 1145
	eventUnread         = 1173
	eventPeerReporting  = 6101
	eventPeerSilent     = 6102
	eventPeerLeft       = 6103
	eventPlatformLost   = 8101
	eventPlatformBack   = 8102
	eventTargetChanged  = 8103
	eventRoutesInForce  = 8105
	eventEraBegan       = 8107
)

// Explanation describes how a request ended, and why, according to the logs.
type Explanation struct {
	Request string `json:"request"`
	Cause   string `json:"cause"`
	// Lines are the request's lines of all hosts, sorted by time.
	Lines []Line `json:"lines"`
	// KnownStates are the states that the request's hosts had logged before
	// their first line of the request.
	KnownStates []KnownState `json:"beliefs"`
}

// KnownState is a state that a host logged, such as the routes in force or a peer
// that is silent.
type KnownState struct {
	Host string `json:"host"`
	// Subject is the host itself, its routes, the platform, a peer or a target.
	Subject string `json:"about"`
	Text    string `json:"text"`
	// Age is the time from the line that logged the state to the host's first
	// line of the request.
	Age time.Duration `json:"age"`
}

// Explain returns the explanation of a request. If no line has the request's id,
// the explanation has no lines.
func Explain(lines []Line, request string) *Explanation {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(one, other Line) int { return one.Time.Compare(other.Time) })
	explanation := &Explanation{Request: request}
	for _, line := range sorted {
		if timeline.IsOf(line.Request, request) {
			explanation.Lines = append(explanation.Lines, line)
		}
	}
	if len(explanation.Lines) == 0 {
		explanation.Cause = "no line has this id: it reached no host, its host ended first, or its lines were left out (event 104)"
		return explanation
	}
	explanation.KnownStates = knownStates(sorted, explanation.Lines)
	explanation.Cause = findCause(sorted, explanation.Lines)
	return explanation
}

// knownStates returns the latest state of each subject that the request's hosts
// logged before their first line of the request, sorted by host and subject.
func knownStates(all, requestLines []Line) []KnownState {
	firstTimes := map[string]time.Time{}
	targets := map[string]bool{}
	for _, line := range requestLines {
		if _, ok := firstTimes[line.Host]; !ok {
			firstTimes[line.Host] = line.Time
		}
		targets[line.Target] = true
	}
	latest := map[[2]string]KnownState{}
	for _, line := range all {
		firstTime, ok := firstTimes[line.Host]
		if !ok || line.Time.After(firstTime) {
			continue
		}
		subject, text := knownStateOf(&line, targets)
		if subject == "" {
			continue
		}
		latest[[2]string{line.Host, subject}] = KnownState{Host: line.Host, Subject: subject, Text: text, Age: firstTime.Sub(line.Time)}
	}
	states := slices.Collect(maps.Values(latest))
	states = slices.DeleteFunc(states, func(knownState KnownState) bool { return knownState.Text == "" })
	slices.SortFunc(states, func(one, other KnownState) int {
		return cmp.Or(cmp.Compare(one.Host, other.Host), cmp.Compare(one.Subject, other.Subject))
	})
	return states
}

// knownStateOf returns the state that a line logs. subject is empty if the line
// logs no state, or that of a target not in targets; text is empty if the line
// ends an earlier state of the subject, such as a peer's silence.
func knownStateOf(line *Line, targets map[string]bool) (subject, text string) {
	switch line.Event {
	case eventStarted:
		return "itself", "started"
	case eventRoutesInForce:
		return "routes", "version " + line.Detail + " in force"
	case eventPlatformLost:
		return "platform", "lost: " + line.Detail
	case eventPlatformBack:
		return "platform", ""
	case eventEraBegan:
		return "platform's era", line.Detail + ", came back from an older copy"
	case eventPeerSilent:
		return "host " + line.Peer, "silent"
	case eventPeerReporting, eventPeerLeft:
		return "host " + line.Peer, ""
	case eventTargetChanged:
		if targets[line.Target] {
			return "target " + line.Target, line.Detail
		}
	case eventUnreached:
		return "pool " + line.Facts["pool"], "out of reach"
	case eventReached:
		return "pool " + line.Facts["pool"], ""
	case eventLimited:
		return "limit of " + line.Target, line.Facts["rate"] + " a second from all hosts"
	case eventNotLimited:
		return "limit of " + line.Target, ""
	}
	return "", ""
}

// findCause returns why a request ended as it did. The event of the request's last
// line decides, apart from suspicions, which may follow its end; all has the lines of
// all requests and hosts.
func findCause(all, requestLines []Line) string {
	last := requestLines[len(requestLines)-1]
	for _, line := range requestLines {
		if line.Event != eventSuspected {
			last = line
		}
	}
	var failures, skipped []string
	over := ""
	for _, line := range requestLines {
		switch line.Event {
		case eventSent:
			over = ""
		case eventForwarded:
			over = fmt.Sprintf(" (sent over host %s, as %s reached no target of pool %s)", line.Peer, line.Host, line.Facts["pool"])
		case eventAttemptFailed:
			failures = append(failures, line.Target+over+": "+strings.TrimSuffix(line.Detail, "; trying again"))
		case eventSkipped:
			skipped = append(skipped, skippedText(&line))
		}
	}
	switch last.Event {
	case eventAnswered:
		return answeredCause(&last, requestLines, failures) + over
	case eventRefused:
		if strings.HasSuffix(last.Detail, crashesTargets) {
			return crashingCause(all, &last)
		}
		if strings.HasSuffix(last.Detail, unknownVersion) {
			return unknownVersionCause(requestLines, &last)
		}
		text := refusedCause(&last, failures)
		if len(skipped) > 0 && saysNothing(last.Detail) {
			text += "; " + strings.Join(skipped, "; ")
		}
		return text
	case eventUnread:
		return "the caller did not read the answer, and lost its connection to " + last.Host
	case eventAborted:
		return abortedCause(&last, requestLines, failures)
	case eventSent:
		return unansweredCause(all, &last)
	case eventAttemptFailed:
		return "the target's own failure was passed on, or the caller left: " + strings.Join(failures, "; ")
	default:
		return last.Message + ": " + last.Detail
	}
}

// abortedCause explains an answer that had begun and was not completed. If an answer was
// refused as it did not continue the stream after the caller's last event, this is the cause.
func abortedCause(last *Line, requestLines []Line, failures []string) string {
	isRefused := func(line Line) bool {
		return line.Event == eventNotContinued && line.Facts["after"] == last.Facts["after"]
	}
	if !slices.ContainsFunc(requestLines, isRefused) {
		return "the answer had begun and broke off: " + last.Detail
	}
	text := strings.Join(failures, "; ")
	if !strings.HasSuffix(text, last.Detail) {
		// Something else kept the stream from another target.
		text += "; " + last.Detail
	}
	return fmt.Sprintf("the stream had begun and ended after event %s, as no target continued it: %s", last.Facts["after"], text)
}

// answeredCause explains a request that was answered, with the times from its
// lines and the attempts that failed before.
func answeredCause(last *Line, requestLines []Line, failures []string) string {
	var waited float64
	for _, line := range requestLines {
		if line.Event == eventSent {
			waited = line.numericFact("waitedMs")
		}
	}
	text := fmt.Sprintf("%s answered with %s, the first of it after %.0f ms (%.0f ms of it on this host), whole after %.0f ms",
		last.Target, last.Facts["status"], last.numericFact("firstMs"), waited, last.numericFact("tookMs"))
	if len(failures) > 0 {
		text += "; before it failed " + strings.Join(failures, "; ")
	}
	return text
}

// refusedCause explains a request that was refused, by the detail and the facts of
// its last line.
func refusedCause(last *Line, failures []string) string {
	switch {
	case strings.HasPrefix(last.Detail, "429"):
		return fmt.Sprintf("workspace %s had %s of %s left in its quota of %s a second; %s of %s hosts were not heard",
			last.Facts["workspace"], last.Facts["left"], last.Facts["burst"], last.Facts["rate"], last.Facts["hostsSilent"], last.Facts["hosts"])
	case strings.HasPrefix(last.Detail, "503 no target"):
		return noTargetCause(last, failures)
	case strings.HasSuffix(last.Detail, gaveWay) && last.Facts["waitedMs"] != "":
		return last.Detail + fmt.Sprintf(", after %s ms: memory was short, and the answer could not be in time any more (events 1171)", last.Facts["waitedMs"])
	case last.Facts["cause"] != "":
		return last.Detail + ": " + last.Facts["cause"]
	case last.Facts["routes"] != "":
		return last.Detail + " by routes of version " + last.Facts["routes"]
	default:
		return last.Detail
	}
}

// gaveWay ends the detail of refusals of requests that gave way to others.
const gaveWay = "the request gave way to others"

// saysNothing reports whether a refusal has a status that leaves open whether the request ran.
func saysNothing(detail string) bool {
	return strings.HasPrefix(detail, "502") || strings.HasPrefix(detail, "504")
}

// skippedText tells of an answer that was not taken as the request's own.
func skippedText(line *Line) string {
	says := ""
	if line.Facts["notRun"] == "true" {
		says = ", which says that the request did not run,"
	}
	return fmt.Sprintf("an answer of %s with status %s%s was not believed on a connection that had carried %s other requests: it %s",
		line.Target, line.Facts["status"], says, line.Facts["carried"], line.Detail)
}

// crashesTargets ends the detail of refusals of quarantined requests.
const crashesTargets = "the request crashes targets"

// crashingCause explains a request that was refused because its content, or something that
// it shares with others, is quarantined, with the targets that ended while they ran such
// requests, by the lines of all hosts.
func crashingCause(all []Line, last *Line) string {
	var endings []string
	named := map[string]bool{}
	for _, line := range all {
		has := line.Facts["content"] == last.Facts["content"] ||
			slices.Contains(strings.Split(line.Facts["shared"], ","), last.Facts["content"])
		if line.Event == eventSuspected && has && !named[line.Target] {
			named[line.Target] = true
			endings = append(endings, fmt.Sprintf("%s under %s on %s at %s (%s)",
				line.Target, line.Request, line.Host, line.Time.Format("15:04:05.000"), line.Detail))
		}
	}
	what := "of content " + last.Facts["content"]
	if shares := last.Facts["shares"]; shares != "" && shares != "content" {
		what = fmt.Sprintf("that share the %s (%s)", shares, last.Facts["content"])
	}
	text := fmt.Sprintf("%s: %s targets ended under requests %s, %s of them certainly",
		last.Detail, last.Facts["crashes"], what, last.Facts["certain"])
	if remaining := last.numericFact("remainingMs"); remaining > 0 {
		text += fmt.Sprintf(", it is refused for %.0f s more", remaining/1000)
	}
	if len(endings) > 0 {
		text += "; " + strings.Join(endings, "; ")
	}
	return text
}

// unknownVersion ends the detail of refusals of streams whose version nobody knows.
const unknownVersion = "the version that began the stream is unknown"

// unknownVersionCause explains a stream that did not go on where its caller took it up.
func unknownVersionCause(requestLines []Line, last *Line) string {
	text := fmt.Sprintf("%s: it was taken up as the one that %q began", last.Detail, last.Facts["resumes"])
	for _, line := range requestLines {
		if line.Event == eventUnknownVersion {
			text += fmt.Sprintf("; %s hosts were asked, %s answered, and the pool has or recently had several versions",
				line.Facts["asked"], line.Facts["answers"])
		}
	}
	return text
}

// noTargetCause explains a request that was refused because no target became free
// in time.
func noTargetCause(last *Line, failures []string) string {
	text := fmt.Sprintf("%s: it waited %s ms in rank %s, %s requests wait there and %s on other hosts, %s places look free",
		last.Facts["cause"], last.Facts["waitedMs"], last.Facts["rank"], last.Facts["waiting"], last.Facts["othersWaiting"], last.Facts["free"])
	if last.Facts["contended"] == "true" {
		text += ", too few for all hosts"
	}
	if limited := last.Facts["limited"]; limited != "" && limited != "0" {
		text += fmt.Sprintf("; %s targets take only %s requests a second from all hosts together", limited, last.Facts["limitedRate"])
	}
	if leaving := last.Facts["leaving"]; leaving != "" && leaving != "0" {
		text += fmt.Sprintf("; %s targets said that they leave", leaving)
	}
	if resting := last.Facts["resting"]; resting != "" && resting != "0" {
		text += fmt.Sprintf("; %s targets want no requests from this host for a time", resting)
	}
	if unreachable := last.Facts["unreachable"]; unreachable != "" && unreachable != "0" {
		text += fmt.Sprintf("; this host could not connect to %s targets", unreachable)
	}
	if last.Facts["returned"] == "true" {
		text += "; its caller had come back after a refusal and stood behind others of the rank"
	}
	if len(failures) > 0 {
		text += "; before that failed " + strings.Join(failures, "; ")
	}
	return text
}

// unansweredCause explains a request whose last line is that it was sent to a
// target. If its host did not start again later, the text lists the possible causes.
func unansweredCause(all []Line, last *Line) string {
	for _, line := range all {
		if line.Host == last.Host && line.Event == eventStarted && line.Time.After(last.Time) {
			return fmt.Sprintf("%s ended while %s ran it, and started again at %s", last.Host, last.Target, line.Time.Format(time.RFC3339Nano))
		}
	}
	return fmt.Sprintf("nothing after it was sent to %s: the caller left, the host ended, or the line was left out (event 104)", last.Target)
}

// WriteText writes the explanation as text.
func (explanation *Explanation) WriteText(writer io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s\ncause: %s\n", explanation.Request, explanation.Cause)
	for _, line := range explanation.Lines {
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
	if len(explanation.KnownStates) > 0 {
		text.WriteString("what its hosts knew then:\n")
	}
	for _, knownState := range explanation.KnownStates {
		fmt.Fprintf(&text, "  %s  %s  %s, for %s\n", knownState.Host, knownState.Subject, knownState.Text, knownState.Age.Round(time.Millisecond))
	}
	if _, err := io.WriteString(writer, text.String()); err != nil {
		return fmt.Errorf("write explanation: %w", err)
	}
	return nil
}
