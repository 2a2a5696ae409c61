package wire

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// FirstPlaceGroup is the group id of place 0; parts have the ids from 0 on.
const FirstPlaceGroup = 1000

// tenantSeparator parts a tenant's name from a key of its callers: no header field can hold it.
const tenantSeparator = "\x00"

// ScopedKey returns a caller's key as it stands in messages: of its tenant, so that no two tenants share one.
// An empty key stays empty, and one of nobody's stays as it is.
func ScopedKey(tenant, key string) string {
	if tenant == "" || key == "" {
		return key
	}
	return tenant + tenantSeparator + key
}

// CallerKey returns a key as its caller sent it.
func CallerKey(scoped string) string {
	_, key, isScoped := strings.Cut(scoped, tenantSeparator)
	if !isScoped {
		return scoped
	}
	return key
}

// Checksum is the checksum of bytes as callers and workers see it.
func Checksum(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
