package profile

// The configuration's object in the platform.
const (
	// ObjectKind is its kind.
	ObjectKind = "configuration"
	// ObjectName is its name.
	ObjectName = "current"
)
