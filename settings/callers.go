package settings

import "time"

// Callers is the side that the platform's balancer sends callers to.
type Callers struct {
	Listen string `yaml:"listen" default:"127.0.0.1:8080"`
	// BodyBytes is the largest body taken.
	BodyBytes int64 `yaml:"bodyBytes" default:"8388608"`
	// BodiesBytes is the most that the bodies of all requests take together.
	BodiesBytes int64 `yaml:"bodiesBytes" default:"268435456"`
	// HeaderBytes is the largest header taken.
	HeaderBytes int `yaml:"headerBytes" default:"16384"`
	// Connections is the most open connections.
	Connections int `yaml:"connections" default:"4096"`
	// ReadTimeout bounds the reading of a request's header and that of its
	// body, WriteTimeout one write to a caller that does not read.
	ReadTimeout  time.Duration `yaml:"readTimeout" default:"10s"`
	WriteTimeout time.Duration `yaml:"writeTimeout" default:"10s"`
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration `yaml:"idleTimeout" default:"90s"`
	// Nesting is the deepest JSON taken.
	Nesting int `yaml:"nesting" default:"32"`
	// TLS encrypts this side.
	TLS TLS `yaml:"tls"`
}

func (callers *Callers) check(checker *checker) {
	checker.address("callers.listen", callers.Listen)
	callers.TLS.check(checker, "callers")
	if callers.BodyBytes < 1 {
		checker.fault("callers.bodyBytes", "is %d, must be above 0", callers.BodyBytes)
	}
	if callers.BodiesBytes < callers.BodyBytes {
		checker.fault("callers.bodiesBytes", "is %d, must be at least bodyBytes, %d", callers.BodiesBytes, callers.BodyBytes)
	}
	if callers.HeaderBytes < 1024 {
		checker.fault("callers.headerBytes", "is %d, must be at least 1024", callers.HeaderBytes)
	}
	if callers.Connections < 1 {
		checker.fault("callers.connections", "is %d, must be above 0", callers.Connections)
	}
	if callers.ReadTimeout <= 0 {
		checker.fault("callers.readTimeout", "is %s, must be above 0", callers.ReadTimeout)
	}
	if callers.WriteTimeout <= 0 {
		checker.fault("callers.writeTimeout", "is %s, must be above 0", callers.WriteTimeout)
	}
	if callers.IdleTimeout <= 0 {
		checker.fault("callers.idleTimeout", "is %s, must be above 0", callers.IdleTimeout)
	}
	if callers.Nesting < 4 {
		checker.fault("callers.nesting", "is %d, must be at least 4", callers.Nesting)
	}
}
