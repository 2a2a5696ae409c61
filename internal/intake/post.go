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

// setRevisionHeader adds the revision of the configuration that the answer is based on.
func setRevisionHeader(w http.ResponseWriter, e *request) {
	if e.compiled != nil {
		w.Header().Set("X-Charter-Stamp", strconv.FormatInt(e.compiled.Revision, 10))
	}
}

// post accepts a message on a lane.
func (in *Intake) post(w http.ResponseWriter, r *http.Request) {
	if n := in.inFlight.Add(1); n > int64(in.d.Settings.MaxInFlight) {
		in.inFlight.Add(-1)
		in.reject(w, errs.New(errs.Full, "request refused: %d requests are in progress on this adapter, the maximum", n-1), &request{mayBeHeld: r.Header.Get("Idempotency-Key") != ""})
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

// readRequest checks a request and fills in the message, its lane and its tenant.
func (in *Intake) readRequest(r *http.Request, e *request) error {
	if err := checkHeaders(r); err != nil {
		return err
	}
	idempotencyKey, contentType := r.Header.Get("Idempotency-Key"), r.Header.Get("Content-Type")
	e.take = wire.Take{Lane: r.PathValue("lane"), Key: r.Header.Get("Ordering-Key"), IdempotencyKey: idempotencyKey, ContentType: contentType}
	e.mayBeHeld = idempotencyKey != "" // an earlier request with the key may be held, whatever becomes of this one
	in.identifyTenant(e, r)
	e.scopeKeys()
	if idempotencyKey != "" {
		in.assignPlace(e)
	}
	scopedTenant := e.tenant.Name
	if err := in.findRules(e, r); err != nil {
		return err
	}
	body, err := web.ReadBody(r, e.lane.MaxBodyBytes)
	if err != nil {
		return err
	}
	if strings.HasPrefix(contentType, "application/json") && !isJson(body) {
		return errs.New(errs.Invalid, "the request's Content-Type is JSON and its body is not valid JSON")
	}
	e.take.Body, e.take.Checksum = body, wire.Checksum(body)
	if err := in.findRules(e, r); err != nil { // again, since the body may have taken long to arrive
		return err
	}
	if e.tenant.Name != scopedTenant { // its id was derived for the previous tenant
		return errs.New(errs.Stale, "the API key has passed to another tenant while the body was read")
	}
	return nil
}

// checkHeaders checks the header fields and parameters of a request.
func checkHeaders(r *http.Request) error {
	switch {
	case len(r.Header.Get("Ordering-Key")) > maxKeyBytes, len(r.Header.Get("Idempotency-Key")) > maxKeyBytes:
		return errs.New(errs.Invalid, "Ordering-Key and Idempotency-Key may have %d bytes at most", maxKeyBytes)
	case len(r.Header.Get("Content-Type")) > maxKeyBytes:
		return errs.New(errs.Invalid, "header Content-Type is too long")
	}
	for name := range r.URL.Query() {
		if name != "wait" {
			return errs.New(errs.Invalid, "request has the unknown parameter %s", name)
		}
	}
	_, err := waitOf(r)
	return err
}

// findRules sets the lane and the sender's tenant from the current configuration.
func (in *Intake) findRules(e *request, r *http.Request) error {
	if err := in.findLane(e); err != nil {
		return err
	}
	return in.findTenant(e, BearerToken(r))
}

// errStale is the error while this adapter's configuration may be outdated.
func errStale() error {
	return errs.New(errs.Stale, "this adapter has lost contact with the control plane; its configuration may be outdated")
}

// identifyTenant sets the tenant of the request's API key. It comes first, because the same idempotency and ordering
// keys denote different messages for each tenant.
func (in *Intake) identifyTenant(e *request, r *http.Request) {
	if rules := in.configs.Current().Rules; rules.HasTenants() {
		e.tenant, _ = rules.TenantOf(BearerToken(r))
	}
}

// findLane sets the lane from the current configuration.
func (in *Intake) findLane(e *request) error {
	e.isFresh = in.d.IsFresh() // before the configuration is read, so that a lane missing from it is really missing
	e.compiled = in.configs.Current()
	lane, isKnown := e.compiled.Rules.Lanes[e.take.Lane]
	if !isKnown {
		if !e.isFresh {
			return errStale()
		}
		return errs.New(errs.Unknown, "the configuration has no lane %s", e.take.Lane)
	}
	e.lane, e.take.Deadline = lane, int64(lane.Patience/time.Millisecond)
	return nil
}

// isDefinite reports whether an error means, for a message with an idempotency key, that no request with the key was or
// will be held. Only a fault of the message itself or the place's own answer do.
func isDefinite(kind errs.Kind) bool {
	return kind == errs.Invalid || kind == errs.Rejected || kind == errs.Conflict
}

// reject answers a request whose message is not held, or not known to be held.
func (in *Intake) reject(w http.ResponseWriter, err error, e *request) {
	kind := errs.KindOf(err)
	p := web.Problem{Error: kind, Text: err.Error(), Taken: false}
	if e.mayBeHeld && !isDefinite(kind) {
		p.Taken = "undecided"
	}
	// Without a valid API key, the tenant is unknown and so is the id.
	if (e.mayBeHeld || e.taken != nil) && kind != errs.Unauthorized {
		p.Id = e.take.Id
	}
	in.count(e, string(kind))
	if kind != errs.Stale { // a stale answer is based on no configuration
		setRevisionHeader(w, e)
	}
	web.WriteProblem(w, web.StatusOf(kind), p, in.retryAfter(kind, e))
}

// retryAfter returns when the caller should retry, estimated from the kind of error.
func (in *Intake) retryAfter(kind errs.Kind, e *request) time.Duration {
	if e.taken != nil && e.taken.Retry > 0 {
		return time.Duration(e.taken.Retry) * time.Millisecond
	}
	switch kind {
	case errs.NotOwner: // time to elect a new owner
		return in.d.Bounds.Of(timing.ElectionTimeout + timing.ElectionSpread)
	case errs.Undecided:
		return in.d.Bounds.Of(timing.SettleTimeout)
	case errs.Stale, errs.Lost: // time to re-establish a session
		return in.d.Bounds.Of(timing.AnswerTimeout)
	case errs.DiskFull:
		return 10 * in.d.Bounds.ConfigApply
	case errs.OverQuota: // time until the tenant's limit admits more
		return in.d.Bounds.Of(timing.Permit)
	case errs.Full:
		return in.d.Bounds.Of(timing.Permit)
	}
	return 0
}
