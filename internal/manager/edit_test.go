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

// TestEdit checks the outcome of an edit after a sequence of answers from stores, of which the last one
// repeats.
func TestEdit(t *testing.T) {
	edited := func(kind errs.Kind) any { return &wire.Edited{Kind: string(kind), Revision: 7} }
	lost, unsent := errs.New(errs.Lost, "session"), error(&transport.UnsentError{})
	cases := []struct {
		name    string
		answers []any
		kind    errs.Kind
	}{
		{"it is applied", []any{edited("")}, ""},
		{"it is applied by the second store", []any{edited(errs.NotOwner), edited("")}, ""},
		{"it is applied after a lost answer", []any{lost, edited("")}, ""},
		{"it is applied after the owner was replaced", []any{edited(errs.Undecided), edited("")}, ""},
		{"it is applied after an overloaded owner refused it", []any{edited(errs.Full), edited("")}, ""},
		{"another edit came first", []any{edited(errs.Conflict)}, errs.Conflict},
		{"the part may have forgotten it", []any{edited(errs.Stale)}, errs.Undecided},
		{"no store owns the part", []any{edited(errs.NotOwner)}, errs.NotOwner},
		{"nothing could be sent", []any{unsent}, errs.NotOwner},
		{"the owner is overloaded", []any{edited(errs.Full)}, errs.Full},
		{"no store answers", []any{lost}, errs.Undecided},
		{"no store owns the part after a lost answer", []any{lost, edited(errs.NotOwner)}, errs.Undecided},
		{"no store owns the part after the owner was replaced", []any{edited(errs.Undecided), edited(errs.NotOwner)}, errs.Undecided},
		{"the owner is overloaded after the previous one was replaced", []any{edited(errs.Undecided), edited(errs.Full)}, errs.Undecided},
		{"the owner is overloaded after a lost answer", []any{lost, edited(errs.Full)}, errs.Undecided},
	}
	Convey("The outcome of an edit is known when", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, _ := newFakeManager()
				m.d.Bounds.ConfigApply = 50 * time.Millisecond
				m.ownerClient.Bounds = m.d.Bounds
				attempt, operationIds := 0, map[string]bool{}
				m.ownerClient.SendFunc = func(_ context.Context, _ string, ask any) (any, error) {
					e, isEdit := ask.(*wire.Edit)
					if !isEdit {
						return &wire.Pulled{Kind: string(errs.Unknown)}, nil
					}
					operationIds[e.OperationId] = true
					answer := c.answers[min(attempt, len(c.answers)-1)]
					attempt++
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
				So(len(operationIds), ShouldEqual, 1) // all retries have the same operation ID
			})
		}
	})
}
