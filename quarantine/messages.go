package quarantine

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// maxTransmissions is the number of messages that a host puts a change into. Each
// reaches two hosts, which pass the change on. As the number of hosts that know it
// grows by a factor with each message, all have it well before the last one.
const maxTransmissions = 8

// WaitForChange waits until there is something new to tell the other hosts, but not
// longer than a timeout or until the context ends.
func (suspects *Suspects) WaitForChange(ctx context.Context, timeout time.Duration) {
	suspects.mutex.Lock()
	if suspects.changed == nil {
		suspects.changed = make(chan struct{})
	}
	changed := suspects.changed
	suspects.mutex.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// TakeChanges returns up to count suspects that other hosts may not know yet, the most
// important first, and counts them as sent.
func (suspects *Suspects) TakeChanges(count int) []*Suspect {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	known := suspects.load()
	var changed []*Suspect
	for content, transmissions := range suspects.transmissions {
		if transmissions < maxTransmissions {
			changed = append(changed, known[content])
		}
	}
	slices.SortFunc(changed, func(one, other *Suspect) int {
		return cmp.Or(
			cmp.Compare(other.priority(), one.priority()),
			cmp.Compare(suspects.transmissions[one.Content], suspects.transmissions[other.Content]),
			cmp.Compare(one.Content, other.Content),
		)
	})
	changed = changed[:min(count, len(changed))]
	for _, suspect := range changed {
		suspects.transmissions[suspect.Content]++
	}
	return changed
}

// RepeatAll lets all suspects with endings be sent again, as a host is heard that may
// not know them.
func (suspects *Suspects) RepeatAll() {
	if suspects.IsEmpty() {
		return
	}
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	for content, suspect := range suspects.load() {
		if len(suspect.Endings) > 0 {
			suspects.transmissions[content] = 0
		}
	}
	suspects.notifyChanged()
}

// notifyChanged ends calls of WaitForChange.
func (suspects *Suspects) notifyChanged() {
	if suspects.changed != nil {
		close(suspects.changed)
		suspects.changed = nil
	}
}

// priority orders the suspects to send: quarantined ones come first, those with a
// single ending, most of which didn't crash it, last.
func (suspect *Suspect) priority() int {
	switch {
	case suspect.Quarantines > 0:
		return 3
	case len(suspect.Endings) >= quarantineCrashes-1:
		return 2
	case len(suspect.Endings) == 0:
		return 1
	default:
		return 0
	}
}

// NextQuarantined returns up to count quarantined suspects in turn, for hosts that
// have started since they were quarantined.
func (suspects *Suspects) NextQuarantined(count int) []*Suspect {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	now := time.Now()
	var quarantined []*Suspect
	for _, suspect := range suspects.load() {
		if suspect.isQuarantined(now) {
			quarantined = append(quarantined, suspect)
		}
	}
	if len(quarantined) == 0 {
		return nil
	}
	slices.SortFunc(quarantined, func(one, other *Suspect) int { return cmp.Compare(one.Content, other.Content) })
	first := suspects.nextRepeated % len(quarantined)
	suspects.nextRepeated = first + count
	return slices.Concat(quarantined[first:], quarantined[:first])[:min(count, len(quarantined))]
}
