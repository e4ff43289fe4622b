package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// keyHashPrefix names the hash algorithm of declared keys.
const keyHashPrefix = "sha256:"

// HashKey returns a bearer key's hash as settings and configuration list it:
// "sha256:" and the 64 hex digits of the key's SHA-256.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

func isKeyHash(key string) bool {
	digits, ok := strings.CutPrefix(key, keyHashPrefix)
	return ok && len(digits) == 64 && strings.Trim(digits, "0123456789abcdef") == ""
}
