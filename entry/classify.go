package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"nutmegfield.example/once"
	"nutmegfield.example/profile"
	"nutmegfield.example/request"
)

// classify creates the job of a request from the pool of the given kind, the
// workspace, the profile and the timeout that the request names.
func (entry *Entry) classify(received *http.Request, poolName, kind string, body []byte) (*job, *Problem) {
	snapshot := entry.Store.Current()
	if snapshot == nil {
		return nil, notRun(request.ReasonNoConfiguration, jitter(retryAfterNoConfiguration))
	}
	if problem := checkSingleHeaders(received.Header); problem != nil {
		return nil, problem
	}
	pool, problem := findPool(snapshot, poolName, kind)
	if problem != nil {
		return nil, problem
	}
	workspace, problem := findWorkspace(snapshot, received.Header)
	if problem != nil {
		return nil, problem
	}
	requestProfile, problem := findProfile(snapshot, pool, received.Header)
	if problem != nil {
		return nil, problem
	}
	now := time.Now()
	timeout, problem := parseTimeout(received.Header, requestProfile.Deadline)
	if problem != nil {
		return nil, problem
	}
	id := request.NewID()
	job := &job{
		id:        id,
		idText:    id.String(),
		snapshot:  snapshot,
		pool:      pool,
		profile:   requestProfile,
		workspace: workspace,
		arrived:   now,
		deadline:  now.Add(timeout),
		method:    received.Method,
		body:      body,
	}
	return job, job.setRecordKey(received.Header)
}

// checkHead checks what the head of a request says, before its body is read. An empty pool is
// one that only the body names.
func (entry *Entry) checkHead(received *http.Request, poolName, kind string) (*profile.Workspace, *Problem) {
	snapshot := entry.Store.Current()
	if snapshot == nil {
		return nil, notRun(request.ReasonNoConfiguration, jitter(retryAfterNoConfiguration))
	}
	if problem := checkSingleHeaders(received.Header); problem != nil {
		return nil, problem
	}
	if poolName != "" {
		if _, problem := findPool(snapshot, poolName, kind); problem != nil {
			return nil, problem
		}
	}
	return findWorkspace(snapshot, received.Header)
}

func findPool(snapshot *profile.Snapshot, name, kind string) (*profile.Pool, *Problem) {
	pool := snapshot.Pool(name)
	if pool == nil || pool.Kind != kind {
		return nil, badRequest(http.StatusNotFound, "there is no "+kind+" "+name)
	}
	return pool, nil
}

// setRecordKey sets the key of the record that a non-idempotent request needs.
func (job *job) setRecordKey(header http.Header) *Problem {
	if job.profile.Idempotent {
		return nil
	}
	key := header.Get(HeaderIdempotency)
	if key == "" {
		return badRequest(http.StatusBadRequest,
			"the profile "+job.profile.Name+" is not idempotent: the header "+HeaderIdempotency+" is needed")
	}
	job.needsRecord = true
	job.key = once.NewKey(job.workspace.Name, job.pool.Name, key)
	return nil
}

// bearer returns the bearer token of the Authorization header, or the empty string.
func bearer(header http.Header) string {
	scheme, token, _ := strings.Cut(header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// findWorkspace finds the workspace by the bearer token. Only a workspace without
// tokens is found by its name. Tokens are compared by their SHA-256 sums.
func findWorkspace(snapshot *profile.Snapshot, header http.Header) (*profile.Workspace, *Problem) {
	name := header.Get(HeaderWorkspace)
	if token := bearer(header); token != "" {
		sum := sha256.Sum256([]byte(token))
		found := snapshot.WorkspaceByTokenHash(hex.EncodeToString(sum[:]))
		switch {
		case found != nil && (name == "" || name == found.Name):
			return found, nil
		case found != nil:
			return nil, badRequest(http.StatusForbidden, "the bearer token is not of workspace "+name)
		}
	}
	found := snapshot.Workspace(name)
	switch {
	case found == nil && name == "":
		return nil, badRequest(http.StatusUnauthorized, "no workspace: send its bearer token or "+HeaderWorkspace)
	case found == nil:
		return nil, badRequest(http.StatusForbidden, "there is no workspace "+name)
	case len(found.TokenHashes) > 0:
		return nil, badRequest(http.StatusUnauthorized, "workspace "+name+" needs its bearer token")
	}
	return found, nil
}

// findProfile returns the profile that the caller names, by default the pool's.
func findProfile(snapshot *profile.Snapshot, pool *profile.Pool, header http.Header) (*profile.Profile, *Problem) {
	name := header.Get(HeaderProfile)
	if name == "" {
		name = pool.Profile
	}
	if !pool.Allows(name) {
		return nil, badRequest(http.StatusBadRequest, "profile "+name+" is not allowed for "+pool.Name)
	}
	return snapshot.Profile(name), nil
}

// parseTimeout returns the caller's timeout, at most the profile's.
func parseTimeout(header http.Header, profileTimeout time.Duration) (time.Duration, *Problem) {
	text := header.Get(HeaderTimeout)
	if text == "" {
		return profileTimeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, badRequest(http.StatusBadRequest, HeaderTimeout+" is no duration such as 1m30s")
	}
	return min(timeout, profileTimeout), nil
}
