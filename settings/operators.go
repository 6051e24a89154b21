package settings

// Operators is the side that only operators reach: metrics, status, time
// line.
type Operators struct {
	Listen string `yaml:"listen" default:"127.0.0.1:8090"`
	// TokenHash is the SHA-256 sum, in hexadecimal, of the operators' bearer
	// token; empty asks for none.
	TokenHash string `yaml:"tokenHash"`
}

func (operators *Operators) check(checker *checker) {
	checker.address("operators.listen", operators.Listen)
	if operators.TokenHash != "" && len(operators.TokenHash) != 64 {
		checker.fault("operators.tokenHash", "is no SHA-256 sum in hexadecimal")
	}
}
