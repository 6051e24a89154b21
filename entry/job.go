package entry

import (
	"net/http"
	"time"

	"nutmegfield.example/once"
	"nutmegfield.example/profile"
	"nutmegfield.example/request"
)

// job is one caller's request on its entry host, from its classification to
// its answer.
type job struct {
	id        request.ID
	machine   request.Machine
	snapshot  *profile.Snapshot
	pool      *profile.Pool
	profile   *profile.Profile
	workspace *profile.Workspace
	arrived   time.Time
	deadline  time.Time
	size      request.Size
	prefixes  []request.Prefix
	// fingerprint is the hash of the body.
	fingerprint uint64
	method      string
	path        string
	header      http.Header
	body        []byte
	stream      bool
	// key names its record; recorded is false for an idempotent request.
	key      once.Key
	recorded bool
	round    uint32
}

// ticket returns the ticket of a new round of waiting.
func (job *job) ticket() *request.Ticket {
	job.round++
	return &request.Ticket{
		ID:          job.id,
		Pool:        job.pool.Name,
		Workspace:   job.workspace.Name,
		Tier:        job.snapshot.Tier(job.profile.Tier),
		Sheddable:   job.profile.Sheddable,
		Deadline:    job.deadline,
		Size:        job.size,
		Prefixes:    job.prefixes,
		Fingerprint: job.fingerprint,
		Round:       job.round,
	}
}
