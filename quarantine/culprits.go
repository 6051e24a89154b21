package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// usualCrashes is the number of targets that must have ended under a trait that was
	// served before, one after the other, before it is quarantined. Many requests have
	// such a trait, so that it is present wherever targets end.
	usualCrashes = 4
	// usualBias is the number of endings by which a trait that was not served before is
	// preferred as the cause of endings.
	usualBias = 2
	// usualDelay is the time from the ending that suffices until a trait that was served
	// before is quarantined; an answer within it clears the trait.
	usualDelay = time.Second
	// sharedQuarantine is the length of the first quarantine of a shared trait. It is short,
	// as many requests may have it and it may not be at fault.
	sharedQuarantine = 10 * time.Second
	// burstCrashes is the number of targets that suffice whenever they ended, if the trait
	// was not served before.
	burstCrashes = 5
	// sameMoment is the time between two endings of targets below which one cause may have
	// ended both.
	sameMoment = 100 * time.Millisecond
)

// suffice reports whether endings quarantine the suspect's trait.
func (suspect *Suspect) suffice(endings []Ending) bool {
	if suspect.ServedBefore {
		return len(suspect.counted(endings)) >= usualCrashes
	}
	return len(suspect.counted(endings)) >= quarantineCrashes || len(endings) >= burstCrashes
}

// counted returns the endings that count towards a quarantine: all, or for a shared trait
// one of each moment.
func (suspect *Suspect) counted(endings []Ending) []Ending {
	if !suspect.Trait.isShared() {
		return endings
	}
	var counted []Ending
	for _, ending := range endings {
		if len(counted) == 0 || ending.At.Sub(counted[len(counted)-1].At) >= sameMoment {
			counted = append(counted, ending)
		}
	}
	return counted
}

// compareCulprits orders suspects by how likely they are the cause of their endings. Of
// traits with the same endings it is the one that the fewest requests have.
func compareCulprits(one, other *Suspect) int {
	weight := func(suspect *Suspect) int {
		if suspect.ServedBefore {
			return len(suspect.Endings) - usualBias
		}
		return len(suspect.Endings)
	}
	return cmp.Or(
		cmp.Compare(weight(other), weight(one)),
		cmp.Compare(other.Depth, one.Depth),
		cmp.Compare(one.Trait, other.Trait),
	)
}

// explain decides which of the suspects that have enough endings are their cause. All
// requests on a target that ended are suspected, so one that crashes targets makes the
// traits of those around it suspects as well: a suspect whose endings others explain is not
// quarantined. The result depends on the suspects, and on which shared traits this host takes
// for another name of one content.
func explain(known map[Trait]*Suspect, isAlias func(Trait) bool) {
	var candidates []*Suspect
	for _, suspect := range known {
		if suspect.Quarantines > 0 {
			candidates = append(candidates, suspect)
		}
	}
	slices.SortFunc(candidates, compareCulprits)
	var culprits []*Suspect
	for _, suspect := range candidates {
		rest := suspect.Endings
		for _, culprit := range culprits {
			if suspect.Trait.isShared() || culprit.Trait.isShared() && !isAlias(culprit.Trait) {
				rest = culprit.without(rest)
			}
		}
		isExplained := !suspect.suffice(rest)
		if !isExplained {
			culprits = append(culprits, suspect)
		}
		if suspect.explained != isExplained {
			changed := *suspect
			changed.explained = isExplained
			known[suspect.Trait] = &changed
		}
	}
}

// crashedContents is what this host observed of the contents under which targets ended with a
// shared trait.
type crashedContents struct {
	first    Trait
	isVaried bool
}

// isAlias reports whether a shared trait may be no more than another name of one content, such as a
// path that one caller uses: this host observed crashes under that content only, and several are
// known. It then does not explain why targets ended under other contents, each of which is sent
// again by itself and shows what it does. Contents that share a bad part crash one target each.
func (suspects *Suspects) isAlias(trait Trait, known map[Trait]*Suspect) bool {
	contents, ok := suspects.contents[trait]
	if !ok || contents.isVaried {
		return false
	}
	content := known[contents.first]
	return content != nil && len(content.Endings) >= quarantineCrashes-1
}

// recordContent records that a target ended under a shared trait of a request with a content.
func (suspects *Suspects) recordContent(trait, content Trait) {
	if suspects.contents == nil {
		suspects.contents = map[Trait]crashedContents{}
	}
	contents, ok := suspects.contents[trait]
	if !ok {
		contents.first = content
	}
	contents.isVaried = contents.isVaried || contents.first != content
	suspects.contents[trait] = contents
}

// without returns the endings of targets that did not end under the suspect.
func (suspect *Suspect) without(endings []Ending) []Ending {
	return slices.DeleteFunc(slices.Clone(endings), func(ending Ending) bool {
		return slices.ContainsFunc(suspect.Endings, func(own Ending) bool { return own.Target == ending.Target })
	})
}
