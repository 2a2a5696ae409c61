package manager

import (
	"net/http"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// poolKey returns the part and key of the worker list of the pool that is named in the request's path.
func (m *Manager) poolKey(r *http.Request) (part int64, key string, err error) {
	name, isFresh := r.PathValue("pool"), m.d.IsFresh()
	pool, isKnown := m.configs.Current().Rules.Pools[name]
	if !isKnown { // the view may not show a configuration that was just written
		if c, err := m.readKey(r.Context(), feed.ConfigPart, config.DocumentKey); err == nil {
			if rules, faults := config.Compile(c.Value); len(faults) == 0 {
				pool, isKnown = rules.Pools[name]
			}
		}
	}
	switch {
	case !isFresh:
		return 0, "", errs.New(errs.Stale, "this manager's view is not fresh: the stores have not confirmed it")
	case !isKnown:
		return 0, "", errs.New(errs.Unknown, "no pool %s exists", name)
	case pool.IsEndpoint:
		return 0, "", errs.New(errs.Rejected, "pool %s is an endpoint and has no worker list; its address is in the configuration", name)
	}
	return feed.PartOf(name, m.d.Settings.Parts), config.WorkersKey + name, nil
}

// readWorkers reads the key of the list that is named in the request's path; a missing key is an empty list.
func (m *Manager) readWorkers(r *http.Request) (part int64, key string, c wire.Change, err error) {
	if part, key, err = m.poolKey(r); err != nil {
		return
	}
	c, err = m.readKey(r.Context(), part, key)
	if errs.Is(err, errs.Unknown) {
		c, err = wire.Change{Value: config.Workers{Workers: []config.Worker{}}.Encode()}, nil
	}
	return
}

// isBucketed reports whether a pool's list is split into buckets, as the long lists of a source are.
func (m *Manager) isBucketed(pool string) bool {
	for _, c := range m.d.View.Keys(config.WorkersKey + pool + "/") {
		if of, count := config.ParseListKey(c.Key); of == pool && count > 1 {
			return true
		}
	}
	return false
}

// fullList returns a pool's list as the view has it, sorted by name.
func (m *Manager) fullList(pool string) config.Workers {
	workers := m.configs.Current().Workers[pool]
	out := config.Workers{Workers: make([]config.Worker, 0, workers.Len())}
	for _, name := range workers.Names() {
		worker, _ := workers.Get(name)
		out.Workers = append(out.Workers, worker)
	}
	return out
}

// getWorkers answers with a pool's list. A list in buckets has no single revision, and so no ETag.
func (m *Manager) getWorkers(w http.ResponseWriter, r *http.Request) {
	_, _, c, err := m.readWorkers(r)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	if pool := r.PathValue("pool"); m.isBucketed(pool) {
		web.WriteJson(w, 200, m.fullList(pool))
		return
	}
	list, _ := config.ReadWorkers(c.Value)
	w.Header().Set("ETag", etag(c.Revision))
	web.WriteJson(w, 200, list)
}

func (m *Manager) putWorkers(w http.ResponseWriter, r *http.Request) {
	m.proposeWorkers(w, r, func(_, given config.Workers) config.Workers { return given })
}

func (m *Manager) patchWorkers(w http.ResponseWriter, r *http.Request) {
	m.proposeWorkers(w, r, func(base, given config.Workers) config.Workers { return base.Patch(given) })
}

// proposeWorkers writes the list that make returns for the stored and the given one, if the stored one has the
// revision in If-Match.
func (m *Manager) proposeWorkers(w http.ResponseWriter, r *http.Request, make func(base, given config.Workers) config.Workers) {
	revision, err := baseRevision(r)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	body, err := web.ReadBody(r, config.MaxDocumentBytes)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	given, faults := config.ReadWorkers(body)
	if len(faults) > 0 {
		web.WriteProblem(w, 422, web.Problem{Error: errs.Invalid, Text: "the list has faults", More: faults}, 0)
		return
	}
	part, key, c, err := m.readWorkers(r)
	if err == nil && m.isBucketed(r.PathValue("pool")) {
		err = errs.New(errs.Rejected, "the list of pool %s is split into buckets; only its source can change it", r.PathValue("pool"))
	}
	if err != nil {
		web.WriteError(w, err)
		return
	}
	if c.Revision != revision {
		rejectEdit(w, errs.New(errs.Conflict, "the change is based on another stamp: the list's stamp is %d", c.Revision))
		return
	}
	base, _ := config.ReadWorkers(c.Value)
	next := make(base, given)
	newRevision, err := m.edit(r.Context(), wire.Edit{Part: part, Key: key, Value: next.Encode(), IfRevision: revision, By: operatorName(r)})
	if err != nil {
		rejectEdit(w, err)
		return
	}
	w.Header().Set("ETag", etag(newRevision))
	web.WriteJson(w, 200, map[string]any{"stamp": newRevision, "workers": len(next.Workers)})
}

// postOrder handles an order that drains a zone or retires a store, or takes that back. Such an order
// needs no base revision, since it is idempotent.
func (m *Manager) postOrder(kind string, change func(r *http.Request, subject string) (revision int64, isInForce bool, err error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		subject := r.PathValue(kind)
		revision, isInForce, err := change(r, subject)
		if err != nil {
			rejectEdit(w, err)
			return
		}
		web.WriteJson(w, 200, map[string]any{kind: subject, "stamp": revision, "marked": isInForce})
	}
}

func (m *Manager) drainZone(r *http.Request, zone string) (int64, bool, error) {
	only := r.URL.Query().Get("only")
	if only != "" && only != config.OnlyWorkers {
		return 0, false, errs.New(errs.Invalid, "the query parameter only must be empty or workers")
	}
	revision, err := m.operators.DrainZone(r.Context(), operatorName(r), zone, only != "")
	return revision, true, err
}

func (m *Manager) restoreZone(r *http.Request, zone string) (int64, bool, error) {
	revision, err := m.operators.RestoreZone(r.Context(), operatorName(r), zone)
	return revision, false, err
}

func (m *Manager) retireStore(r *http.Request, store string) (int64, bool, error) {
	revision, err := m.operators.RetireStore(r.Context(), operatorName(r), store, 0)
	return revision, true, err
}

func (m *Manager) restoreStore(r *http.Request, store string) (int64, bool, error) {
	revision, err := m.operators.RestoreStore(r.Context(), operatorName(r), store)
	return revision, false, err
}

// isKnownSubject reports whether a zone or store exists, so that an order for a misspelt name is rejected.
func (m *Manager) isKnownSubject(kind, subject string) bool {
	_, members := m.registry.Members(m.d.Now())
	for _, member := range members {
		if kind == "cell" && member.Who.Zone == subject || kind == "store" && member.Who.Kind == "store" && member.Who.Name == subject {
			return true
		}
	}
	for _, pool := range m.configs.Current().Workers {
		for _, w := range pool.All() {
			if kind == "cell" && w.Zone == subject {
				return true
			}
		}
	}
	return false
}
