package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"nutmegfield.example/profile"
	"nutmegfield.example/request"
)

const modelsPath = "/v1/models"

// model describes a model pool as clients of the chat API expect it.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// handleModels answers with the list of the models, or with the one that the path
// names.
func (entry *Entry) handleModels(writer http.ResponseWriter, received *http.Request) {
	id := request.NewID()
	if received.Method != http.MethodGet && received.Method != http.MethodHead {
		badRequest(http.StatusMethodNotAllowed, "use GET").write(writer, id)
		return
	}
	answer, problem := entry.describeModels(received)
	if problem != nil {
		problem.write(writer, id)
		return
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequest, id.String())
	header.Set(HeaderOutcome, string(request.Done))
	// A write error means that the caller is gone.
	_ = json.NewEncoder(writer).Encode(answer)
}

func (entry *Entry) describeModels(received *http.Request) (any, *Problem) {
	snapshot := entry.Store.Current()
	if snapshot == nil {
		return nil, notRun(request.ReasonNoConfiguration, jitter(retryAfterNoConfiguration))
	}
	if problem := checkSingleHeaders(received.Header); problem != nil {
		return nil, problem
	}
	if _, problem := findWorkspace(snapshot, received.Header); problem != nil {
		return nil, problem
	}
	name := strings.TrimPrefix(strings.TrimPrefix(received.URL.Path, modelsPath), "/")
	if name != "" {
		return describeModel(snapshot, name)
	}
	list := modelList{Object: "list", Data: []model{}}
	for i := range snapshot.Configuration.Pools {
		if pool := &snapshot.Configuration.Pools[i]; pool.Kind == profile.KindModel {
			list.Data = append(list.Data, newModel(snapshot, pool))
		}
	}
	return list, nil
}

func describeModel(snapshot *profile.Snapshot, name string) (any, *Problem) {
	pool := snapshot.Pool(name)
	if pool == nil || pool.Kind != profile.KindModel {
		return nil, badRequest(http.StatusNotFound, "there is no model "+name)
	}
	return newModel(snapshot, pool), nil
}

func newModel(snapshot *profile.Snapshot, pool *profile.Pool) model {
	return model{ID: pool.Name, Object: "model", Created: snapshot.AppliedAt.Unix(), OwnedBy: "nutmegfield"}
}
