package settings

import "os"

// TLS names the TLS files of an address. Without a certificate, TLS is off. The
// files are reloaded when they change.
type TLS struct {
	// Certificate and Key are PEM files.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Authority is a PEM file of the certificate authorities that must have
	// signed the certificate of the other end. If it is empty, clients need no
	// certificate, and servers are verified by the system's authorities.
	Authority string `yaml:"authority"`
}

// Enabled reports whether TLS is on.
func (tls *TLS) Enabled() bool { return tls.Certificate != "" }

func (tls *TLS) check(checker *checker, section string) {
	if (tls.Certificate == "") != (tls.Key == "") {
		checker.addFault(section+".tls", "certificate and key go together")
	}
	if tls.Authority != "" && tls.Certificate == "" {
		checker.addFault(section+".tls.authority", "needs a certificate and a key")
	}
	checker.checkReadable(section+".tls.certificate", tls.Certificate)
	checker.checkReadable(section+".tls.key", tls.Key)
	checker.checkReadable(section+".tls.authority", tls.Authority)
}

func (checker *checker) checkReadable(key, name string) {
	if name == "" {
		return
	}
	file, err := os.Open(name)
	if err != nil {
		checker.addFault(key, "can't be read: %v", err)
		return
	}
	_ = file.Close()
}
