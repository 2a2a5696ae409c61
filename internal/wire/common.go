package wire

import (
	"crypto/sha256"
	"encoding/hex"
)

// PlaceGroup is the group id of place 0; parts have the ids from 0 on.
const PlaceGroup = 1000

// SumOf is the checksum of bytes as callers and workers see it.
func SumOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
