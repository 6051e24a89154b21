package entry

import (
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmegfield.example/once"
	"nutmegfield.example/profile"
	"nutmegfield.example/request"
)

// job is one caller's request on its entry host, from its classification to
// its answer.
type job struct {
	id request.ID
	// text is the id in hexadecimal, which several places write.
	text      string
	machine   request.StateMachine
	snapshot  *profile.Snapshot
	pool      *profile.Pool
	profile   *profile.Profile
	workspace *profile.Workspace
	arrived   time.Time
	deadline  time.Time
	size      request.Size
	prefixes  []request.Prefix
	// fingerprint is the hash of method, path and body.
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
	// use is its workspace's use while it waits.
	use *workspaceUse
	// record is its own record, claimed is true while it holds it.
	record  once.Record
	claimed bool
	// dispatches counts the dispatches, for the assertion that there is one.
	dispatches int
	// abort: the connection must end, as the answer did not end whole.
	abort bool
}

// String returns the id; as an argument of an assertion that holds it is
// never called and costs nothing.
func (job *job) String() string { return job.text }

// digest hashes what a target would be asked to do: equal requests have equal
// fingerprints.
func (job *job) digest() {
	var fingerprint xxhash.Digest
	fingerprint.Reset()
	// A digest's writes never fail.
	_, _ = fingerprint.WriteString(job.method)
	_, _ = fingerprint.WriteString(" " + job.path + "\n")
	_, _ = fingerprint.Write(job.body)
	job.fingerprint = fingerprint.Sum64()
}

// bodySum is the SHA-256 sum of method, path and body.
func (job *job) bodySum() [sha256.Size]byte {
	sum := sha256.New()
	// A hash's writes never fail.
	_, _ = io.WriteString(sum, job.method+" "+job.path+"\n")
	_, _ = sum.Write(job.body)
	return [sha256.Size]byte(sum.Sum(nil))
}

// stopWaiting takes the job out of its workspace's count of waiting ones.
func (job *job) stopWaiting() {
	if job.use != nil {
		job.use.waiting.Add(-1)
		job.use = nil
	}
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
