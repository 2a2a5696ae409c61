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

// Limiter enforces the tenants' rate limits, which apply to all adapters together.
type Limiter interface {
	// Admit returns a permit for one message. It returns errs.OverQuota if the limit is exhausted, and errs.Lost if
	// that cannot be determined now. A tenant without a limit is always admitted.
	Admit(ctx context.Context, tenant config.Tenant) (Permit, error)
}

// Permit is the right to accept one message of a tenant. End is called exactly once.
type Permit interface {
	End(isCounted bool)
}

// Unlimited is a Limiter that admits everything.
type Unlimited struct{}

// noopPermit is the permit of Unlimited.
type noopPermit struct{}

// Admit implements Limiter.
func (Unlimited) Admit(context.Context, config.Tenant) (Permit, error) { return noopPermit{}, nil }

// End implements Permit.
func (noopPermit) End(bool) {}

// SetLimiter sets the limiter; to be called once, before anything is served.
func (in *Intake) SetLimiter(limiter Limiter) { in.limiter = limiter }

// bearerPrefix is the start of an Authorization header with an API key.
const bearerPrefix = web.AuthScheme + " "

// BearerToken returns the API key of a request, or an empty string if there is none.
func BearerToken(r *http.Request) string {
	text := r.Header.Get("Authorization")
	if len(text) < len(bearerPrefix) || !strings.EqualFold(text[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(text[len(bearerPrefix):])
}

// findTenant sets the tenant of an API key by the same configuration as the request's lane.
func (in *Intake) findTenant(e *request, key string) error {
	tenant, err := tenantFor(e.compiled.Rules, e.lane, key)
	if err != nil && !e.isFresh { // a newer configuration may have the key
		return errStale()
	}
	e.tenant = tenant
	return err
}

// tenantFor returns the tenant of an API key for a lane. On a public lane, requests with an unknown key or none are
// accepted without a tenant.
func tenantFor(rules *config.Rules, lane config.Lane, key string) (config.Tenant, error) {
	if !rules.HasTenants() {
		return config.Tenant{}, nil
	}
	tenant, isHeld := rules.TenantOf(key)
	if !isHeld && !lane.IsPublic {
		return tenant, errs.New(errs.Unauthorized, "the API key is missing or belongs to no tenant")
	}
	return tenant, nil
}

// assignKeys sets the operation key and the ordering key. On an ordered lane, a message without an ordering key gets
// one of its own, so that it is ordered with no other message.
func (e *request) assignKeys(operationKey, orderingKey string) {
	e.operationKey, e.orderingKey = operationKey, orderingKey
	if !e.lane.IsOrdered {
		return
	}
	switch {
	case orderingKey == "" && operationKey != "":
		orderingKey = "-" + operationKey
	case orderingKey == "":
		orderingKey = "-" + daemon.RandomId(8)
	}
	e.take.Key = wire.ScopedKey(e.tenant.Name, orderingKey)
}

// scopeKeys prefixes the keys of a message with its tenant.
func (e *request) scopeKeys() {
	e.take.Key = wire.ScopedKey(e.tenant.Name, e.take.Key)
	e.take.IdempotencyKey = wire.ScopedKey(e.tenant.Name, e.take.IdempotencyKey)
}

// Parts of the token in a message id that no operation key determines.
const (
	idempotencyDigits = 24
	randomBytes       = 12
)

// tokenOf returns the part of a message's id after the place.
func tokenOf(e *request) string {
	t := &e.take
	switch {
	case e.operationKey != "":
		return wire.OperationToken(e.tenant.Name, e.operationKey)
	case t.IdempotencyKey != "":
		return wire.TenantDigest(e.tenant.Name) + "k" + wire.Checksum([]byte(t.Lane + "\x00" + t.Key + "\x00" + t.IdempotencyKey))[:idempotencyDigits]
	}
	return wire.TenantDigest(e.tenant.Name) + daemon.RandomId(randomBytes)
}

// belongsTo reports whether the message with this id belongs to a tenant.
func belongsTo(id, tenant string) bool {
	_, token, _ := strings.Cut(id, "-")
	prefix := wire.TenantDigest(tenant)
	return prefix != "" && len(token) >= len(prefix) && subtle.ConstantTimeCompare([]byte(token[:len(prefix)]), []byte(prefix)) == 1
}

// CheckAccess returns an error of kind errs.Unauthorized, errs.Unknown or errs.Stale if the caller of a request may not
// access a message. A tenant's message is accessible to that tenant only, whatever the configuration has become; a
// message without a tenant is accessible to everyone.
func (in *Intake) CheckAccess(r *http.Request, id string) error {
	if !wire.HasTenant(id) {
		return nil
	}
	isFresh := in.d.IsFresh() // checked before the configuration is read, so that a key missing from it is really missing
	tenant, isHeld := in.configs.Current().Rules.TenantOf(BearerToken(r))
	switch {
	case !isFresh:
		return errStale()
	case !isHeld:
		return errs.New(errs.Unauthorized, "the API key is missing or belongs to no tenant")
	case !belongsTo(id, tenant.Name):
		return errs.New(errs.Unknown, "the tenant of the API key has no message with this id")
	}
	return nil
}

// RequireAccess wraps a handler so that it serves only callers who may access the message named in the path.
func (in *Intake) RequireAccess(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := in.CheckAccess(r, r.PathValue("id")); err != nil {
			web.WriteError(w, err)
			return
		}
		serve(w, r)
	}
}

// countsAgainstLimit reports whether an admitted message counts against its tenant's limit. It does not if it is known
// not to be held, or repeats a message that was counted.
func (e *request) countsAgainstLimit(err error) bool {
	if err != nil || e.taken == nil {
		return errs.Is(err, errs.Undecided)
	}
	isRepeat := e.taken.IsRepeat && !e.mayBeHeldEarlier // else it may repeat an earlier attempt of this request
	return e.taken.Kind == "" && !isRepeat
}
