package entry

import (
	"strconv"
	"strings"
	"time"

	"nutmegfield.example/peer"
)

// joinTimeout is the time after its start in which a host may not know all other
// hosts yet. Until it has passed, a host that is missing from the view is not
// reported as ended.
const joinTimeout = 10 * time.Second

// incarnationName returns the id and the incarnation of a host, as records name it.
func incarnationName(host peer.Host) string {
	return host.ID + "#" + strconv.FormatUint(host.Incarnation, 10)
}

// incarnationEnded reports whether a host incarnation has ended according to the
// membership view: a later incarnation of the host is in it, or the host is not. A
// host that is only silent is still in the view.
func incarnationEnded(name string, self peer.Host, view *peer.View) bool {
	id, number, _ := strings.Cut(name, "#")
	incarnation, err := strconv.ParseUint(number, 10, 64)
	if found, ok := view.Find(id); ok {
		return err == nil && incarnation < found.Incarnation
	}
	started := time.UnixMicro(int64(self.Incarnation))
	return time.Since(started) >= joinTimeout
}
