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

// transmission is the number of messages that the latest change of a trait was in, and that of all
// messages with changes before it.
type transmission struct {
	count, since int
}

// TakeChanges calls add for the suspects that other hosts may not know yet, by when they are due,
// until add returns false. It counts those that were added as sent.
func (suspects *Suspects) TakeChanges(add func(suspect *Suspect) bool) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	known := suspects.load()
	var changed []*Suspect
	for trait, transmission := range suspects.transmissions {
		if transmission.count < maxTransmissions {
			changed = append(changed, known[trait])
		}
	}
	if len(changed) == 0 {
		return
	}
	suspects.messages++
	countUntold(len(changed))
	slices.SortFunc(changed, func(one, other *Suspect) int {
		return cmp.Or(
			cmp.Compare(suspects.dueAt(one), suspects.dueAt(other)),
			// The other traits of a request mostly tell the same as its content.
			cmp.Compare(other.Depth, one.Depth),
			cmp.Compare(one.Trait, other.Trait),
		)
	})
	for _, suspect := range changed {
		if !add(suspect) {
			return
		}
		sent := suspects.transmissions[suspect.Trait]
		sent.count++
		suspects.transmissions[suspect.Trait] = sent
	}
}

// dueAt returns the number of the message in which a suspect is due. It grows with the messages that
// the suspect was in, so that those of which this host knows a single ending don't wait for all
// messages with others: that ending may be what another host lacks.
func (suspects *Suspects) dueAt(suspect *Suspect) int {
	transmission := suspects.transmissions[suspect.Trait]
	return transmission.since + suspects.patience(suspect)*(1+transmission.count)
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
			suspects.transmissions[trait] = transmission{since: suspects.messages}
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

// patience returns the number of messages after which a suspect that changed is due. Those that
// are quarantined, or may soon be, come first, then what was cleared and what this host alone may
// know. Most of the suspects with a single ending didn't crash it, and what targets served before
// rarely crashes them.
func (suspects *Suspects) patience(suspect *Suspect) int {
	_, isOwn := suspects.own[suspect.Trait]
	switch {
	case suspect.Quarantines > 0 && !suspect.explained:
		return 1
	case len(suspect.Endings) == 0:
		return 3
	case suspect.ServedBefore, suspect.explained:
		return 12
	case len(suspect.Endings) >= quarantineCrashes-1 && !suspect.Trait.isShared():
		return 1
	case len(suspect.Endings) >= quarantineCrashes-1:
		return 2
	case isOwn && !suspect.Trait.isShared():
		return 3
	case isOwn, !suspect.Trait.isShared():
		return 6
	default:
		return 12
	}
}

// NextQuarantined calls add for up to count of the quarantined suspects in turn, for hosts that
// may not know them, until add returns false. The next call goes on from there.
func (suspects *Suspects) NextQuarantined(count int, add func(suspect *Suspect) bool) {
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
	for range min(count, len(quarantined)) {
		if !add(quarantined[suspects.nextRepeated%len(quarantined)]) {
			return
		}
		suspects.nextRepeated++
	}
}
