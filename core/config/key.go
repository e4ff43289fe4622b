package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// keyHashPrefix names the hash that keys are declared by.
const keyHashPrefix = "sha256:"

// HashKey gives a bearer key's form in settings and configuration: the prefix
// and 64 hex digits of the key's SHA-256.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

func validKeyHash(key string) bool {
	digits, ok := strings.CutPrefix(key, keyHashPrefix)
	return ok && len(digits) == 64 && strings.Trim(digits, "0123456789abcdef") == ""
}
