package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Operators configures the address that serves metrics, status and time line to
// operators.
type Operators struct {
	Listen string `yaml:"listen" default:"127.0.0.1:8090"`
	// TokenHash is the SHA-256 sum, in lower-case hexadecimal, of the operators'
	// bearer token; if empty, no token is needed.
	TokenHash string `yaml:"tokenHash"`
	// TLS names the TLS files for Listen.
	TLS TLS `yaml:"tls"`
}

func (operators *Operators) check(checker *checker) {
	checker.checkAddress("operators.listen", operators.Listen)
	operators.TLS.check(checker, "operators")
	if operators.TokenHash != "" && !isSHA256(operators.TokenHash) {
		checker.addFault("operators.tokenHash", "is no SHA-256 sum in lower-case hexadecimal")
	}
}

func isSHA256(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == sha256.Size && text == strings.ToLower(text)
}
