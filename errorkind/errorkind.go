// Package errorkind checks the errorx type of errors that are wrapped with %w,
// which errorx.IsOfType does not unwrap.
package errorkind

import (
	"errors"

	"github.com/joomcode/errorx"
)

// Is reports whether the first errorx error in err's chain is of one of the
// types.
func Is(err error, types ...*errorx.Type) bool {
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return false
	}
	for _, errorType := range types {
		if typed.IsOfType(errorType) {
			return true
		}
	}
	return false
}
