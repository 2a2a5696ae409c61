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

// propose proposes a document based on a version, as the platform's operator does.
func propose(m *Manager, digest string, on, version int) (ProposalResult, error) {
	return m.operators.Propose(context.Background(), Proposal{By: "x", Digest: digest, BaseVersion: int64(on), IsVersionBased: true,
		Build: versioned(version, digest)})
}

// TestForgottenOrders checks that a proposal is never refused if it may have been applied and since been
// forgotten; its answer is undecided.
func TestForgottenOrders(t *testing.T) {
	older := func(edits int) string { // a document as an older build wrote it
		names := []string{}
		for i := range edits {
			names = append(names, strconv.Quote(fmt.Sprint("old", i)))
		}
		return `{"version":9,"edits":[` + strings.Join(names, ",") + `]}`
	}
	cases := []struct {
		name    string
		older   string // document stored at first
		steps   int    // proposals applied after that
		digest  string
		on      int
		isTaken bool
		kind    errs.Kind
	}{
		{"applied by an older build", older(3), 0, "old1", 2, true, ""},
		{"applied by an older build, and followed by another", older(3), 1, "old1", 2, true, ""},
		{"applied by an older build, and followed by hundreds", older(16), 300, "old1", 2, true, ""},
		{"never applied by an older build that remembers all", older(3), 0, "lost", 2, false, errs.Conflict},
		{"possibly forgotten by an older build", older(16), 0, "lost", 2, false, errs.Undecided},
		{"possibly forgotten by an older build, with a newer one applied", older(16), 1, "lost", 2, false, errs.Undecided},
		{"the oldest that is remembered", "", 4096, "1", 0, true, ""},
		{"possibly forgotten", "", 4097, "1", 0, false, errs.Undecided},
		{"one that met a conflict, on a base that is remembered", "", 4097, "lost", 1, false, errs.Conflict},
	}
	Convey("The answer is right for a proposal that is", t, func() {
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

// TestOneOrderAtOnce checks that a proposal that is sent several times at once is applied once and
// acknowledged each time.
func TestOneOrderAtOnce(t *testing.T) {
	Convey("A proposal that is sent eight times at once, with lost answers, is applied once and acknowledged each time", t, func() {
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
