package intake

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// setRevisionHeader tells the caller under which configuration the answer was given.
func setRevisionHeader(w http.ResponseWriter, e *request) {
	if e.compiled != nil {
		w.Header().Set("X-Charter-Stamp", strconv.FormatInt(e.compiled.Revision, 10))
	}
}

func (in *Intake) post(w http.ResponseWriter, r *http.Request) {
	if n := in.inFlight.Add(1); n > int64(in.d.Settings.MaxInFlight) {
		in.inFlight.Add(-1)
		in.reject(w, errs.New(errs.Full, "the adapter has %d messages in hand", n-1), &request{mayBeHeld: r.Header.Get("Idempotency-Key") != ""})
		return
	}
	defer in.inFlight.Add(-1)
	e := &request{ctx: r.Context()}
	if err := in.readRequest(r, e); err != nil {
		in.reject(w, err, e)
		return
	}
	if err := in.admit(e); err != nil {
		in.reject(w, err, e)
		return
	}
	if e.taken.Kind != "" {
		in.reject(w, errs.New(errs.Kind(e.taken.Kind), "%s", e.taken.Text), e)
		return
	}
	in.count(e, resultTaken)
	setRevisionHeader(w, e)
	in.replyAccepted(w, r, e.taken.Id, e.taken.State)
}

func (in *Intake) readRequest(r *http.Request, e *request) error {
	if err := checkHeaders(r); err != nil {
		return err
	}
	idem, ctype := r.Header.Get("Idempotency-Key"), r.Header.Get("Content-Type")
	e.take = wire.Take{Lane: r.PathValue("lane"), Key: r.Header.Get("Ordering-Key"), IdempotencyKey: idem, ContentType: ctype}
	e.mayBeHeld = idem != "" // an earlier send may be held, whatever becomes of this one
	in.identifyTenant(e, r)
	e.scopeKeys()
	if idem != "" {
		in.assignPlace(e)
	}
	scopedTo := e.tenant.Name
	if err := in.findRules(e, r); err != nil {
		return err
	}
	body, err := web.ReadBody(r, e.lane.MaxBodyBytes)
	if err != nil {
		return err
	}
	if strings.HasPrefix(ctype, "application/json") && !isJson(body) {
		return errs.New(errs.Invalid, "the body says that it is JSON and is not")
	}
	e.take.Body, e.take.Checksum = body, wire.Checksum(body)
	if err := in.findRules(e, r); err != nil { // a body may take long to come
		return err
	}
	if e.tenant.Name != scopedTo { // its id is of the tenant before
		return errs.New(errs.Stale, "the API key has passed to another tenant meanwhile")
	}
	return nil
}

// checkHeaders checks what a request says besides its body.
func checkHeaders(r *http.Request) error {
	switch {
	case len(r.Header.Get("Ordering-Key")) > maxKeyBytes, len(r.Header.Get("Idempotency-Key")) > maxKeyBytes:
		return errs.New(errs.Invalid, "keys may have %d bytes at most", maxKeyBytes)
	case len(r.Header.Get("Content-Type")) > maxKeyBytes:
		return errs.New(errs.Invalid, "the Content-Type is too long")
	}
	for name := range r.URL.Query() {
		if name != "wait" {
			return errs.New(errs.Invalid, "unknown parameter %s", name)
		}
	}
	_, err := waitOf(r)
	return err
}

// findRules takes the lane's rules and the sender's tenant of the configuration as it is now.
func (in *Intake) findRules(e *request, r *http.Request) error {
	if err := in.findLane(e); err != nil {
		return err
	}
	return in.findTenant(e, BearerToken(r))
}

// errStale is what callers are told while the configuration may be an older one.
func errStale() error {
	return errs.New(errs.Stale, "this adapter has lost touch with the control plane")
}

// identifyTenant finds out whose keys those are that the request carries, before anything else: they
// name another message for each tenant.
func (in *Intake) identifyTenant(e *request, r *http.Request) {
	if rules := in.configs.Current().Rules; rules.HasTenants() {
		e.tenant, _ = rules.TenantOf(BearerToken(r))
	}
}

// findLane takes the lane's rules of the configuration as it is now.
func (in *Intake) findLane(e *request) error {
	e.isFresh = in.d.IsFresh() // asked before the configuration, so that a lane missing from it is missing
	e.compiled = in.configs.Current()
	lane, isKnown := e.compiled.Rules.Lanes[e.take.Lane]
	if !isKnown {
		if !e.isFresh {
			return errStale()
		}
		return errs.New(errs.Unknown, "no lane %s", e.take.Lane)
	}
	e.lane, e.take.Deadline = lane, int64(lane.Patience/time.Millisecond)
	return nil
}

// isDefinite: of a message with an idempotency key, only these errors say that
// no send of it was or will be held: what it is made of, and its place's word.
func isDefinite(kind errs.Kind) bool {
	return kind == errs.Invalid || kind == errs.Rejected || kind == errs.Conflict
}

// reject answers a message that is not held, or not known to be.
func (in *Intake) reject(w http.ResponseWriter, err error, e *request) {
	kind := errs.KindOf(err)
	p := web.Problem{Error: kind, Text: err.Error(), Taken: false}
	if e.mayBeHeld && !isDefinite(kind) {
		p.Taken = "undecided"
	}
	if (e.mayBeHeld || e.taken != nil) && kind != errs.Unauthorized { // then it is not known whose message it would be
		p.Id = e.take.Id
	}
	in.count(e, string(kind))
	if kind != errs.Stale { // then no configuration was in use
		setRevisionHeader(w, e)
	}
	web.WriteProblem(w, web.StatusOf(kind), p, in.retryAfter(kind, e))
}

// retryAfter reports when to come back, from what is known of the cause.
func (in *Intake) retryAfter(kind errs.Kind, e *request) time.Duration {
	if e.taken != nil && e.taken.Retry > 0 {
		return time.Duration(e.taken.Retry) * time.Millisecond
	}
	switch kind {
	case errs.NotOwner: // a place has a new owner after this long
		return in.d.Bounds.Of(timing.ElectionTimeout + timing.ElectionSpread)
	case errs.Undecided:
		return in.d.Bounds.Of(timing.SettleTimeout)
	case errs.Stale, errs.Lost: // a session is found again within this
		return in.d.Bounds.Of(timing.AnswerTimeout)
	case errs.DiskFull:
		return 10 * in.d.Bounds.ConfigApply
	case errs.OverQuota: // a tenant's limit lets more in within this
		return in.d.Bounds.Of(timing.Permit)
	case errs.Full:
		return in.d.Bounds.Of(timing.Permit)
	}
	return 0
}
