package settings

import "time"

// Callers configures the address to which the platform's balancer sends callers.
type Callers struct {
	Listen string `yaml:"listen" default:"127.0.0.1:8080"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64 `yaml:"bodyBytes" default:"8388608"`
	// BodiesBytes is the maximum total size of the bodies of all requests.
	BodiesBytes int64 `yaml:"bodiesBytes" default:"268435456"`
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int `yaml:"headerBytes" default:"16384"`
	// Connections is the maximum number of open connections.
	Connections int `yaml:"connections" default:"4096"`
	// ReadTimeout limits the time to read a request's header, and the time to
	// read its body. WriteTimeout limits each write to a caller that doesn't
	// read.
	ReadTimeout  time.Duration `yaml:"readTimeout" default:"10s"`
	WriteTimeout time.Duration `yaml:"writeTimeout" default:"10s"`
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration `yaml:"idleTimeout" default:"90s"`
	// Nesting is the maximum depth of JSON in a request body.
	Nesting int `yaml:"nesting" default:"32"`
	// TLS names the TLS files for Listen.
	TLS TLS `yaml:"tls"`
}

func (callers *Callers) check(checker *checker) {
	checker.checkAddress("callers.listen", callers.Listen)
	callers.TLS.check(checker, "callers")
	if callers.BodyBytes < 1 {
		checker.addFault("callers.bodyBytes", "is %d, must be above 0", callers.BodyBytes)
	}
	if callers.BodiesBytes < callers.BodyBytes {
		checker.addFault("callers.bodiesBytes", "is %d, must be at least bodyBytes, %d", callers.BodiesBytes, callers.BodyBytes)
	}
	if callers.HeaderBytes < 1024 {
		checker.addFault("callers.headerBytes", "is %d, must be at least 1024", callers.HeaderBytes)
	}
	if callers.Connections < 1 {
		checker.addFault("callers.connections", "is %d, must be above 0", callers.Connections)
	}
	if callers.ReadTimeout <= 0 {
		checker.addFault("callers.readTimeout", "is %s, must be above 0", callers.ReadTimeout)
	}
	if callers.WriteTimeout <= 0 {
		checker.addFault("callers.writeTimeout", "is %s, must be above 0", callers.WriteTimeout)
	}
	if callers.IdleTimeout <= 0 {
		checker.addFault("callers.idleTimeout", "is %s, must be above 0", callers.IdleTimeout)
	}
	if callers.Nesting < 4 {
		checker.addFault("callers.nesting", "is %d, must be at least 4", callers.Nesting)
	}
}
