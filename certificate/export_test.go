package certificate

import "time"

// LookAgain makes the next handshake look at the files.
func (endpoint *Endpoint) LookAgain() {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.looked = time.Time{}
}
