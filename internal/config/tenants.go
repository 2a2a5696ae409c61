package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/tidwall/gjson"
)

// Tenant is a customer whose messages are identified by its API keys and limited by its own rate.
type Tenant struct {
	Name string
	// Rate and Burst are a token bucket for the tenant's messages over the whole deployment: in any
	// period at most Rate per second plus Burst are accepted. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// KeyHash is the SHA-256 hash of an API key. Rules and views never hold the key itself.
type KeyHash [sha256.Size]byte

// HashApiKey returns the hash by which a configuration lists an API key.
func HashApiKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in hexadecimal digits, as in the configuration document.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Bounds of the tenants of a configuration.
const (
	MaxTenants         = 5000
	MaxKeysPerTenant   = 100        // API keys of one tenant
	MaxTenantNameBytes = 128        // also of an API key
	maxTenantRate      = 10_000_000 // messages per second, and burst
)

// keyTenant is the tenant that an API key belongs to.
type keyTenant struct {
	hash   KeyHash
	tenant string
}

// HasTenants reports whether messages of lanes that are not public need an API key.
func (r *Rules) HasTenants() bool { return r.Tenants != nil }

// TenantOf returns the tenant that an API key belongs to, and false if there is none.
func (r *Rules) TenantOf(key string) (Tenant, bool) {
	hash := HashApiKey(key)
	known, isKnown := r.keys[hash]
	if !isKnown || subtle.ConstantTimeCompare(known.hash[:], hash[:]) != 1 {
		return Tenant{}, false
	}
	return r.Tenants[known.tenant], true
}

// IsTenantName reports whether a text can be a tenant's name, which is sent in header fields.
func IsTenantName(name string) bool {
	return len(name) > 0 && len(name) <= MaxTenantNameBytes && strings.TrimSpace(name) == name && isPrintable(name)
}

// IsApiKey reports whether a text can be an API key, which callers send in a header field after a scheme
// such as Bearer.
func IsApiKey(key string) bool {
	return len(key) > 0 && len(key) <= MaxTenantNameBytes && !strings.ContainsAny(key, " ") && isPrintable(key)
}

// isPrintable reports whether a text consists of printable ASCII characters.
func isPrintable(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// tenantFields are the settings of a tenant, by their keys in the document.
var tenantFields = map[string]field[Tenant]{
	"rate":  {gjson.Number, numberBetween(0, maxTenantRate), func(t *Tenant, r gjson.Result) { t.Rate = r.Num }},
	"burst": {gjson.Number, numberBetween(0, maxTenantRate), func(t *Tenant, r gjson.Result) { t.Burst = r.Num }},
	"keys":  {gjson.JSON, checkKeyHashes, func(*Tenant, gjson.Result) {}}, // read by addKeys
}

// checkKeyHashes checks a list of API key hashes, which may be empty.
func checkKeyHashes(r gjson.Result) string {
	count, isValid := 0, true
	r.ForEach(func(_, item gjson.Result) bool {
		count++
		_, isValid = readHash(item)
		return isValid && count <= MaxKeysPerTenant
	})
	switch {
	case !r.IsArray() || count > MaxKeysPerTenant:
		return "must be a list of at most 100 key hashes"
	case !isValid:
		return "must hold SHA-256 hashes of keys, as 64 hexadecimal digits each"
	}
	return ""
}

// readHash decodes the hexadecimal hash of an API key.
func readHash(r gjson.Result) (out KeyHash, isHash bool) {
	if r.Type != gjson.String || len(r.Str) != hex.EncodedLen(len(out)) {
		return out, false
	}
	_, err := hex.Decode(out[:], []byte(r.Str))
	return out, err == nil
}

// readTenants reads the tenants of a document.
func (c *compiler) readTenants(root gjson.Result) {
	tenants := root.Get("tenants")
	if !tenants.Exists() {
		return
	}
	if !tenants.IsObject() {
		c.addFault("tenants", "must be an object")
		return
	}
	c.rules.Tenants, c.rules.keys = map[string]Tenant{}, map[KeyHash]keyTenant{}
	eachMember(tenants, c.readTenant)
	if len(c.rules.Tenants) > MaxTenants {
		c.addFault("tenants", "must have at most 5000 members")
	}
}

// readTenant reads one tenant and its keys.
func (c *compiler) readTenant(name string, r gjson.Result) {
	path := "tenants." + name
	switch {
	case !IsTenantName(name):
		c.addFault(path, "must have a name of 1 to 128 printable ASCII characters, without a space at either end")
		return
	case !r.IsObject() || r.Get("children").Exists():
		c.addFault(path, "must be an object without children")
		return
	}
	tenant, isValid := readFields(c, path, r, Tenant{Name: name}, tenantFields)
	if !isValid {
		return
	}
	if tenant.Rate > 0 && tenant.Burst < 1 {
		c.addFault(path+".burst", "must be at least 1 if there is a rate")
	}
	c.rules.Tenants[name] = tenant
	c.addKeys(path, name, r.Get("keys"))
}

// addKeys records the keys of a tenant. A key that belongs to two tenants is a fault.
func (c *compiler) addKeys(path, name string, keys gjson.Result) {
	keys.ForEach(func(_, item gjson.Result) bool {
		hash, _ := readHash(item)
		if other, isHeld := c.rules.keys[hash]; isHeld && other.tenant != name {
			c.addFault(path+".keys", "has a key that also belongs to tenant "+other.tenant)
		}
		c.rules.keys[hash] = keyTenant{hash, name}
		return true
	})
}
