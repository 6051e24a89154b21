package simulation

import (
	"container/heap"
	"time"
)

// agenda does planned things in order of time, in one goroutine that sleeps
// between them.
type agenda struct {
	entries entryHeap
	number  uint64
}

type entry struct {
	at time.Time
	// number keeps the order of entries for the same time.
	number uint64
	do     func()
}

func (agenda *agenda) at(at time.Time, do func()) {
	agenda.number++
	heap.Push(&agenda.entries, entry{at, agenda.number, do})
}

func (agenda *agenda) run(more func() bool) {
	for len(agenda.entries) > 0 && more() {
		next := heap.Pop(&agenda.entries).(entry)
		if wait := time.Until(next.at); wait > 0 {
			time.Sleep(wait)
		}
		next.do()
	}
}

type entryHeap []entry

func (entries entryHeap) Len() int { return len(entries) }

func (entries entryHeap) Less(i, j int) bool {
	if !entries[i].at.Equal(entries[j].at) {
		return entries[i].at.Before(entries[j].at)
	}
	return entries[i].number < entries[j].number
}

func (entries entryHeap) Swap(i, j int) { entries[i], entries[j] = entries[j], entries[i] }

// Push is for container/heap.
func (entries *entryHeap) Push(added any) { *entries = append(*entries, added.(entry)) }

// Pop is for container/heap.
func (entries *entryHeap) Pop() any {
	last := len(*entries) - 1
	popped := (*entries)[last]
	(*entries)[last] = entry{}
	*entries = (*entries)[:last]
	return popped
}
