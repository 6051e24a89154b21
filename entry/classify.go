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

// classify finds the pool, workspace and profile of a request and what they
// ask of it.
func (entry *Entry) classify(received *http.Request, poolName, kind string, body []byte) (*job, *Problem) {
	snapshot := entry.Store.Current()
	if snapshot == nil {
		return nil, notRun(request.ReasonNoConfiguration, spread(retryNoConfiguration))
	}
	if problem := checkSingle(received.Header); problem != nil {
		return nil, problem
	}
	pool := snapshot.Pool(poolName)
	if pool == nil || pool.Kind != kind {
		return nil, badRequest(http.StatusNotFound, "there is no "+kind+" "+poolName)
	}
	workspace, problem := findWorkspace(snapshot, received.Header)
	if problem != nil {
		return nil, problem
	}
	used, problem := findProfile(snapshot, pool, received.Header)
	if problem != nil {
		return nil, problem
	}
	now := time.Now()
	timeout, problem := findTimeout(received.Header, used.Deadline)
	if problem != nil {
		return nil, problem
	}
	id := request.NewID()
	classified := &job{
		id:        id,
		text:      id.String(),
		snapshot:  snapshot,
		pool:      pool,
		profile:   used,
		workspace: workspace,
		arrived:   now,
		deadline:  now.Add(timeout),
		method:    received.Method,
		body:      body,
	}
	return classified, classified.findKey(received.Header)
}

// findKey names the record of a non-idempotent request.
func (job *job) findKey(header http.Header) *Problem {
	if job.profile.Idempotent {
		return nil
	}
	key := header.Get(HeaderIdempotency)
	if key == "" {
		return badRequest(http.StatusBadRequest,
			"the profile "+job.profile.Name+" is not idempotent: the header "+HeaderIdempotency+" is needed")
	}
	job.recorded = true
	job.key = once.NewKey(job.workspace.Name, job.pool.Name, key)
	return nil
}

// bearer returns the token of an Authorization header, empty if there is
// none.
func bearer(header http.Header) string {
	scheme, token, _ := strings.Cut(header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// findWorkspace goes by the bearer token, and by the name only where the
// workspace has no token. Tokens are compared by their hashes.
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

func findTimeout(header http.Header, deadline time.Duration) (time.Duration, *Problem) {
	text := header.Get(HeaderTimeout)
	if text == "" {
		return deadline, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, badRequest(http.StatusBadRequest, HeaderTimeout+" is no duration such as 1m30s")
	}
	return min(timeout, deadline), nil
}
