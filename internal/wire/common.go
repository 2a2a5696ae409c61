package wire

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// FirstPlaceGroup is the group id of place 0; place n has FirstPlaceGroup+n. Parts have the group ids from
// 0 on.
const FirstPlaceGroup = 1000

// tenantSeparator separates the tenant from the caller's key in a scoped key. No header field can contain
// it.
const tenantSeparator = "\x00"

// ScopedKey returns a caller's key as messages store it: prefixed with the tenant, so that two tenants
// never share a key. An empty key stays empty, and a key without a tenant is unchanged.
func ScopedKey(tenant, key string) string {
	if tenant == "" || key == "" {
		return key
	}
	return tenant + tenantSeparator + key
}

// CallerKey returns the key that the caller sent, without the tenant.
func CallerKey(scoped string) string {
	_, key, isScoped := strings.Cut(scoped, tenantSeparator)
	if !isScoped {
		return scoped
	}
	return key
}

// Checksum returns the SHA-256 of raw in hex, as callers and workers see it.
func Checksum(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
