package manager

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// propose makes an order on a version, as the platform's operator does.
func propose(m *Manager, digest string, on, version int) (ProposalResult, error) {
	return m.operators.Propose(context.Background(), Proposal{By: "x", Digest: digest, BaseVersion: int64(on), IsVersionBased: true,
		Build: versioned(version, digest)})
}

// TestForgottenOrders: an order that may have been taken before all that is
// remembered is never refused.
func TestForgottenOrders(t *testing.T) {
	older := func(edits int) string { // a configuration as an older build wrote it
		names := []string{}
		for i := range edits {
			names = append(names, strconv.Quote(fmt.Sprint("old", i)))
		}
		return `{"version":9,"edits":[` + strings.Join(names, ",") + `]}`
	}
	cases := []struct {
		name    string
		older   string // configuration that stands at first
		steps   int    // orders taken after that
		digest  string
		on      int
		isTaken bool
		kind    errs.Kind
	}{
		{"taken by an older build", older(3), 0, "old1", 2, true, ""},
		{"taken by an older build, under a newer one", older(3), 1, "old1", 2, true, ""},
		{"taken by an older build, under hundreds of newer ones", older(16), 300, "old1", 2, true, ""},
		{"never taken by an older build that remembers all", older(3), 0, "lost", 2, false, errs.Conflict},
		{"maybe forgotten by an older build", older(16), 0, "lost", 2, false, errs.Undecided},
		{"maybe forgotten by an older build, under a newer one", older(16), 1, "lost", 2, false, errs.Undecided},
		{"the oldest that is remembered", "", 4096, "1", 0, true, ""},
		{"maybe forgotten", "", 4097, "1", 0, false, errs.Undecided},
		{"one that lost, on what is remembered", "", 4097, "lost", 1, false, errs.Conflict},
	}
	Convey("An order that is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, f := newFakeManager()
				base := 0
				if c.older != "" {
					base = 9
					f.part(0).Apply(wire.Edit{Key: config.DocumentKey, Value: []byte(c.older)})
				}
				for i := range c.steps {
					_, err := propose(m, strconv.Itoa(i+1), base+i, base+i+1)
					So(err, ShouldBeNil)
				}
				_, err := propose(m, c.digest, c.on, c.on+1)
				if c.isTaken {
					So(err, ShouldBeNil)
				} else {
					So(errs.KindOf(err), ShouldEqual, c.kind)
				}
				doc, _, err := m.operators.Config(context.Background())
				So(err, ShouldBeNil)
				So(config.VersionOf(doc), ShouldEqual, base+c.steps)
				So(len(config.EditsOf(doc)) > 0, ShouldEqual, c.older != "" && c.steps == 0)
			})
		}
	})
}

// TestOneOrderAtOnce: one order that comes to managers several times at once is
// taken once and acknowledged each time.
func TestOneOrderAtOnce(t *testing.T) {
	Convey("Of one order, eight times at once, with answers lost", t, func() {
		m, f := newFakeManager()
		f.lostReplies = 5
		var group sync.WaitGroup
		got, failed := make([]ProposalResult, 8), make([]error, 8)
		for i := range got {
			group.Go(func() { got[i], failed[i] = propose(m, "a", 0, 3) })
		}
		group.Wait()
		for i := range got {
			So(failed[i], ShouldBeNil)
			So(got[i].Revision, ShouldEqual, 1)
		}
		So(f.part(0).Revision(), ShouldEqual, 1)
	})
}
