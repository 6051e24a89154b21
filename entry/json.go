package entry

import (
	"encoding/json"
	"net/http"
)

// decodeJSON decodes a body that is nested no deeper than allowed.
func decodeJSON(body []byte, nesting int, into any) *Problem {
	if nestingDepth(body) > nesting {
		return badRequest(http.StatusBadRequest, "the JSON is nested too deeply")
	}
	if err := json.Unmarshal(body, into); err != nil {
		return badRequest(http.StatusBadRequest, "the body is no valid JSON: "+err.Error())
	}
	return nil
}

// nestingDepth returns the deepest nesting of objects and arrays in a JSON text.
func nestingDepth(text []byte) int {
	deepest, current := 0, 0
	quoted := false
	for i := 0; i < len(text); i++ {
		switch {
		case quoted && text[i] == '\\':
			i++
		case text[i] == '"':
			quoted = !quoted
		case quoted:
		case text[i] == '{' || text[i] == '[':
			current++
			deepest = max(deepest, current)
		case text[i] == '}' || text[i] == ']':
			current--
		}
	}
	return deepest
}
