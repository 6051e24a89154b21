package entry

import (
	"encoding/json"
	"net/http"
)

// decodeJSON reads a body whose nesting is bounded.
func decodeJSON(body []byte, nesting int, into any) *Problem {
	if depth(body) > nesting {
		return badRequest(http.StatusBadRequest, "the JSON is nested too deeply")
	}
	if err := json.Unmarshal(body, into); err != nil {
		return badRequest(http.StatusBadRequest, "the body is no valid JSON: "+err.Error())
	}
	return nil
}

// depth returns the deepest nesting of a JSON text.
func depth(text []byte) int {
	deepest, now := 0, 0
	quoted := false
	for i := 0; i < len(text); i++ {
		switch {
		case quoted && text[i] == '\\':
			i++
		case text[i] == '"':
			quoted = !quoted
		case quoted:
		case text[i] == '{' || text[i] == '[':
			now++
			deepest = max(deepest, now)
		case text[i] == '}' || text[i] == ']':
			now--
		}
	}
	return deepest
}
