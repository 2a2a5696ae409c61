package manager

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"caperwheel/internal/beat"
	"caperwheel/internal/charter"
	"caperwheel/internal/feed"
	"caperwheel/internal/mishap"
	"caperwheel/internal/store"
	"caperwheel/internal/wire"
)

// Retirement is how far the moving of all off a store has come.
type Retirement struct {
	Store     string `json:"store"`
	IsHere    bool   `json:"here"`
	IsRetired bool   `json:"retired"`
	Left      int64  `json:"groups_left"`
	IsWhole   bool   `json:"complete"` // every store has answered
	IsDone    bool   `json:"done"`
}

// Empty asks that a cell, or only its workers, get nothing new. Asking again
// soon is asking once; a whole cell stays emptied when only its workers are asked
// for. Where workers were asked for before, not just now, both stand, and each is
// to be taken back.
func (o *Operators) Empty(ctx context.Context, by, cell string, isOnlyWorkers bool) (int64, error) {
	if err := checkSubject(cell); err != nil {
		return 0, err
	}
	if !isOnlyWorkers {
		if !o.m.isKnown("cell", cell) {
			return 0, o.m.unknown("cell", cell)
		}
		return o.mark(ctx, by, charter.CellKey+cell, charter.Mark{}, -1)
	}
	// Any name will do: workers that are not listed yet may come.
	standing, err := o.m.pull(ctx, feed.CharterPart, charter.CellKey+cell)
	if mishap.Is(err, mishap.Unknown) {
		standing, err = wire.Change{}, nil
	}
	if err != nil {
		return 0, err
	}
	mark := charter.ReadMark(standing.Value)
	switch {
	case standing.Stamp == 0 || mark.Only == charter.OnlyCold:
	case mark.Only != charter.OnlyWorkers, !mark.IsBack && o.m.ages.isYoung(standing, o.m.d.Now()):
		return standing.Stamp, nil
	default:
		return o.mark(ctx, by, charter.CellKey+cell, charter.Mark{Only: charter.OnlyWorkers, Others: mark.Others + 1}, standing.Stamp)
	}
	return o.mark(ctx, by, charter.CellKey+cell, charter.Mark{Only: charter.OnlyWorkers}, standing.Stamp)
}

// Restore takes an emptying back. Where a source tells of the workers they
// count as cold at first, since the source runs behind: the mark says so until
// the list controller takes it away.
func (o *Operators) Restore(ctx context.Context, by, cell string) (int64, error) {
	if err := checkSubject(cell); err != nil {
		return 0, err
	}
	if o.m.source == nil {
		return o.unmark(ctx, by, charter.CellKey+cell)
	}
	standing, err := o.m.pull(ctx, feed.CharterPart, charter.CellKey+cell)
	switch {
	case mishap.Is(err, mishap.Unknown):
		return 0, nil
	case err != nil:
		return 0, err
	}
	switch mark := charter.ReadMark(standing.Value); {
	case mark.Only == charter.OnlyCold, mark.IsBack && o.m.ages.isYoung(standing, o.m.d.Now()):
		return standing.Stamp, nil
	case mark.Others > 0:
		return o.mark(ctx, by, charter.CellKey+cell, charter.Mark{Only: charter.OnlyWorkers, Others: mark.Others - 1, IsBack: true}, standing.Stamp)
	}
	return o.mark(ctx, by, charter.CellKey+cell, charter.Mark{Only: charter.OnlyCold}, standing.Stamp)
}

// Retire asks that all be moved off a store. span is for the log alone: the
// move takes what it takes.
func (o *Operators) Retire(ctx context.Context, by, name string, span time.Duration) (int64, error) {
	if err := checkSubject(name); err != nil {
		return 0, err
	}
	if o.m.scenes.Now().Retired[name] {
		return o.mark(ctx, by, charter.StoreKey+name, charter.Mark{}, -1)
	}
	if !o.m.isKnown("store", name) {
		return 0, o.m.unknown("store", name)
	}
	klog.Infof("retire: Store %s is to be emptied within %v.", name, span)
	if left := o.m.staying(name); left < o.m.copies() {
		return 0, mishap.New(mishap.Rejected, "%d stores would be left for %d copies", left, o.m.copies())
	}
	return o.mark(ctx, by, charter.StoreKey+name, charter.Mark{}, -1)
}

// Unretire takes a retirement back.
func (o *Operators) Unretire(ctx context.Context, by, name string) (int64, error) {
	if err := checkSubject(name); err != nil {
		return 0, err
	}
	return o.unmark(ctx, by, charter.StoreKey+name)
}

// Retirement tells how far a store's retirement has come.
func (o *Operators) Retirement(ctx context.Context, name string) (Retirement, error) {
	m, out, asked, answered := o.m, Retirement{Store: name}, 0, 0
	if _, err := m.pull(ctx, feed.CharterPart, charter.StoreKey+name); err == nil {
		out.IsRetired = true
	} else if !mishap.Is(err, mishap.Unknown) {
		return out, err
	}
	ctx, cancel := beat.Within(ctx, m.d.Bounds.Of(beat.Settle))
	defer cancel()
	for _, who := range m.d.Roll.Kind("store") {
		asked++
		reply, err := m.d.Node.Peer(wire.PartLink, who.Addr).Call(ctx, &wire.Retire{Store: name})
		if got, isGot := reply.(*wire.Retired); err == nil && isGot {
			out.Left += got.Left
			answered++
		}
	}
	_, out.IsHere = m.d.Roll.Find(name)
	out.IsWhole = asked == answered
	out.IsDone = out.Left == 0 && out.IsWhole && asked > 0 && (!out.IsRetired || m.isAllOwned())
	return out, nil
}

func (o *Operators) mark(ctx context.Context, by, key string, mark charter.Mark, ifStamp int64) (int64, error) {
	return o.m.edit(ctx, wire.Edit{Part: feed.CharterPart, Key: key, Value: mark.Encode(), IfStamp: ifStamp, By: by})
}

func (o *Operators) unmark(ctx context.Context, by, key string) (int64, error) {
	return o.m.edit(ctx, wire.Edit{Part: feed.CharterPart, Key: key, IfStamp: -1, Gone: true, By: by})
}

func checkSubject(name string) error {
	if name == "" || len(name) > 64 {
		return mishap.New(mishap.Invalid, "the name is too long")
	}
	return nil
}

// copies is how many stores hold each group.
func (m *Manager) copies() int { return m.d.Settings.Replicas() }

// staying counts the stores that are here and not retired, without one.
func (m *Manager) staying(without string) int {
	scene, count := m.scenes.Now(), 0
	for _, who := range m.d.Roll.Kind("store") {
		if who.Name != without && !scene.Retired[who.Name] {
			count++
		}
	}
	return count
}

// isAllOwned tells whether every group has an owner with all copies: a group
// without one is counted by nobody, and may still stand on a retired store.
func (m *Manager) isAllOwned() bool {
	voters, least := map[int64]int64{}, int64(m.copies())
	_, members := m.registry.Members(m.d.Now())
	for _, member := range members {
		for _, o := range member.Owns {
			voters[o.Group] = max(voters[o.Group], o.Size)
		}
	}
	for number := range int64(m.d.Settings.Parts) + 1 {
		if voters[number] < least {
			return false
		}
	}
	for number := range int64(m.d.Settings.Places) {
		if voters[store.PlaceGroup+number] < least {
			return false
		}
	}
	return true
}

// unknown says that there is no such thing, if this manager can know.
func (m *Manager) unknown(kind, subject string) error {
	if !m.d.IsFresh() || m.d.Now() < m.d.Bounds.Of(beat.Gone) {
		return mishap.New(mishap.Stale, "this manager does not know all daemons yet")
	}
	return mishap.New(mishap.Unknown, "no %s %s is here", kind, subject)
}
