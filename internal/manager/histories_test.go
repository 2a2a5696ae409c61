package manager

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/tidwall/gjson"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/linearize"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/wire"
)

// faultyPart is a part whose owner loses answers, is replaced during edits, and applies delayed attempts
// long after the edit was answered. Its state is restored from images.
type faultyPart struct {
	mu          sync.Mutex
	random      *rand.Rand
	part        *feed.Part
	lateEdits   []wire.Edit // edits that may arrive once more
	outageOdds  int         // an outage begins at one of so many calls; 0 for never
	outageCalls int         // calls left that get no answer, so that managers give up
	mutateEdit  func(e *wire.Edit)
}

func (r *faultyPart) call(_ context.Context, _ string, ask any) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := errs.New(errs.Lost, "session")
	if r.outageOdds > 0 && r.random.IntN(r.outageOdds) == 0 {
		r.outageCalls = 900
	}
	if r.outageCalls > 0 {
		r.outageCalls--
		if e, isEdit := ask.(*wire.Edit); isEdit && r.outageCalls%100 == 0 {
			r.part.Apply(*e)
		}
		return nil, lost
	}
	switch a := ask.(type) {
	case *wire.Pull:
		if r.random.IntN(20) == 0 {
			return nil, lost
		}
		got := r.part.Read(a.Key, 0)
		return &got, nil
	case *wire.Edit:
		if len(r.lateEdits) > 0 && r.random.IntN(2) == 0 {
			r.part.Apply(r.lateEdits[r.random.IntN(len(r.lateEdits))])
		}
		e := *a
		r.mutateEdit(&e)
		r.lateEdits = append(r.lateEdits, e)
		if r.random.IntN(10) == 0 {
			return nil, lost // it may arrive later
		}
		got := r.part.Apply(e)
		if r.random.IntN(8) == 0 {
			if next, err := feed.RestorePart(r.part.Snapshot()); err == nil {
				r.part = next
			}
		}
		switch r.random.IntN(3) {
		case 0:
			return nil, lost
		case 1:
			return &wire.Edited{Kind: string(errs.Undecided)}, nil
		}
		return &got, nil
	}
	return nil, lost
}

// runOperator sends proposals of one operator to random managers, some of them again, and returns the
// operations with their outcomes. The clock advances with each start and end of an operation.
func runOperator(client int, seed uint64, managers []*Manager, clock *atomic.Int64) (out []linearize.Operation) {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	now := func() time.Duration { return time.Duration(clock.Add(1)) }
	version, sent := int64(0), []linearize.Operation{}
	for i := range 40 {
		m := managers[random.IntN(len(managers))]
		o := linearize.Operation{Client: client, Kind: linearize.Replace, Base: version, Version: version + 1 + random.Int64N(2), Outcome: linearize.Indeterminate,
			Digest: fmt.Sprint(client, ".", i)}
		if len(sent) > 0 && random.IntN(3) == 0 {
			o = sent[random.IntN(len(sent))]
		}
		o.CalledAt = now()
		_, err := m.operators.Propose(context.Background(), Proposal{By: "x", Digest: o.Digest, BaseVersion: o.Base, IsVersionBased: true,
			Build: versioned(int(o.Version), o.Digest)})
		o.ReturnedAt, o.Outcome = now(), linearize.Indeterminate
		switch {
		case err == nil:
			o.Outcome = linearize.Confirmed
		case errs.Is(err, errs.Conflict), errs.Is(err, errs.Invalid):
			o.Outcome = linearize.Refused
		}
		out = append(out, o)
		if o.Outcome != linearize.Refused { // a refused proposal is not retried
			sent = append(sent, o)
		}
		read := linearize.Operation{Client: client, Kind: linearize.Read, CalledAt: now(), Outcome: linearize.Confirmed}
		doc, _, err := m.operators.Config(context.Background())
		if read.ReturnedAt = now(); err == nil {
			read.ReadVersion, read.ReadDigest = config.VersionOf(doc), gjson.GetBytes(doc, "note").Str
			version = read.ReadVersion
			out = append(out, read)
		}
	}
	return out
}

// randomHistory runs eight operators with three managers over one faulty part. An outage begins at one
// of outageOdds calls; 0 for never.
func randomHistory(seed uint64, outageOdds int, mutateEdit func(e *wire.Edit)) (out []linearize.Operation) {
	r := &faultyPart{random: rand.New(rand.NewPCG(seed, 99)), part: feed.NewPart(), mutateEdit: mutateEdit, outageOdds: outageOdds}
	configBound := 400 * time.Millisecond
	if outageOdds > 0 {
		configBound = 20 * time.Millisecond // managers give up during an outage
	}
	managers := []*Manager{}
	for i := range 3 {
		m, _ := newFakeManager()
		m.d.Who.Boot, m.d.Bounds.ConfigApply = strconv.Itoa(i), configBound
		m.ownerClient = &ownerclient.Client{Membership: m.d.Membership, Bounds: m.d.Bounds, SendFunc: r.call}
		managers = append(managers, m)
	}
	var group sync.WaitGroup
	var clock atomic.Int64
	histories := make([][]linearize.Operation, 8)
	for client := range histories {
		group.Go(func() { histories[client] = runOperator(client, seed, managers, &clock) })
	}
	group.Wait()
	for _, part := range histories {
		out = append(out, part...)
	}
	return out
}

// TestOperatorsAreLinearizable checks that the history of operators' calls is linearizable with lost,
// retried and delayed edits, and that it is not if deduplication or compare and set is disabled.
func TestOperatorsAreLinearizable(t *testing.T) {
	Convey("Operators' calls over faulty parts are linearizable", t, func() {
		for seed := range uint64(6) {
			ok, text := linearize.Check(randomHistory(seed, int(seed%2)*300, func(*wire.Edit) {}))
			So(text, ShouldBeBlank)
			So(ok, ShouldBeTrue)
		}
	})
	guards := []struct {
		name       string
		mutateEdit func(e *wire.Edit)
	}{
		{"deduplication", func(e *wire.Edit) { e.OperationId = "" }},
		{"compare and set", func(e *wire.Edit) { e.IfRevision = -1 }},
	}
	Convey("Without", t, func() {
		for _, g := range guards {
			Convey(g.name+" a history that is not linearizable is found", func() {
				isFound := false
				for seed := uint64(0); seed < 10 && !isFound; seed++ {
					ok, _ := linearize.Check(randomHistory(seed, 0, g.mutateEdit))
					isFound = !ok
				}
				So(isFound, ShouldBeTrue)
			})
		}
	})
}
