package manager

import (
	"net/http"

	"caperwheel/internal/charter"
	"caperwheel/internal/feed"
	"caperwheel/internal/mishap"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// pool finds the pool named in the path and its workers' key.
func (m *Manager) pool(r *http.Request) (part int64, key string, err error) {
	name, isFresh := r.PathValue("pool"), m.d.IsFresh()
	pool, isKnown := m.scenes.Now().Rules.Pools[name]
	if !isKnown { // a charter accepted a moment ago may not be in the view yet
		if c, err := m.pull(r.Context(), feed.CharterPart, charter.Key); err == nil {
			if rules, faults := charter.Compile(c.Value); len(faults) == 0 {
				pool, isKnown = rules.Pools[name]
			}
		}
	}
	switch {
	case !isFresh:
		return 0, "", mishap.New(mishap.Stale, "this manager has lost touch with the stores")
	case !isKnown:
		return 0, "", mishap.New(mishap.Unknown, "no pool %s", name)
	case pool.IsEndpoint:
		return 0, "", mishap.New(mishap.Rejected, "pool %s is an outside endpoint; its address is in the charter", name)
	}
	return feed.PartOf(name, m.d.Settings.Parts), charter.WorkersKey + name, nil
}

func (m *Manager) readWorkers(r *http.Request) (part int64, key string, c wire.Change, err error) {
	if part, key, err = m.pool(r); err != nil {
		return
	}
	c, err = m.pull(r.Context(), part, key)
	if mishap.Is(err, mishap.Unknown) {
		c, err = wire.Change{Value: charter.Workers{Workers: []charter.Worker{}}.Encode()}, nil
	}
	return
}

func (m *Manager) getWorkers(w http.ResponseWriter, r *http.Request) {
	_, _, c, err := m.readWorkers(r)
	if err != nil {
		web.Fail(w, err)
		return
	}
	list, _ := charter.ReadWorkers(c.Value)
	w.Header().Set("ETag", etag(c.Stamp))
	web.Answer(w, 200, list)
}

func (m *Manager) putWorkers(w http.ResponseWriter, r *http.Request) {
	m.proposeWorkers(w, r, func(_, given charter.Workers) charter.Workers { return given })
}

func (m *Manager) patchWorkers(w http.ResponseWriter, r *http.Request) {
	m.proposeWorkers(w, r, func(base, given charter.Workers) charter.Workers { return base.Patch(given) })
}

func (m *Manager) proposeWorkers(w http.ResponseWriter, r *http.Request, make func(base, given charter.Workers) charter.Workers) {
	stamp, err := stampOf(r)
	if err != nil {
		web.Fail(w, err)
		return
	}
	body, err := web.Body(r, charter.MostBytes)
	if err != nil {
		web.Fail(w, err)
		return
	}
	given, faults := charter.ReadWorkers(body)
	if len(faults) > 0 {
		web.Reject(w, 422, web.Problem{Error: mishap.Invalid, Text: "the list has faults", More: faults}, 0)
		return
	}
	part, key, c, err := m.readWorkers(r)
	if err != nil {
		web.Fail(w, err)
		return
	}
	if c.Stamp != stamp {
		failEdit(w, mishap.New(mishap.Conflict, "the list's stamp is %d", c.Stamp))
		return
	}
	base, _ := charter.ReadWorkers(c.Value)
	next := make(base, given)
	held, err := m.edit(r.Context(), wire.Edit{Part: part, Key: key, Value: next.Encode(), IfStamp: stamp, By: operator(r)})
	if err != nil {
		failEdit(w, err)
		return
	}
	w.Header().Set("ETag", etag(held))
	web.Answer(w, 200, map[string]any{"stamp": held, "workers": len(next.Workers)})
}

// mark sets or clears a mark of the charter part: an emptied cell, a retired
// store. It needs no base, since doing it twice is doing it once.
func (m *Manager) mark(prefix, name string, isClear bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		subject := r.PathValue(name)
		if len(subject) > 64 {
			web.Fail(w, mishap.New(mishap.Invalid, "the name is too long"))
			return
		}
		if !isClear && !m.isKnown(name, subject) {
			web.Fail(w, mishap.New(mishap.Unknown, "no %s %s is here", name, subject))
			return
		}
		held, err := m.edit(r.Context(), wire.Edit{Part: feed.CharterPart, Key: prefix + subject, Value: []byte("{}"),
			IfStamp: -1, Gone: isClear, By: operator(r)})
		if err != nil {
			failEdit(w, err)
			return
		}
		web.Answer(w, 200, map[string]any{name: subject, "stamp": held, "marked": !isClear})
	}
}

// isKnown keeps a slip of the pen from marking nothing.
func (m *Manager) isKnown(kind, subject string) bool {
	_, members := m.registry.Members(m.d.Now())
	for _, member := range members {
		if kind == "cell" && member.Who.Cell == subject || kind == "store" && member.Who.Kind == "store" && member.Who.Name == subject {
			return true
		}
	}
	for _, pool := range m.scenes.Now().Workers {
		for _, w := range pool {
			if kind == "cell" && w.Cell == subject {
				return true
			}
		}
	}
	return false
}
