package profile

// The kind and name of the configuration's object in the platform.
const (
	ObjectKind = "configuration"
	ObjectName = "current"
)
