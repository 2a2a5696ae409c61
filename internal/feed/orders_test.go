package feed

import (
	"fmt"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// order returns an operators' order based on a version, and on the revision that the last one made.
func order(p *Part, name string, base int64) wire.Edit {
	was, _ := p.Get(TrackedKey)
	return wire.Edit{Key: TrackedKey, Value: []byte(name), IfRevision: was.Revision, OperationId: name, BaseVersion: base}
}

// chain applies orders, each based on the one before: "1" on version 0, "2" on version 1, …
func chain(p *Part, from, to int) {
	for i := from; i < to; i++ {
		p.Apply(order(p, fmt.Sprint(i+1), int64(i)))
	}
}

// TestOrders checks that an order which has taken effect is never answered with a conflict when it is sent again.
func TestOrders(t *testing.T) {
	again := func(p *Part, name string, base int64) wire.Edited {
		return p.Apply(wire.Edit{Key: TrackedKey, Value: []byte(name), IfRevision: base, OperationId: name, BaseVersion: base})
	}
	restored := func(p *Part) *Part {
		next, err := RestorePart(p.Snapshot())
		So(err, ShouldBeNil)
		So(next.Snapshot(), ShouldResemble, p.Snapshot())
		return next
	}
	Convey("Given orders that are each based on the one before,", t, func() {
		p := NewPart()
		chain(p, 0, maxOrders)
		for _, how := range []string{"in the same part", "in a restored part"} {
			Convey("a repeat of each gets the first answer "+how, func() {
				if how == "in a restored part" {
					p = restored(p)
				}
				for _, i := range []int{1, 2, 17, 500, maxOrders} {
					So(again(p, fmt.Sprint(i), int64(i-1)), ShouldResemble, wire.Edited{Revision: int64(i), IsRepeat: true})
				}
				So(p.Revision(), ShouldEqual, maxOrders)
				So(errs.Kind(again(p, "rival", 3).Kind), ShouldEqual, errs.Conflict)
			})
			Convey("a repeat of a forgotten one is answered as stale "+how, func() {
				chain(p, maxOrders, maxOrders+10)
				if how == "in a restored part" {
					p = restored(p)
				}
				for i := 1; i <= 10; i++ {
					So(errs.Kind(again(p, fmt.Sprint(i), int64(i-1)).Kind), ShouldEqual, errs.Stale)
				}
				So(again(p, "11", 10), ShouldResemble, wire.Edited{Revision: 11, IsRepeat: true})
				So(errs.Kind(again(p, "rival", 9).Kind), ShouldEqual, errs.Stale)
				So(errs.Kind(again(p, "rival", 10).Kind), ShouldEqual, errs.Conflict)
				So(len(p.orders.byId), ShouldEqual, maxOrders)
			})
		}
		Convey("the outcome of each can be read", func() {
			chain(p, maxOrders, maxOrders+1)
			read := func(name string, base int64) []any {
				got := p.Read(OrderKey(name, base), 0)
				return []any{errs.Kind(got.Kind), got.Change.Revision}
			}
			So(read("7", 6), ShouldResemble, []any{errs.Kind(""), int64(7)})
			So(read("1", 0), ShouldResemble, []any{errs.Stale, int64(0)})
			So(read("rival", 6), ShouldResemble, []any{errs.Unknown, int64(0)})
			So(read("a/b", 6), ShouldResemble, []any{errs.Unknown, int64(0)})
		})
	})
	Convey("The orders that an older build remembered are known, and those that it forgot are answered as stale", t, func() {
		p := NewPart()
		p.Apply(wire.Edit{Key: TrackedKey, Value: []byte(`{"edits":["a","b"]}`)})
		p.Apply(wire.Edit{Key: TrackedKey, Value: []byte("c"), IfRevision: 1, OperationId: "c", BaseVersion: 7, EarlierOperations: []string{"a", "b"}})
		for _, name := range []string{"a", "b", "c"} {
			So(again(p, name, 5), ShouldResemble, wire.Edited{Revision: 2, IsRepeat: true})
		}
		So(errs.Kind(again(p, "older", 5).Kind), ShouldEqual, errs.Stale)
		So(errs.Kind(again(p, "rival", 7).Kind), ShouldEqual, errs.Conflict)
	})
}

// TestCalls checks that an edit which a manager retries takes effect only once.
func TestCalls(t *testing.T) {
	call := func(name string, ifRevision int64) wire.Edit {
		return wire.Edit{Key: "a", Value: []byte(name), IfRevision: ifRevision, OperationId: name, BaseVersion: wire.SingleCallBase}
	}
	Convey("An edit of a single call", t, func() {
		p := NewPart()
		first, gone := call("first", -1), wire.Edit{Key: "a", Gone: true, IfRevision: -1}
		So(p.Apply(first).Revision, ShouldEqual, 1)
		Convey("does not take effect again, based on any revision", func() {
			p.Apply(gone)
			So(p.Apply(first), ShouldResemble, wire.Edited{Revision: 1, IsRepeat: true})
			_, isPresent := p.Get("a")
			So(isPresent, ShouldBeFalse)
		})
		Convey("does not take effect again on a key that has been deleted since", func() {
			p.Apply(gone)
			again := call("again", 0)
			So(p.Apply(again).Revision, ShouldEqual, 3)
			p.Apply(gone)
			So(p.Apply(again), ShouldResemble, wire.Edited{Revision: 3, IsRepeat: true})
		})
		Convey("is answered as stale once forgotten; an edit that cannot have been forgotten as a conflict", func() {
			So(p.Apply(call("second", 1)).Revision, ShouldEqual, 2)
			for i := range maxCalls + 1 {
				p.Apply(call(fmt.Sprint("later ", i), -1))
			}
			So(errs.Kind(p.Apply(call("second", 1)).Kind), ShouldEqual, errs.Stale)
			So(errs.Kind(p.Apply(call("rival", 5)).Kind), ShouldEqual, errs.Conflict)
			So(p.Apply(call("newest", int64(maxCalls)+3)).Kind, ShouldBeEmpty)
		})
	})
}

// TestAges checks that the age of a change is counted by part time.
func TestAges(t *testing.T) {
	Convey("A change has the age that the part time gives", t, func() {
		p := NewPart()
		p.Apply(wire.Edit{Key: "a", Value: []byte{}, OperationId: "1", BaseVersion: wire.SingleCallBase, At: 1000})
		p.Apply(wire.Edit{Key: "b", Value: []byte{}, OperationId: "2", BaseVersion: wire.SingleCallBase, At: 700}) // part time never decreases
		p.Apply(wire.Edit{Key: "c", Value: []byte{}})                                                              // as from an older build
		for range 2 {
			So(p.Read("a", 1500).Age, ShouldEqual, 500)
			So(p.Read("b", 1500).Age, ShouldEqual, 500)
			So(p.Read("c", 1500).Age, ShouldEqual, int64(math.MaxInt64))
			So(p.Read("a", 900).Age, ShouldEqual, 0)
			next, err := RestorePart(p.Snapshot())
			So(err, ShouldBeNil)
			So([]int64{p.Clock(), next.Clock()}, ShouldResemble, []int64{1000, 1000})
			p = next
		}
	})
}

// TestOlderRecords checks that a record without newer fields is encoded as before, that an older build refuses the
// others, and that this build reads what an older one wrote.
func TestOlderRecords(t *testing.T) {
	oldEdit, oldImage := wire.NewRecordCodec(&wire.Edit{}), wire.NewRecordCodec(&partSnapshot{})
	Convey("Between builds,", t, func() {
		old := edit("a", 3)
		remembered := wire.Edit{Key: "a", Value: []byte("v"), IfRevision: 3, By: "x", OperationId: "o", BaseVersion: 4, EarlierOperations: []string{"n"}, At: 5}
		Convey("an edit in the log", func() {
			So(EncodeEdit(old), ShouldResemble, oldEdit.Encode(&old))
			got, err := DecodeEdit(oldEdit.Encode(&old))
			So(err, ShouldBeNil)
			So(got, ShouldResemble, old)
			got, err = DecodeEdit(EncodeEdit(remembered))
			So(err, ShouldBeNil)
			So(got, ShouldResemble, remembered)
			So(oldEdit.Decode(EncodeEdit(remembered), &wire.Edit{}), ShouldNotBeNil)
		})
		Convey("a snapshot", func() {
			p := NewPart()
			p.Apply(edit("a", 0))
			state := partSnapshot{Revision: 1, Changes: []wire.Change{{Key: "a", Value: []byte("a"), Revision: 1}}, Past: []wire.Change{}}
			So(p.Snapshot(), ShouldResemble, oldImage.Encode(&state))
			read, err := RestorePart(oldImage.Encode(&state))
			So(err, ShouldBeNil)
			So(read.Snapshot(), ShouldResemble, p.Snapshot())
			read.Apply(order(read, "o", 0))
			So(oldImage.Decode(read.Snapshot(), &partSnapshot{}), ShouldNotBeNil)
		})
	})
}
