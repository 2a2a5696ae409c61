package manager

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// fakeParts holds all parts of the control state in memory. The answers of the next lostReplies edits
// are lost; beforeEdit is called before the next edit is applied.
type fakeParts struct {
	mu           sync.Mutex
	parts        map[int64]*feed.Part
	lostReplies  int
	afterEdit    func()    // called after each applied edit, if given
	refuseKind   errs.Kind // if given, edits are refused with it and change nothing
	beforeEdit   func(e *wire.Edit)
	edits        []wire.Edit
	view         *feed.View
	isViewFrozen bool         // the view gets no changes
	retired      wire.Retired // what each store reports; only IsKnown is used
	holders      []string     // stores of every group, as reported by the first store
	groups       int64
	now          int64  // clock of all parts, in milliseconds
	duringPull   func() // called once while a read is in flight, if given
}

// reportGroups answers a request for a retirement report: the first store owns all groups, the others
// own none.
func (f *fakeParts) reportGroups(addr string) *wire.Retired {
	out := &wire.Retired{IsKnown: f.retired.IsKnown}
	for group := range f.groups {
		if addr == "s1" {
			g := wire.Standing{Group: group, Term: 1, Stores: f.holders, UpToDateStores: int64(len(f.holders))}
			out.Groups = append(out.Groups, g)
		}
	}
	return out
}

func (f *fakeParts) call(_ context.Context, addr string, ask any) (any, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch a := ask.(type) {
	case *wire.Pull:
		if callback := f.duringPull; callback != nil {
			f.duringPull = nil
			callback()
		}
		got := f.part(a.Part).Read(a.Key, f.now)
		return &got, nil
	case *wire.Edit:
		if f.refuseKind != "" {
			return &wire.Edited{Kind: string(f.refuseKind)}, nil
		}
		if f.beforeEdit != nil {
			before := f.beforeEdit
			f.beforeEdit = nil
			before(a)
		}
		a.At = f.now
		got := f.part(a.Part).Apply(*a)
		f.edits = append(f.edits, *a)
		if f.afterEdit != nil {
			f.afterEdit()
		}
		f.updateView()
		if f.lostReplies > 0 {
			f.lostReplies--
			return nil, errs.New(errs.Lost, "session")
		}
		return &got, nil
	}
	if _, isRetire := ask.(*wire.Retire); isRetire {
		return f.reportGroups(addr), nil
	}
	return nil, errs.New(errs.Lost, "session")
}

// updateView brings the manager's view up to date, unless it is frozen.
func (f *fakeParts) updateView() {
	if f.isViewFrozen {
		return
	}
	for number, p := range f.parts {
		news, _ := p.News(number, f.view.Revision(number))
		f.view.Update([]wire.PartNews{news}, 0)
	}
}

func (f *fakeParts) part(number int64) *feed.Part {
	if f.parts[number] == nil {
		f.parts[number] = feed.NewPart()
	}
	return f.parts[number]
}

// newFakeManager returns a manager that knows four stores, s1 to s4, with fake parts.
func newFakeManager() (*Manager, *fakeParts) {
	view := feed.NewView(1)
	f := &fakeParts{parts: map[int64]*feed.Part{}, view: view}
	d := &daemon.Daemon{Bounds: timing.Bounds{ConfigApply: 20 * time.Second}, Started: time.Now().Add(-time.Hour), View: view,
		Membership: session.NewMembership(), Who: wire.Who{Name: "m1", Kind: "manager"}}
	d.Settings.Parts, d.Settings.Founders = 1, 3
	members := []wire.Member{{Who: d.Who}}
	for i := range 4 {
		members = append(members, wire.Member{Who: wire.Who{Name: "s" + strconv.Itoa(i+1), Kind: "store", Zone: "a", Addr: "s" + strconv.Itoa(i+1)}})
	}
	d.Membership.Update("x", members)
	m := &Manager{d: d, configs: &config.Cache{View: view}, registry: session.NewRegistry(time.Hour)}
	for _, member := range members {
		m.registry.Renew(member, d.Now(), true)
	}
	// Every part of the view was just confirmed.
	for part := range int64(2) {
		view.Update([]wire.PartNews{{Part: part}}, d.Now())
	}
	m.ownerClient = &ownerclient.Client{Membership: d.Membership, Bounds: d.Bounds, SendFunc: f.call}
	m.operators = &Operators{m}
	return m, f
}

// versioned returns a Proposal.Build that returns a document with a version and a note.
func versioned(version int, note string) func([]byte) ([]byte, error) {
	return func([]byte) ([]byte, error) {
		return []byte(`{"note":"` + note + `","version":` + strconv.Itoa(version) + `}`), nil
	}
}

// TestPropose checks the results of proposals in sequence.
func TestPropose(t *testing.T) {
	type step struct {
		digest       string
		on, version  int
		kind         errs.Kind
		lose         int
		isOvertaken  bool // another edit is applied first
		isBuiltUpon  bool // its answer is lost, and another edit follows
		wantsVersion int64
	}
	newer := func(count int) (out []step) { // each based on the one before
		for i := range count {
			out = append(out, step{digest: strconv.Itoa(i + 1), on: i, version: i + 1, wantsVersion: int64(i) + 1})
		}
		return out
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"the first one is applied", []step{{digest: "a", version: 3, wantsVersion: 3}}},
		{"a retry is applied once", []step{{digest: "a", version: 3, wantsVersion: 3}, {digest: "a", version: 3, wantsVersion: 3}}},
		{"a retry after a newer one is answered as applied", []step{{digest: "a", version: 3, wantsVersion: 3},
			{digest: "b", on: 3, version: 4, wantsVersion: 4}, {digest: "a", version: 3, wantsVersion: 4}}},
		{"one on an older version is not applied", []step{{digest: "a", version: 3, wantsVersion: 3},
			{digest: "c", version: 9, kind: errs.Conflict, wantsVersion: 3}}},
		{"one on a version that never existed is not applied", []step{{digest: "a", on: 2, version: 3, kind: errs.Conflict}}},
		{"one whose version is not higher is not applied", []step{{digest: "a", version: 3, wantsVersion: 3},
			{digest: "b", on: 3, version: 3, kind: errs.Invalid, wantsVersion: 3}}},
		{"one with faults is not applied", []step{{digest: "a", version: 0, kind: errs.Invalid}}},
		{"one whose answer is lost is recognised as applied", []step{{digest: "a", version: 3, lose: 1, wantsVersion: 3}}},
		{"one that another overtakes is not applied", []step{{digest: "a", version: 3, isOvertaken: true, kind: errs.Conflict, wantsVersion: 8}}},
		{"one whose answer is lost and which a newer one follows is recognised as applied", []step{{digest: "a", version: 3, isBuiltUpon: true, wantsVersion: 9}}},
		{"a retry after hundreds of newer ones is answered as applied", append(newer(300), step{digest: "2", on: 1, version: 2, wantsVersion: 300})},
		{"one that met a conflict is not applied after hundreds of newer ones", append(newer(300),
			step{digest: "lost", on: 1, version: 2, kind: errs.Conflict, wantsVersion: 300})},
	}
	Convey("Each proposal in a sequence has the expected result:", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, f := newFakeManager()
				for _, s := range c.steps {
					f.lostReplies = s.lose
					if s.isOvertaken {
						f.beforeEdit = func(e *wire.Edit) {
							f.part(0).Apply(wire.Edit{Key: config.DocumentKey, Value: []byte(`{"version":8}`)})
						}
					}
					if s.isBuiltUpon {
						f.beforeEdit = func(e *wire.Edit) {
							held := f.part(0).Apply(*e)
							f.part(0).Apply(wire.Edit{Key: config.DocumentKey, Value: []byte(`{"version":9}`), IfRevision: held.Revision})
						}
					}
					_, err := m.operators.Propose(context.Background(), Proposal{By: "x", Digest: s.digest, BaseVersion: int64(s.on),
						IsVersionBased: true, Build: versioned(s.version, "")})
					if s.kind == "" {
						So(err, ShouldBeNil)
					} else {
						So(errs.KindOf(err), ShouldEqual, s.kind)
					}
					doc, _, err := m.operators.Config(context.Background())
					So(err, ShouldBeNil)
					So(config.VersionOf(doc), ShouldEqual, s.wantsVersion)
				}
			})
		}
		Convey("of several at once on one base, exactly one is applied", func() {
			m, _ := newFakeManager()
			var group sync.WaitGroup
			kinds := make([]error, 8)
			for i := range kinds {
				group.Go(func() {
					_, kinds[i] = m.operators.Propose(context.Background(), Proposal{By: "x", Digest: strconv.Itoa(i), IsVersionBased: true,
						Build: versioned(i+1, "")})
				})
			}
			group.Wait()
			won := 0
			for _, err := range kinds {
				if err == nil {
					won++
				} else {
					So(errs.KindOf(err), ShouldEqual, errs.Conflict)
				}
			}
			So(won, ShouldEqual, 1)
		})
	})
}
