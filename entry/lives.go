package entry

import (
	"strconv"
	"strings"
	"time"

	"nutmegfield.example/peer"
)

// joinSpan is how long a host that has just started may not know the others
// yet: till then a host that it has not heard of is not held to be dead.
const joinSpan = 10 * time.Second

// lifeOf names one life of a host: its id and its incarnation.
func lifeOf(host peer.Host) string {
	return host.ID + "#" + strconv.FormatUint(host.Incarnation, 10)
}

// lifeDead reports whether a life is over by the word of the membership: a
// later life of the host is known, or the host is not in the list. One that
// was not heard of for a while is still in the list.
func lifeDead(life string, self peer.Host, view *peer.View) bool {
	id, text, _ := strings.Cut(life, "#")
	incarnation, err := strconv.ParseUint(text, 10, 64)
	if found, ok := view.Find(id); ok {
		return err == nil && incarnation < found.Incarnation
	}
	started := time.UnixMicro(int64(self.Incarnation))
	return time.Since(started) >= joinSpan
}
