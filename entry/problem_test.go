package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/request"
)

// TestProblemHasChatError checks the error object that clients of the chat API read
// beside the problem's own fields.
func TestProblemHasChatError(t *testing.T) {
	for _, each := range []struct {
		problem *Problem
		want    map[string]any
	}{
		{badRequest(http.StatusNotFound, "no such model"), map[string]any{"message": "no such model", "type": "invalid_request_error"}},
		{notRun(request.ReasonShed, time.Second), map[string]any{"message": "The request was not run", "type": "rate_limit_error", "code": string(request.ReasonShed)}},
		{badGateway(request.Unknown, request.ReasonRecordHeld, "it broke off"), map[string]any{"message": "it broke off", "type": "server_error", "code": string(request.ReasonRecordHeld)}},
	} {
		c := qt.New(t)
		recorder := httptest.NewRecorder()
		each.problem.write(recorder, request.ID{})
		var read struct {
			Title string         `json:"title"`
			Error map[string]any `json:"error"`
		}
		c.Assert(json.Unmarshal(recorder.Body.Bytes(), &read), qt.IsNil)
		c.Assert(read.Error, qt.DeepEquals, each.want)
		c.Assert(read.Title, qt.Equals, each.problem.Title)
	}
}
