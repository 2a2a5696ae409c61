package intake

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// Limiter admits messages of tenants, so that the whole fleet accepts no more of one than its limit allows.
type Limiter interface {
	// Admit returns a permit for one message, or an error of kind errs.OverQuota, or errs.Lost if whether
	// the tenant is within its limit cannot be found out now. A tenant without a limit is always admitted.
	Admit(ctx context.Context, tenant config.Tenant) (Permit, error)
}

// Permit is the right to have one message of a tenant accepted. End is called once.
type Permit interface {
	End(isCounted bool)
}

// Unlimited admits everything.
type Unlimited struct{}

type noopPermit struct{}

// Admit implements Limits.
func (Unlimited) Admit(context.Context, config.Tenant) (Permit, error) { return noopPermit{}, nil }

func (noopPermit) End(bool) {}

// SetLimiter has messages admitted by limits; called once, before anything is served.
func (in *Intake) SetLimiter(limits Limiter) { in.limiter = limits }

// bearerPrefix is how a header field begins that holds an API key.
const bearerPrefix = web.AuthScheme + " "

// BearerToken returns the API key that a request carries, or an empty string without one.
func BearerToken(r *http.Request) string {
	text := r.Header.Get("Authorization")
	if len(text) < len(bearerPrefix) || !strings.EqualFold(text[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(text[len(bearerPrefix):])
}

// findTenant takes the tenant that holds the caller's key, by the rules that the request's lane is of.
func (in *Intake) findTenant(e *request, key string) error {
	tenant, err := tenantFor(e.compiled.Rules, e.lane, key)
	if err != nil && !e.isFresh { // a newer configuration may hold the key
		return errStale()
	}
	e.tenant = tenant
	return err
}

// tenantFor returns the tenant that a key's caller may send as on a lane. A public lane takes callers
// without a key, or with one that nobody holds, as nobody's.
func tenantFor(rules *config.Rules, lane config.Lane, key string) (config.Tenant, error) {
	if !rules.HasTenants() {
		return config.Tenant{}, nil
	}
	tenant, isHeld := rules.TenantOf(key)
	if !isHeld && !lane.IsPublic {
		return tenant, errs.New(errs.Unauthorized, "no tenant holds the API key")
	}
	return tenant, nil
}

// assignKeys gives the message what it is known by: the name that its tenant gave it, and the ordering key
// of the tenant's. One without a key is about nothing that others are about.
func (e *request) assignKeys(name, key string) {
	e.operationKey, e.orderingKey = name, key
	if !e.lane.IsOrdered {
		return
	}
	switch {
	case key == "" && name != "":
		key = "-" + name
	case key == "":
		key = "-" + daemon.RandomId(8)
	}
	e.take.Key = wire.ScopedKey(e.tenant.Name, key)
}

// scopeKeys makes the keys of a message those of its tenant.
func (e *request) scopeKeys() {
	e.take.Key = wire.ScopedKey(e.tenant.Name, e.take.Key)
	e.take.IdempotencyKey = wire.ScopedKey(e.tenant.Name, e.take.IdempotencyKey)
}

// Parts of a message's token.
const (
	tenantPrefix    = "t" // begins the token of a message that is a tenant's; no other token begins so
	tenantDigits    = 16  // hexadecimal digits of the tenant's name that follow
	operationDigits = 32  // hexadecimal digits that a name is known by: 128 bits
	idemDigits      = 24
	randomBytes     = 12
)

// tokenOf returns what follows the place in a message's id.
func tokenOf(e *request) string {
	t := &e.take
	switch {
	case e.operationKey != "":
		return OperationToken(e.tenant.Name, e.operationKey)
	case t.IdempotencyKey != "":
		return tenantTokenPrefix(e.tenant.Name) + "k" + wire.Checksum([]byte(t.Lane + "\x00" + t.Key + "\x00" + t.IdempotencyKey))[:idemDigits]
	}
	return tenantTokenPrefix(e.tenant.Name) + daemon.RandomId(randomBytes)
}

// OperationToken returns what follows the place in the id of all sends of a tenant with one operation key.
func OperationToken(tenant, operation string) string {
	return tenantTokenPrefix(tenant) + "n" + wire.Checksum([]byte(tenant + "\x00" + operation))[:operationDigits]
}

// tenantTokenPrefix returns what marks the messages of a tenant, nothing for none.
func tenantTokenPrefix(tenant string) string {
	if tenant == "" {
		return ""
	}
	return tenantPrefix + wire.Checksum([]byte(tenant))[:tenantDigits]
}

// hasTenant reports whether a message is a tenant's, by its id.
func hasTenant(id string) bool {
	_, token, _ := strings.Cut(id, "-")
	return strings.HasPrefix(token, tenantPrefix)
}

// belongsTo reports whether a message is one of a tenant.
func belongsTo(id, tenant string) bool {
	_, token, _ := strings.Cut(id, "-")
	tag := tenantTokenPrefix(tenant)
	return tag != "" && len(token) >= len(tag) && subtle.ConstantTimeCompare([]byte(token[:len(tag)]), []byte(tag)) == 1
}

// CheckAccess returns an error of kind errs.Unauthorized, errs.Unknown or errs.Stale if the caller of a
// request may not ask for a message. A tenant's is the tenant's alone, whatever became of the
// configuration; anybody may ask for one that is nobody's.
func (in *Intake) CheckAccess(r *http.Request, id string) error {
	if !hasTenant(id) {
		return nil
	}
	isFresh := in.d.IsFresh() // before the configuration, so that a key missing from it is missing
	tenant, isHeld := in.configs.Current().Rules.TenantOf(BearerToken(r))
	switch {
	case !isFresh:
		return errStale()
	case !isHeld:
		return errs.New(errs.Unauthorized, "no tenant holds the API key")
	case !belongsTo(id, tenant.Name):
		return errs.New(errs.Unknown, "no message has such an id")
	}
	return nil
}

// RequireAccess serves callers who may ask for the message that the path's id names, and refuses others.
func (in *Intake) RequireAccess(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := in.CheckAccess(r, r.PathValue("id")); err != nil {
			web.WriteError(w, err)
			return
		}
		serve(w, r)
	}
}

// countsAgainstLimit reports whether a message that was admitted counts against its tenant's limit: not one that is
// known not to be held, nor a repeat of one that was counted.
func (e *request) countsAgainstLimit(err error) bool {
	if err != nil || e.taken == nil {
		return errs.Is(err, errs.Undecided)
	}
	isRepeat := e.taken.IsRepeat && !e.mayBeHeldEarlier // else it may be this request's own ask that is repeated
	return e.taken.Kind == "" && !isRepeat
}
