package certificate

import "time"

// ResetCheck makes the next handshake check the files for changes.
func (endpoint *Endpoint) ResetCheck() {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.checkedAt = time.Time{}
}
