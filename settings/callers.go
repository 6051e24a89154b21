package settings

import "time"

// Callers is the side that the platform's balancer sends callers to.
type Callers struct {
	Listen string `yaml:"listen" default:"127.0.0.1:8080"`
	// BodyBytes is the largest body taken.
	BodyBytes int64 `yaml:"bodyBytes" default:"8388608"`
	// HeaderBytes is the largest header taken.
	HeaderBytes int `yaml:"headerBytes" default:"16384"`
	// Connections is the most open connections.
	Connections int `yaml:"connections" default:"4096"`
	// ReadTimeout bounds the reading of a request, WriteTimeout one write to
	// a caller that does not read.
	ReadTimeout  time.Duration `yaml:"readTimeout" default:"10s"`
	WriteTimeout time.Duration `yaml:"writeTimeout" default:"10s"`
	// Nesting is the deepest JSON taken.
	Nesting int `yaml:"nesting" default:"32"`
}

func (callers *Callers) check(checker *checker) {
	checker.address("callers.listen", callers.Listen)
	if callers.BodyBytes < 1 {
		checker.fault("callers.bodyBytes", "is %d, must be above 0", callers.BodyBytes)
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
	if callers.Nesting < 4 {
		checker.fault("callers.nesting", "is %d, must be at least 4", callers.Nesting)
	}
}
