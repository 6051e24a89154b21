package profile

import "strconv"

// versionText writes a version for an event's detail.
func versionText(version int64) string { return "version " + strconv.FormatInt(version, 10) }
