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

// job is one caller's request on its entry host, from its classification to its
// answer.
type job struct {
	id request.ID
	// idText is the id in hexadecimal.
	idText    string
	machine   request.StateMachine
	snapshot  *profile.Snapshot
	pool      *profile.Pool
	profile   *profile.Profile
	workspace *profile.Workspace
	arrived   time.Time
	deadline  time.Time
	size      request.Size
	prefixes  []request.Prefix
	// fingerprint is a 64-bit hash of method, path and body.
	fingerprint uint64
	method      string
	// path is the path and query for the target.
	path string
	// header holds the headers for the target.
	header http.Header
	body   []byte
	stream bool
	// key names the job's record; needsRecord is false for an idempotent
	// request, which has none.
	key         once.Key
	needsRecord bool
	// round is the number of tickets submitted so far; it tells the latest one
	// from the earlier ones.
	round uint32
	// workspaceUsage counts the job as waiting; nil once it no longer waits.
	workspaceUsage *workspaceUsage
	// record is the job's own record; claimed is set while the job holds it and
	// its key's lock.
	record  once.Record
	claimed bool
	// dispatches is the number of times the job was dispatched, by an invariant at
	// most one.
	dispatches int
	// abort closes the connection without ending the answer, because the
	// answer is incomplete.
	abort bool
}

// String returns the id. An invariant that takes the job as its argument formats
// it only on failure.
func (job *job) String() string { return job.idText }

// setFingerprint hashes method, path and body, so that equal requests have equal
// fingerprints.
func (job *job) setFingerprint() {
	var fingerprint xxhash.Digest
	fingerprint.Reset()
	// Writes to a digest never fail.
	_, _ = fingerprint.WriteString(job.method)
	_, _ = fingerprint.WriteString(" " + job.path + "\n")
	_, _ = fingerprint.Write(job.body)
	job.fingerprint = fingerprint.Sum64()
}

// requestSum returns the SHA-256 sum of method, path and body, which tells a resend
// from another request under the same key.
func (job *job) requestSum() [sha256.Size]byte {
	sum := sha256.New()
	// Writes to a hash never fail.
	_, _ = io.WriteString(sum, job.method+" "+job.path+"\n")
	_, _ = sum.Write(job.body)
	return [sha256.Size]byte(sum.Sum(nil))
}

// uncountWaiting removes the job from the waiting requests of its workspace. Calls
// after the first do nothing.
func (job *job) uncountWaiting() {
	if job.workspaceUsage != nil {
		job.workspaceUsage.waiting.Add(-1)
		job.workspaceUsage = nil
	}
}

// newTicket returns the ticket of the job's next round.
func (job *job) newTicket() *request.Ticket {
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
