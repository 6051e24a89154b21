package certificate

import "time"

// LookAgain makes the next handshake look at the files.
func (side *Side) LookAgain() {
	side.mutex.Lock()
	defer side.mutex.Unlock()
	side.looked = time.Time{}
}
