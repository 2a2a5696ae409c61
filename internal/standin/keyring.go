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
	mu    sync.Mutex
	held  map[string][]string // by tenant
	taken map[string][]string // keys that it once held
}

func newKeyring(tenants []tenant) *keyring {
	k := &keyring{held: map[string][]string{}, taken: map[string][]string{}}
	k.learn(tenants)
	return k
}

// learn takes the tenants of a configuration that was acknowledged.
func (k *keyring) learn(tenants []tenant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range tenants {
		for _, key := range k.held[t.Name] {
			if !slices.Contains(t.ApiKeys, key) {
				k.taken[t.Name] = append(k.taken[t.Name], key)
			}
		}
		k.held[t.Name] = slices.Clone(t.ApiKeys)
	}
}

// Of a hundred requests so many carry something other than a key that their tenant holds.
const (
	takenKeys   = 3 // one that was taken away
	unknownKeys = 1
	noKeys      = 1
)

// draw returns what a client of a tenant sends as its API key; empty for none. Clients of a tenant that has
// lost all its keys go on with an old one.
func (k *keyring) draw(name string, draws *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	held, taken := k.held[name], k.taken[name]
	chance := draws.IntN(100)
	switch {
	case chance < unknownKeys:
		return newApiKey(draws)
	case chance < unknownKeys+noKeys:
		return ""
	case len(taken) > 0 && (len(held) == 0 || chance < unknownKeys+noKeys+takenKeys):
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

// keyIn returns the field of a request in which an API key stands; empty for none.
func keyIn(r *http.Request) string {
	for name, values := range r.Header {
		if strings.Contains(strings.Join(values, " "), apiKeyMark) {
			return name
		}
	}
	if strings.Contains(r.URL.String(), apiKeyMark) {
		return "URL"
	}
	return ""
}

// pryShare: one sight in so many is followed by a question of somebody else.
const pryShare = 20

// pry asks for a tenant's message as another tenant, or as nobody.
func (s *Site) pry(sent Sent) {
	if sent.Tenant == "" || len(s.plan.Customers) == 0 || rand.IntN(pryShare) > 0 {
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
		code, _ := s.askWith(key, addr, sent, path)
		s.History.Add(func() { s.History.Pries = append(s.History.Pries, Pry{sent.Token, sent.Tenant, key, code}) })
	}()
}
