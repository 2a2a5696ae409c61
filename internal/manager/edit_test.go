package manager

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/mishap"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// TestEdit is the table of what is known of an edit's effect after what stores
// answered, one after another, the last answer again and again.
func TestEdit(t *testing.T) {
	edited := func(kind mishap.Kind) any { return &wire.Edited{Kind: string(kind), Stamp: 7} }
	lost, unsent := mishap.New(mishap.Lost, "session"), error(&transport.Unsent{})
	cases := []struct {
		name    string
		answers []any
		kind    mishap.Kind
	}{
		{"it holds", []any{edited("")}, ""},
		{"it holds at the second store", []any{edited(mishap.NotOwner), edited("")}, ""},
		{"it holds after a lost answer", []any{lost, edited("")}, ""},
		{"it holds after an owner that was replaced", []any{edited(mishap.Undecided), edited("")}, ""},
		{"it holds after a full owner", []any{edited(mishap.Full), edited("")}, ""},
		{"a lost race", []any{edited(mishap.Conflict)}, mishap.Conflict},
		{"it may be forgotten", []any{edited(mishap.Stale)}, mishap.Undecided},
		{"nobody owns the part", []any{edited(mishap.NotOwner)}, mishap.NotOwner},
		{"nothing could be sent", []any{unsent}, mishap.NotOwner},
		{"an owner that is full", []any{edited(mishap.Full)}, mishap.Full},
		{"nobody answers", []any{lost}, mishap.Undecided},
		{"nobody owns the part after a lost answer", []any{lost, edited(mishap.NotOwner)}, mishap.Undecided},
		{"nobody owns the part after an owner that was replaced", []any{edited(mishap.Undecided), edited(mishap.NotOwner)}, mishap.Undecided},
		{"an owner that is full after one that was replaced", []any{edited(mishap.Undecided), edited(mishap.Full)}, mishap.Undecided},
		{"an owner that is full after a lost answer", []any{lost, edited(mishap.Full)}, mishap.Undecided},
	}
	Convey("Of an edit,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, _ := newFake()
				m.d.Bounds.Charter = 50 * time.Millisecond
				m.reach.Bounds = m.d.Bounds
				turn, orders := 0, map[string]bool{}
				m.reach.Call = func(_ context.Context, _ string, ask any) (any, error) {
					e, isEdit := ask.(*wire.Edit)
					if !isEdit {
						return &wire.Pulled{Kind: string(mishap.Unknown)}, nil
					}
					orders[e.Order] = true
					answer := c.answers[min(turn, len(c.answers)-1)]
					turn++
					if err, isErr := answer.(error); isErr {
						return nil, err
					}
					return answer, nil
				}
				stamp, err := m.edit(context.Background(), wire.Edit{Key: "a", IfStamp: 6})
				So(err == nil, ShouldEqual, c.kind == "")
				if err != nil {
					So(mishap.KindOf(err), ShouldEqual, c.kind)
				}
				So(stamp, ShouldEqual, map[bool]int64{true: 7}[c.kind == ""])
				So(len(orders), ShouldEqual, 1) // it is one and the same, however often it is sent
			})
		}
	})
}
