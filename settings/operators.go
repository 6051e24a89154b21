package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Operators is the side that only operators reach: metrics, status, time
// line.
type Operators struct {
	Listen string `yaml:"listen" default:"127.0.0.1:8090"`
	// TokenHash is the SHA-256 sum, in hexadecimal, of the operators' bearer
	// token; empty asks for none.
	TokenHash string `yaml:"tokenHash"`
	// TLS encrypts this side.
	TLS TLS `yaml:"tls"`
}

func (operators *Operators) check(checker *checker) {
	checker.address("operators.listen", operators.Listen)
	operators.TLS.check(checker, "operators")
	if operators.TokenHash != "" && !isHash(operators.TokenHash) {
		checker.fault("operators.tokenHash", "is no SHA-256 sum in lower-case hexadecimal")
	}
}

func isHash(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == sha256.Size && text == strings.ToLower(text)
}
