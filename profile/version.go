package profile

import "strconv"

// versionText returns the text that names a version in the detail of an event.
func versionText(version int64) string { return "version " + strconv.FormatInt(version, 10) }
