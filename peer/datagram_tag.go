package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"os"
)

const (
	// tagBytes is the length of the tag, a truncated HMAC at the end of a
	// datagram.
	tagBytes = 8
	// minSecretBytes is the length of the shortest secret that is accepted.
	minSecretBytes = 32
)

// appendTag appends the tag to a datagram, if there is a secret.
func (prober *Prober) appendTag(datagram []byte) []byte {
	if len(prober.Secret) == 0 {
		return datagram
	}
	return append(datagram, prober.tag(datagram)...)
}

// verifyTag returns a datagram without its tag and reports whether the tag is
// valid. It does not detect replays; the incarnations in the records protect
// against them.
func (prober *Prober) verifyTag(tagged []byte) ([]byte, bool) {
	if len(prober.Secret) == 0 {
		return tagged, true
	}
	if len(tagged) < tagBytes {
		return nil, false
	}
	datagram, tag := tagged[:len(tagged)-tagBytes], tagged[len(tagged)-tagBytes:]
	return datagram, hmac.Equal(tag, prober.tag(datagram))
}

// tag returns the truncated HMAC-SHA256 of a datagram.
func (prober *Prober) tag(datagram []byte) []byte {
	hash := hmac.New(sha256.New, prober.Secret)
	// A hash's Write never fails.
	_, _ = hash.Write(datagram)
	return hash.Sum(nil)[:tagBytes]
}

// readSecret reads the secret from a file. It returns none for an empty name,
// and fails if the file is unreadable or shorter than minSecretBytes.
func readSecret(file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	secret, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the peers' secret: %w", err)
	}
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("read the peers' secret: %w", ShortSecret.New("secret has %d bytes, at least %d are required", len(secret), minSecretBytes))
	}
	return secret, nil
}
