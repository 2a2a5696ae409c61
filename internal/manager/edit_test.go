package manager

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// TestEdit is the table of what is known of an edit's effect after what stores
// answered, one after another, the last answer again and again.
func TestEdit(t *testing.T) {
	edited := func(kind errs.Kind) any { return &wire.Edited{Kind: string(kind), Revision: 7} }
	lost, unsent := errs.New(errs.Lost, "session"), error(&transport.UnsentError{})
	cases := []struct {
		name    string
		answers []any
		kind    errs.Kind
	}{
		{"it holds", []any{edited("")}, ""},
		{"it holds at the second store", []any{edited(errs.NotOwner), edited("")}, ""},
		{"it holds after a lost answer", []any{lost, edited("")}, ""},
		{"it holds after an owner that was replaced", []any{edited(errs.Undecided), edited("")}, ""},
		{"it holds after a full owner", []any{edited(errs.Full), edited("")}, ""},
		{"a lost race", []any{edited(errs.Conflict)}, errs.Conflict},
		{"it may be forgotten", []any{edited(errs.Stale)}, errs.Undecided},
		{"nobody owns the part", []any{edited(errs.NotOwner)}, errs.NotOwner},
		{"nothing could be sent", []any{unsent}, errs.NotOwner},
		{"an owner that is full", []any{edited(errs.Full)}, errs.Full},
		{"nobody answers", []any{lost}, errs.Undecided},
		{"nobody owns the part after a lost answer", []any{lost, edited(errs.NotOwner)}, errs.Undecided},
		{"nobody owns the part after an owner that was replaced", []any{edited(errs.Undecided), edited(errs.NotOwner)}, errs.Undecided},
		{"an owner that is full after one that was replaced", []any{edited(errs.Undecided), edited(errs.Full)}, errs.Undecided},
		{"an owner that is full after a lost answer", []any{lost, edited(errs.Full)}, errs.Undecided},
	}
	Convey("Of an edit,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, _ := newFakeManager()
				m.d.Bounds.ConfigApply = 50 * time.Millisecond
				m.reach.Bounds = m.d.Bounds
				turn, orders := 0, map[string]bool{}
				m.reach.SendFunc = func(_ context.Context, _ string, ask any) (any, error) {
					e, isEdit := ask.(*wire.Edit)
					if !isEdit {
						return &wire.Pulled{Kind: string(errs.Unknown)}, nil
					}
					orders[e.OperationId] = true
					answer := c.answers[min(turn, len(c.answers)-1)]
					turn++
					if err, isErr := answer.(error); isErr {
						return nil, err
					}
					return answer, nil
				}
				revision, err := m.edit(context.Background(), wire.Edit{Key: "a", IfRevision: 6})
				So(err == nil, ShouldEqual, c.kind == "")
				if err != nil {
					So(errs.KindOf(err), ShouldEqual, c.kind)
				}
				So(revision, ShouldEqual, map[bool]int64{true: 7}[c.kind == ""])
				So(len(orders), ShouldEqual, 1) // it is one and the same, however often it is sent
			})
		}
	})
}
