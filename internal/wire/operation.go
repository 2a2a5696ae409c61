package wire

import (
	"strings"
)

// A message's id is its place, a hyphen and a token. The token of a message with an operation key has, after the digest
// of the tenant if there is one, the digest of the key. No other token starts with the same letters.
const (
	tenantMark      = "t"
	tenantDigits    = 16 // hexadecimal digits of the hash of the tenant's name
	operationMark   = "n"
	operationDigits = 32 // hexadecimal digits of the hash of the operation key: 128 bits
)

// TenantDigest returns the digest of a tenant's name with which the tokens of its messages start; empty without a
// tenant.
func TenantDigest(tenant string) string {
	if tenant == "" {
		return ""
	}
	return tenantMark + Checksum([]byte(tenant))[:tenantDigits]
}

// OperationToken returns the token of the message with an operation key of a tenant.
func OperationToken(tenant, operation string) string {
	return TenantDigest(tenant) + operationMark + Checksum([]byte(tenant + "\x00" + operation))[:operationDigits]
}

// OperationDigest returns the digest of an operation key, whoever sends it.
func OperationDigest(operation string) string { return Checksum([]byte(operation))[:operationDigits] }

// HasTenant reports whether the message with this id has a tenant.
func HasTenant(id string) bool {
	_, token, _ := strings.Cut(id, "-")
	return strings.HasPrefix(token, tenantMark)
}

// IsOperationId reports whether the message with this id has an operation key.
func IsOperationId(id string) bool {
	_, token, _ := strings.Cut(id, "-")
	if strings.HasPrefix(token, tenantMark) && len(token) > len(tenantMark)+tenantDigits {
		token = token[len(tenantMark)+tenantDigits:]
	}
	return strings.HasPrefix(token, operationMark)
}

// HomeProbe is the Operation of a claim that only asks whether the place holds messages with operation keys itself.
const HomeProbe = "probe"

// OperationClaim names the sends that belong to one message: those of one sender with one operation key. An empty
// Operation stands for no claim.
type OperationClaim struct {
	Operation string `avro:"operation"` // digest of the operation key
	Tenant    string `avro:"tenant"`    // digest of the tenant's name; empty for a sender without a tenant
	Sender    string `avro:"sender"`    // digest of the API key that the sender showed; empty for none
	Lane      string `avro:"lane"`
	// Replaces is the id that the operation key was bound to and that was settled as never accepted.
	Replaces string `avro:"replaces"`
	// IsPlaced says that the message must be held at another place than the home, because of its ordering key.
	IsPlaced bool `avro:"is_placed"`
}
