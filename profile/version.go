package profile

import "strconv"

// versionText returns a version as the detail of an event.
func versionText(version int64) string { return "version " + strconv.FormatInt(version, 10) }
