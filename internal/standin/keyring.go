package standin

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// keyring is what clients know of their tenants' API keys.
type keyring struct {
	mu      sync.Mutex
	held    map[string][]string // by tenant
	revoked map[string][]string // keys that it once held
}

func newKeyring(tenants []tenant) *keyring {
	k := &keyring{held: map[string][]string{}, revoked: map[string][]string{}}
	k.update(tenants)
	return k
}

// update takes the tenants of a configuration that was acknowledged.
func (k *keyring) update(tenants []tenant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range tenants {
		for _, key := range k.held[t.Name] {
			if !slices.Contains(t.ApiKeys, key) {
				k.revoked[t.Name] = append(k.revoked[t.Name], key)
			}
		}
		k.held[t.Name] = slices.Clone(t.ApiKeys)
	}
}

// Of a hundred requests so many carry something other than a key that their tenant holds.
const (
	revokedKeyPercent = 3 // one that was taken away
	unknownKeyPercent = 1
	missingKeyPercent = 1
)

// drawBody returns what a client of a tenant sends as its API key; empty for none. Clients of a tenant that has
// lost all its keys go on with an old one.
func (k *keyring) draw(name string, draws *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	held, taken := k.held[name], k.revoked[name]
	chance := draws.IntN(100)
	switch {
	case chance < unknownKeyPercent:
		return newApiKey(draws)
	case chance < unknownKeyPercent+missingKeyPercent:
		return ""
	case len(taken) > 0 && (len(held) == 0 || chance < unknownKeyPercent+missingKeyPercent+revokedKeyPercent):
		return taken[draws.IntN(len(taken))]
	case len(held) == 0:
		return ""
	}
	return held[draws.IntN(len(held))]
}

// valid returns a key that a tenant holds, for those who ask what became of its messages; empty without one.
func (k *keyring) valid(name string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if held := k.held[name]; len(held) > 0 {
		return held[0]
	}
	return ""
}

// apiKeyField returns the field of a request in which an API key stands; empty for none.
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

// crossTenantQueryEvery: one sight in so many is followed by a question of somebody else.
const crossTenantQueryEvery = 20

// queryAcrossTenants asks for a tenant's message as another tenant, or as nobody.
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
