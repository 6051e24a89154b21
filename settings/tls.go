package settings

import "os"

// TLS names the files of a side that is encrypted. Without a certificate the
// side is plain. The files are read again when they change.
type TLS struct {
	// Certificate and Key are PEM files.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Authority is a PEM file of the certificates that the other end's must
	// be signed by; empty asks the other end for none.
	Authority string `yaml:"authority"`
}

// Enabled reports whether the side is encrypted.
func (tls *TLS) Enabled() bool { return tls.Certificate != "" }

func (tls *TLS) check(checker *checker, section string) {
	if (tls.Certificate == "") != (tls.Key == "") {
		checker.fault(section+".tls", "certificate and key go together")
	}
	if tls.Authority != "" && tls.Certificate == "" {
		checker.fault(section+".tls.authority", "needs a certificate and a key")
	}
	checker.file(section+".tls.certificate", tls.Certificate)
	checker.file(section+".tls.key", tls.Key)
	checker.file(section+".tls.authority", tls.Authority)
}

func (checker *checker) file(key, name string) {
	if name == "" {
		return
	}
	file, err := os.Open(name)
	if err != nil {
		checker.fault(key, "can't be read: %v", err)
		return
	}
	_ = file.Close()
}
