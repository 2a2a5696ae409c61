package deliver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/deliver"
	"caperwheel/internal/errs"
	"caperwheel/internal/requesthead"
	"caperwheel/internal/wire"
	"caperwheel/platform"
)

// answerOf is a worker's answer with a body, and with the fields given.
func answerOf(code int, body string, fields ...string) string {
	out := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\nX-Server-Seal: %s\r\n", code, len(body), body)
	for _, field := range fields {
		out += field + "\r\n"
	}
	return out + "\r\n" + body
}

// deliveryModes are the ways in which a run is put to a worker, each with the field by
// which an answer repeats the run's id.
var deliveryModes = []struct {
	name   string
	codec  deliver.Codec
	isLane bool
	field  string
}{
	{"a lane's own request", deliver.DefaultCodec, true, "X-Message-Id"},
	{"a request as it came, in our own codec", deliver.DefaultCodec, false, "X-Message-Id"},
	{"a request as it came, in the platform's codec", platform.Deliveries, false, "X-Attempt-Id"},
}

// TestWrongRun is the table of answers that come when the next run has already
// been written on a kept connection. A second answer that came late was once
// the next run's success.
func TestWrongRun(t *testing.T) {
	type exchange struct{ first, second string } // templates; ID1 and ID2 are the runs' fields
	cases := []struct {
		name string
		exchange
		kinds [2]errs.Kind // of the runs
		proof string       // of the second run, if it is a success
		conns int64        // used by three runs
	}{
		{"each repeats its run's id", exchange{answerOf(200, "one", "ID1"), answerOf(200, "two", "ID2")}, [2]errs.Kind{}, "two", 1},
		{"the first one's comes again", exchange{answerOf(200, "one", "ID1"), answerOf(200, "one", "ID1")}, [2]errs.Kind{"", "cut_short"}, "", 2},
		{"the first one's comes again, and then its own", exchange{answerOf(200, "one", "ID1"),
			answerOf(200, "one", "ID1") + answerOf(200, "two", "ID2")}, [2]errs.Kind{"", "cut_short"}, "", 2},
		{"its own comes with a second one", exchange{answerOf(200, "one", "ID1"),
			answerOf(200, "two", "ID2") + answerOf(200, "one", "ID1")}, [2]errs.Kind{}, "two", 2},
		{"a refusal of the first one comes", exchange{answerOf(200, "one", "ID1"), answerOf(422, "no", "ID1")}, [2]errs.Kind{"", "cut_short"}, "", 2},
		{"one comes that repeats no id, after one that did", exchange{answerOf(200, "one", "ID1"), answerOf(200, "old")},
			[2]errs.Kind{"", "cut_short"}, "", 2},
		{"one comes that repeats two", exchange{answerOf(200, "one", "ID1"), answerOf(200, "old", "ID2", "ID1")},
			[2]errs.Kind{"", "cut_short"}, "", 2},
		{"none repeats an id", exchange{answerOf(200, "one"), answerOf(200, "two")}, [2]errs.Kind{}, "two", 3},
		{"the first is another run's", exchange{answerOf(200, "one", "ID2"), answerOf(200, "two", "ID2")}, [2]errs.Kind{"cut_short", ""}, "two", 2},
	}
	for _, way := range deliveryModes {
		Convey("Of the answers to "+way.name, t, func() {
			for _, c := range cases {
				Convey(c.name, func() {
					name := strings.NewReplacer("ID1", way.field+": 0-1", "ID2", way.field+": 0-2")
					address, accepted := scripted(name.Replace(c.first), name.Replace(c.second), name.Replace(answerOf(200, "two", "ID2")))
					meet := deliver.Deliverer(way.codec, address)
					run := func(id string) *wire.Outcome {
						kept := requesthead.Head{Method: "POST", Target: "/a", Host: "x.example", Fields: [][2]string{{"X-Attempt-Id", id}}}
						return meet(id, kept, way.isLane)
					}
					one, two := run("0-1"), run("0-2")
					So(errs.Kind(one.Kind), ShouldEqual, c.kinds[0])
					So(errs.Kind(two.Kind), ShouldEqual, c.kinds[1])
					So(two.Kind == "" || two.MayHaveStarted, ShouldBeTrue)
					So(two.Final, ShouldBeFalse)
					So(string(two.Proof.Answer), ShouldEqual, c.proof)
					So(run("0-2").Kind, ShouldBeEmpty)
					So(accepted.Load(), ShouldEqual, c.conns)
				})
			}
		})
	}
}

// TestFailureComesAgain: a message that failed runs again under its id, so a second
// copy of the failure could be taken for the next attempt's.
func TestFailureComesAgain(t *testing.T) {
	cases := []struct {
		name  string
		code  int
		conns int64
	}{
		{"a failure, which counts: its connection carries nothing else", 500, 2},
		{"a run that was not done in time", 504, 2},
		{"a worker that is full, which counts for nothing", 503, 1},
		{"a success: the message does not run again", 200, 1},
	}
	for _, way := range deliveryModes {
		Convey("Of "+way.name+", two runs of one message, the first answered by", t, func() {
			for _, c := range cases {
				Convey(c.name, func() {
					field := way.field + ": 0-1"
					address, accepted := scripted(answerOf(c.code, "one", field), answerOf(200, "two", field))
					meet := deliver.Deliverer(way.codec, address)
					kept := requesthead.Head{Method: "POST", Target: "/a", Host: "x.example", Fields: [][2]string{{"X-Attempt-Id", "0-1"}}}
					meet("0-1", kept, way.isLane)
					So(meet("0-1", kept, way.isLane).Kind, ShouldBeEmpty)
					So(accepted.Load(), ShouldEqual, c.conns)
				})
			}
		})
	}
}

// TestWrongWord is the same table for whoever is told of ends: the acceptance of
// one word, sent a second time, was once that of the next.
func TestWrongWord(t *testing.T) {
	cases := []struct {
		name, first, second string
		kind                errs.Kind // of the second word
		conns               int64     // used by three words
	}{
		{"each repeats its word's id", answerOf(200, "", "X-Message-Id: 0-1"), answerOf(200, "", "X-Message-Id: 0-2"), "", 1},
		{"the first one's comes again", answerOf(200, "", "X-Message-Id: 0-1"), answerOf(200, "", "X-Message-Id: 0-1"), errs.Truncated, 2},
		{"one comes that repeats no id, after one that did", answerOf(200, "", "X-Message-Id: 0-1"), answerOf(200, ""), errs.Truncated, 2},
		{"none repeats an id", answerOf(200, ""), answerOf(200, ""), "", 3},
	}
	Convey("Of the answers to words of ends", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				address, accepted := scripted(c.first, c.second, answerOf(200, "", "X-Message-Id: 0-2"))
				tell := deliver.NotificationSender(deliver.DefaultCodec)
				word := func(id string) errs.Kind {
					return errs.Kind(tell(&wire.Tell{Id: id, Url: "http://" + address + "/", State: "ended"}).Kind)
				}
				So(word("0-1"), ShouldBeEmpty)
				So(word("0-2"), ShouldEqual, c.kind)
				So(word("0-2"), ShouldBeEmpty)
				So(accepted.Load(), ShouldEqual, c.conns)
			})
		}
	})
}

// scripted is a worker that answers the first request that it reads with one
// text, the second with another, and later ones with the third.
func scripted(texts ...string) (address string, accepted *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { _ = listener.Close() })
	accepted = &atomic.Int64{}
	turn := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = conn.Write([]byte(texts[min(int(turn.Add(1)), len(texts))-1]))
				}
			}()
		}
	}()
	return listener.Addr().String(), accepted
}
