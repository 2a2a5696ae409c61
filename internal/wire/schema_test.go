package wire

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
)

// TestOlderPeers guards against fields of version 3 or 4 that reach a peer of an older version, or are lost
// between newer ones.
func TestOlderPeers(t *testing.T) {
	take := &Take{Id: "1-x", Body: []byte("b"), RequestHead: []byte("h"), Delay: 7, NotifyUrl: "u"}
	run := &Run{Id: "1-x", Body: []byte("b"), RequestHead: []byte("h")}
	roundTrip := func(link *Link, from, to int64, request any) (any, error) {
		out, _ := link.Codecs(from)
		in, _ := link.Codecs(to)
		w := out.NewWriter(64)
		So(out.Append(w, Item{CorrelationId: 1, Body: request}), ShouldBeNil)
		items, err := in.Decode(w.Buffer(), 1)
		if err != nil {
			return nil, err
		}
		return items[0].Body, nil
	}
	Convey("Between two daemons that negotiated a version,", t, func() {
		for version := OldestVersion; version <= Version; version++ {
			got, err := roundTrip(PlaceLink, version, version, take)
			So(err, ShouldBeNil)
			started, err := roundTrip(RunLink, version, version, run)
			So(err, ShouldBeNil)
			m, r := got.(*Take), started.(*Run)
			So([]string{m.Id, string(m.Body), r.Id}, ShouldResemble, []string{"1-x", "b", "1-x"})
			edit, err := roundTrip(PartLink, version, version, &Edit{Key: "k", Value: []byte{}, By: "x", OperationId: "o", BaseVersion: 2, EarlierOperations: []string{"n"}, At: 5})
			So(err, ShouldBeNil)
			e := edit.(*Edit)
			So([]string{e.Key, e.By}, ShouldResemble, []string{"k", "x"})
			So([]bool{e.OperationId == "o", e.BaseVersion == 2, len(e.EarlierOperations) == 1, e.At == 5}, ShouldResemble, []bool{version >= 4, version >= 4, version >= 4, version >= 4})
			hasVersion3 := version >= 3
			So([]bool{len(m.RequestHead) > 0, m.Delay == 7, m.NotifyUrl == "u", len(r.RequestHead) > 0}, ShouldResemble, []bool{hasVersion3, hasVersion3, hasVersion3, hasVersion3})
		}
	})
}

// TestCutRecords guards against a truncated record that is decoded as a complete one with empty last
// fields.
func TestCutRecords(t *testing.T) {
	Convey("A record on disk is read completely, and rejected wherever it is truncated", t, func() {
		codec := NewRecordCodec(&Take{})
		raw := codec.Encode(&Take{Id: "1-x", Lane: "l", Body: []byte("b"), Checksum: "s", Deadline: 9})
		var whole Take
		So(codec.Decode(raw, &whole), ShouldBeNil)
		So([]any{whole.Id, whole.Deadline}, ShouldResemble, []any{"1-x", int64(9)})
		for length := range raw {
			So(errs.Is(codec.Decode(raw[:length], &Take{}), errs.Corrupt), ShouldBeTrue)
		}
	})
}

// TestCodecsAreBuiltWhenUsed guards against building the codecs of all links and versions at the start of a
// process: this took 32 ms of CPU time before the daemon could listen.
func TestCodecsAreBuiltWhenUsed(t *testing.T) {
	Convey("A link builds its codecs once, and only for the versions in use", t, func() {
		link := newLink("unused", false, []any{&Look{}}, []any{&Sight{}})
		So(len(link.requestCodecs)+len(link.replyCodecs), ShouldEqual, 0)
		requests, replies := link.Codecs(Version)
		again, _ := link.Codecs(Version)
		So(requests, ShouldEqual, again)
		So(requests, ShouldNotEqual, replies)
		So(len(link.requestCodecs)+len(link.replyCodecs), ShouldEqual, 2)
	})
}

// TestKindsByVersion guards against message types that no version carries, because the newest version was
// not raised when they were added. Each version has the types of the one before under the same numbers.
func TestKindsByVersion(t *testing.T) {
	all := func(kinds []any) []any {
		out := []any{}
		for _, kind := range kinds {
			if newer, isNewer := kind.(since); isNewer {
				kind = newer.kind
			}
			out = append(out, kind)
		}
		return out
	}
	Convey("The newest version of each link carries all message types, older versions the first of them", t, func() {
		for _, link := range Links {
			for _, direction := range []struct {
				kinds []any
				codec func(version int64) *Codec
			}{
				{link.requestKinds, func(v int64) *Codec { requests, _ := link.Codecs(v); return requests }},
				{link.replyKinds, func(v int64) *Codec { _, replies := link.Codecs(v); return replies }},
			} {
				kinds, known := all(direction.kinds), 0
				for version := OldestVersion; version <= Version; version++ {
					codec := direction.codec(version)
					for i, kind := range kinds {
						SoMsg(link.Name, codec.Supports(kind), ShouldEqual, i < len(codec.branches))
					}
					So(len(codec.branches), ShouldBeGreaterThanOrEqualTo, known)
					known = len(codec.branches)
				}
				So(known, ShouldEqual, len(kinds))
			}
		}
	})
	Convey("AskTime is supported from version 7 on", t, func() {
		six, _ := RunLink.Codecs(6)
		seven, _ := RunLink.Codecs(7)
		So([]bool{six.Supports(&AskTime{}), seven.Supports(&AskTime{})}, ShouldResemble, []bool{false, true})
	})
}
