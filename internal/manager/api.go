package manager

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// serveApi registers the handlers of the operators' HTTP API.
func (m *Manager) serveApi() {
	type handlersByMethod = map[string]http.HandlerFunc
	paths := map[string]handlersByMethod{
		"/v1/charter":                {"GET": m.getConfig, "PUT": m.putConfig, "PATCH": m.patchConfig},
		"/v1/charter/history":        {"GET": m.getHistory},
		"/v1/pools/{pool}/workers":   {"GET": m.getWorkers, "PUT": m.putWorkers, "PATCH": m.patchWorkers},
		"/v1/cells/{cell}/empty":     {"POST": m.postOrder("cell", m.drainZone)},
		"/v1/cells/{cell}/restore":   {"POST": m.postOrder("cell", m.restoreZone)},
		"/v1/stores/{store}/retire":  {"POST": m.postOrder("store", m.retireStore)},
		"/v1/stores/{store}/restore": {"POST": m.postOrder("store", m.restoreStore)},
		"/v1/stores/{store}":         {"GET": m.getStore},
		"/v1/status":                 {"GET": m.getStatus},
		"/v1/daemons":                {"GET": m.getDaemons},
	}
	for path, methods := range paths {
		m.d.Mux.HandleFunc(path, web.ByMethod(methods))
	}
	m.d.Mux.HandleFunc("/", web.NotFound)
}

// baseRevision returns the revision that an edit is based on. A request without one is rejected: an
// edit without a base could overwrite a change that its author has not seen.
func baseRevision(r *http.Request) (int64, error) {
	text := r.Header.Get("If-Match")
	if r.Header.Get("If-None-Match") == "*" && text == "" {
		return 0, nil
	}
	if text == "" {
		return 0, errs.New(errs.Missing, "If-Match is missing: it must hold the stamp that the change is based on")
	}
	revision, err := strconv.ParseInt(strings.Trim(text, `"`), 10, 64)
	if err != nil || revision < 0 {
		return 0, errs.New(errs.Invalid, "If-Match must be a stamp, a whole number from 0")
	}
	return revision, nil
}

// etag returns a revision as the value of an ETag header.
func etag(revision int64) string { return `"` + strconv.FormatInt(revision, 10) + `"` }

// operatorName returns who makes a change and when, for the history. The time is informational;
// nothing compares it.
func operatorName(r *http.Request) string {
	name := r.Header.Get("X-Operator")
	if name == "" {
		name = "operator"
	}
	return name[:min(len(name), 64)] + " from " + r.RemoteAddr + " at " + time.Now().UTC().Format(time.RFC3339)
}

// rejectEdit answers an edit that has failed or whose outcome is unknown.
func rejectEdit(w http.ResponseWriter, err error) {
	if errs.Is(err, errs.Conflict) {
		web.WriteProblem(w, 412, web.Problem{Error: errs.Conflict, Text: "another change came first: " + err.Error()}, 0)
		return
	}
	web.WriteError(w, err)
}

func (m *Manager) getConfig(w http.ResponseWriter, r *http.Request) {
	doc, revision, err := m.operators.Config(r.Context())
	if err != nil {
		web.WriteError(w, err)
		return
	}
	w.Header().Set("ETag", etag(revision))
	web.WriteJson(w, 200, json.RawMessage(doc))
}

func (m *Manager) putConfig(w http.ResponseWriter, r *http.Request) {
	body, err := web.ReadBody(r, config.MaxDocumentBytes)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	m.proposeConfig(w, r, body, func([]byte) ([]byte, error) { return body, nil })
}

func (m *Manager) patchConfig(w http.ResponseWriter, r *http.Request) {
	body, err := web.ReadBody(r, config.MaxDocumentBytes)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	m.proposeConfig(w, r, body, func(base []byte) ([]byte, error) { return config.Merge(base, body) })
}

// proposeConfig proposes the document that make returns for the current one, or only checks it with
// ?check=true, and answers with the result.
func (m *Manager) proposeConfig(w http.ResponseWriter, r *http.Request, body []byte, make func(base []byte) ([]byte, error)) {
	revision, err := baseRevision(r)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	isDryRun := r.URL.Query().Get("check") == "true"
	p := Proposal{By: operatorName(r), BaseRevision: revision, IsDryRun: isDryRun, Build: make}
	if !isDryRun {
		p.Digest = editDigest(r.Method, revision, body)
	}
	got, err := m.operators.Propose(r.Context(), p)
	var known *errs.Error
	switch {
	case len(got.Faults) > 0:
		web.WriteProblem(w, 422, web.Problem{Error: errs.Invalid, Text: "the configuration has faults", More: got.Faults}, 0)
	case errs.Is(err, errs.Conflict) && errors.As(err, &known):
		web.WriteProblem(w, 412, web.Problem{Error: errs.Conflict, Text: known.Text}, 0)
	case err != nil:
		web.WriteError(w, err)
	case isDryRun:
		web.WriteJson(w, 200, map[string]any{"checked": true, "differences": got.Differences})
	default:
		w.Header().Set("ETag", etag(got.Revision))
		web.WriteJson(w, 200, map[string]any{"stamp": got.Revision, "differences": got.Differences})
	}
}

// editDigest returns the idempotency key of a configuration edit: the same change on the same
// revision is a retry after a lost answer.
func editDigest(method string, revision int64, body []byte) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d\n%s", method, revision, body))
	return hex.EncodeToString(sum[:16])
}

// getHistory answers with the newest changes of the configuration and their authors.
func (m *Manager) getHistory(w http.ResponseWriter, r *http.Request) {
	c, err := m.readKey(r.Context(), feed.ConfigPart, feed.History)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	var past []wire.Change
	if err := json.Unmarshal(c.Value, &past); err != nil {
		web.WriteError(w, errs.Wrap(err, errs.Corrupt, "decode stored history of the configuration"))
		return
	}
	out := []map[string]any{}
	for _, p := range past {
		out = append(out, map[string]any{"stamp": p.Revision, "by": author(p.By)})
	}
	web.WriteJson(w, 200, out)
}
