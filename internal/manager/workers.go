package manager

import (
	"net/http"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// pool finds the pool named in the path and its workers' key.
func (m *Manager) pool(r *http.Request) (part int64, key string, err error) {
	name, isFresh := r.PathValue("pool"), m.d.IsFresh()
	pool, isKnown := m.configs.Current().Rules.Pools[name]
	if !isKnown { // a configuration accepted a moment ago may not be in the view yet
		if c, err := m.pull(r.Context(), feed.ConfigPart, config.Key); err == nil {
			if rules, faults := config.Compile(c.Value); len(faults) == 0 {
				pool, isKnown = rules.Pools[name]
			}
		}
	}
	switch {
	case !isFresh:
		return 0, "", errs.New(errs.Stale, "this manager has lost touch with the stores")
	case !isKnown:
		return 0, "", errs.New(errs.Unknown, "no pool %s", name)
	case pool.IsEndpoint:
		return 0, "", errs.New(errs.Rejected, "pool %s is an outside endpoint; its address is in the configuration", name)
	}
	return feed.PartOf(name, m.d.Settings.Parts), config.WorkersKey + name, nil
}

func (m *Manager) readWorkers(r *http.Request) (part int64, key string, c wire.Change, err error) {
	if part, key, err = m.pool(r); err != nil {
		return
	}
	c, err = m.pull(r.Context(), part, key)
	if errs.Is(err, errs.Unknown) {
		c, err = wire.Change{Value: config.Workers{Workers: []config.Worker{}}.Encode()}, nil
	}
	return
}

// isCut reports whether a pool's list is cut into buckets, as a source's long lists are.
func (m *Manager) isCut(pool string) bool {
	for _, c := range m.d.View.Keys(config.WorkersKey + pool + "/") {
		if of, count := config.PoolOfList(c.Key); of == pool && count > 1 {
			return true
		}
	}
	return false
}

// wholeList returns a pool's list as the view has it, in the order of the names.
func (m *Manager) wholeList(pool string) config.Workers {
	workers := m.configs.Current().Workers[pool]
	out := config.Workers{Workers: make([]config.Worker, 0, workers.Len())}
	for _, name := range workers.Names() {
		worker, _ := workers.Get(name)
		out.Workers = append(out.Workers, worker)
	}
	return out
}

func (m *Manager) getWorkers(w http.ResponseWriter, r *http.Request) {
	_, _, c, err := m.readWorkers(r)
	if err != nil {
		web.Fail(w, err)
		return
	}
	if pool := r.PathValue("pool"); m.isCut(pool) {
		web.Answer(w, 200, m.wholeList(pool))
		return
	}
	list, _ := config.ReadWorkers(c.Value)
	w.Header().Set("ETag", etag(c.Revision))
	web.Answer(w, 200, list)
}

func (m *Manager) putWorkers(w http.ResponseWriter, r *http.Request) {
	m.proposeWorkers(w, r, func(_, given config.Workers) config.Workers { return given })
}

func (m *Manager) patchWorkers(w http.ResponseWriter, r *http.Request) {
	m.proposeWorkers(w, r, func(base, given config.Workers) config.Workers { return base.Patch(given) })
}

func (m *Manager) proposeWorkers(w http.ResponseWriter, r *http.Request, make func(base, given config.Workers) config.Workers) {
	revision, err := revisionOf(r)
	if err != nil {
		web.Fail(w, err)
		return
	}
	body, err := web.Body(r, config.MostBytes)
	if err != nil {
		web.Fail(w, err)
		return
	}
	given, faults := config.ReadWorkers(body)
	if len(faults) > 0 {
		web.Reject(w, 422, web.Problem{Error: errs.Invalid, Text: "the list has faults", More: faults}, 0)
		return
	}
	part, key, c, err := m.readWorkers(r)
	if err == nil && m.isCut(r.PathValue("pool")) {
		err = errs.New(errs.Rejected, "the list of %s is cut into buckets: its source keeps it", r.PathValue("pool"))
	}
	if err != nil {
		web.Fail(w, err)
		return
	}
	if c.Revision != revision {
		failEdit(w, errs.New(errs.Conflict, "the list's stamp is %d", c.Revision))
		return
	}
	base, _ := config.ReadWorkers(c.Value)
	next := make(base, given)
	held, err := m.edit(r.Context(), wire.Edit{Part: part, Key: key, Value: next.Encode(), IfRevision: revision, By: operator(r)})
	if err != nil {
		failEdit(w, err)
		return
	}
	w.Header().Set("ETag", etag(held))
	web.Answer(w, 200, map[string]any{"stamp": held, "workers": len(next.Workers)})
}

// postOrder sets or clears an order: an emptied zone, a retired store. It needs
// no base, since doing it twice is doing it once.
func (m *Manager) postOrder(kind string, change func(r *http.Request, subject string) (held int64, isMarked bool, err error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		subject := r.PathValue(kind)
		held, isMarked, err := change(r, subject)
		if err != nil {
			failEdit(w, err)
			return
		}
		web.Answer(w, 200, map[string]any{kind: subject, "stamp": held, "marked": isMarked})
	}
}

func (m *Manager) empty(r *http.Request, zone string) (int64, bool, error) {
	only := r.URL.Query().Get("only")
	if only != "" && only != config.OnlyWorkers {
		return 0, false, errs.New(errs.Invalid, "only may be workers")
	}
	held, err := m.operators.Empty(r.Context(), operator(r), zone, only != "")
	return held, true, err
}

func (m *Manager) restore(r *http.Request, zone string) (int64, bool, error) {
	held, err := m.operators.Restore(r.Context(), operator(r), zone)
	return held, false, err
}

func (m *Manager) retire(r *http.Request, store string) (int64, bool, error) {
	held, err := m.operators.Retire(r.Context(), operator(r), store, 0)
	return held, true, err
}

func (m *Manager) unretire(r *http.Request, store string) (int64, bool, error) {
	held, err := m.operators.Unretire(r.Context(), operator(r), store)
	return held, false, err
}

// isKnown keeps a slip of the pen from marking nothing.
func (m *Manager) isKnown(kind, subject string) bool {
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
