// Package errorkind finds typed errors behind errors wrapped with %w, which
// errorx's own check does not see through.
package errorkind

import (
	"errors"

	"github.com/joomcode/errorx"
)

// Is reports whether an error, however wrapped with %w, is of one of the
// types.
func Is(err error, types ...*errorx.Type) bool {
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return false
	}
	for _, kind := range types {
		if typed.IsOfType(kind) {
			return true
		}
	}
	return false
}
