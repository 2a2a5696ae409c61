package standin

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// keyring holds the API keys that clients know of their tenants.
type keyring struct {
	mu          sync.Mutex
	validKeys   map[string][]string // valid keys by tenant
	revokedKeys map[string][]string // keys removed from the tenant, by tenant
}

// newKeyring returns the keys of the first configuration's tenants.
func newKeyring(tenants []tenant) *keyring {
	k := &keyring{validKeys: map[string][]string{}, revokedKeys: map[string][]string{}}
	k.update(tenants)
	return k
}

// update takes over the tenants of an acknowledged configuration.
func (k *keyring) update(tenants []tenant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range tenants {
		for _, key := range k.validKeys[t.Name] {
			if !slices.Contains(t.ApiKeys, key) {
				k.revokedKeys[t.Name] = append(k.revokedKeys[t.Name], key)
			}
		}
		k.validKeys[t.Name] = slices.Clone(t.ApiKeys)
	}
}

// Percentages of requests that do not carry a valid API key of their tenant.
const (
	revokedKeyPercent = 3 // a removed key
	unknownKeyPercent = 1
	missingKeyPercent = 1
)

// draw returns the API key that a client of a tenant sends; empty for none. Clients of a tenant that has lost all its
// keys keep using a removed one.
func (k *keyring) draw(name string, rng *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	valid, revoked := k.validKeys[name], k.revokedKeys[name]
	chance := rng.IntN(100)
	switch {
	case chance < unknownKeyPercent:
		return newApiKey(rng)
	case chance < unknownKeyPercent+missingKeyPercent:
		return ""
	case len(revoked) > 0 && (len(valid) == 0 || chance < unknownKeyPercent+missingKeyPercent+revokedKeyPercent):
		return revoked[rng.IntN(len(revoked))]
	case len(valid) == 0:
		return ""
	}
	return valid[rng.IntN(len(valid))]
}

// valid returns a valid API key of a tenant, for queries about its messages; empty if it has none.
func (k *keyring) valid(name string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if keys := k.validKeys[name]; len(keys) > 0 {
		return keys[0]
	}
	return ""
}

// apiKeyField returns the header field of a request that contains an API key, or "URL"; empty for none.
func apiKeyField(r *http.Request) string {
	for name, values := range r.Header {
		if strings.Contains(strings.Join(values, " "), apiKeyPrefix) {
			return name
		}
	}
	if strings.Contains(r.URL.String(), apiKeyPrefix) {
		return "URL"
	}
	return ""
}

// crossTenantQueryEvery: one observation in so many is followed by a query with a foreign API key.
const crossTenantQueryEvery = 20

// queryAcrossTenants queries a tenant's message with another tenant's API key, or with none.
func (s *Site) queryAcrossTenants(sent Submission) {
	if sent.Tenant == "" || len(s.plan.Customers) == 0 || rand.IntN(crossTenantQueryEvery) > 0 {
		return
	}
	other := s.plan.Customers[rand.IntN(len(s.plan.Customers))].Name
	key := s.keys.valid(other)
	if other == sent.Tenant {
		key = ""
	}
	addr := s.at(s.entry.fronts[rand.IntN(len(s.entry.fronts))].host, portFront)
	path := []string{"/v1/message/", "/v1/message-body/"}[rand.IntN(2)]
	go func() {
		code, _ := s.queryWithKey(key, addr, sent, path)
		s.History.WithLock(func() {
			s.History.CrossTenantQueries = append(s.History.CrossTenantQueries, CrossTenantQuery{sent.Token, sent.Tenant, key, code})
		})
	}()
}
