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
	waitFor(ctx, changed, timeout)
}

// waitFor waits until a channel is closed, but not longer than a timeout or until the
// context ends.
func waitFor(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// TakeChanges calls add for the suspects that other hosts may not know yet, the most
// important first, until add returns false. It counts those that were added as sent.
func (suspects *Suspects) TakeChanges(add func(suspect *Suspect) bool) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	known := suspects.load()
	var changed []*Suspect
	for trait, transmissions := range suspects.transmissions {
		if transmissions < maxTransmissions {
			changed = append(changed, known[trait])
		}
	}
	countUntold(len(changed))
	slices.SortFunc(changed, func(one, other *Suspect) int {
		return cmp.Or(
			cmp.Compare(other.priority(), one.priority()),
			cmp.Compare(suspects.transmissions[one.Trait], suspects.transmissions[other.Trait]),
			cmp.Compare(one.Trait, other.Trait),
		)
	})
	for _, suspect := range changed {
		if !add(suspect) {
			return
		}
		suspects.transmissions[suspect.Trait]++
	}
}

// RepeatAll lets all suspects with endings be sent again, as a host is heard that may
// not know them.
func (suspects *Suspects) RepeatAll() {
	if suspects.IsEmpty() {
		return
	}
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	for trait, suspect := range suspects.load() {
		if len(suspect.Endings) > 0 {
			suspects.transmissions[trait] = 0
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
	case suspect.Quarantines > 0 && !suspect.explained:
		return 3
	case len(suspect.Endings) >= quarantineCrashes-1:
		return 2
	case len(suspect.Endings) == 0:
		return 1
	default:
		return 0
	}
}

// NextQuarantined calls add for the quarantined suspects in turn, for hosts that may
// not know them, until add returns false. The next call goes on from there.
func (suspects *Suspects) NextQuarantined(add func(suspect *Suspect) bool) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	now := time.Now()
	var quarantined []*Suspect
	for _, suspect := range suspects.load() {
		if suspect.isQuarantined(now) {
			quarantined = append(quarantined, suspect)
		}
	}
	slices.SortFunc(quarantined, func(one, other *Suspect) int { return cmp.Compare(one.Trait, other.Trait) })
	for range quarantined {
		if !add(quarantined[suspects.nextRepeated%len(quarantined)]) {
			return
		}
		suspects.nextRepeated++
	}
}
