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

// answerOf returns a worker's raw reply with a body and header fields.
func answerOf(code int, body string, fields ...string) string {
	out := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\nX-Server-Seal: %s\r\n", code, len(body), body)
	for _, field := range fields {
		out += field + "\r\n"
	}
	return out + "\r\n" + body
}

// deliveryModes are the ways in which a run is sent to a worker, each with the header field by which a reply repeats
// the run's id.
var deliveryModes = []struct {
	name   string
	codec  deliver.Codec
	isLane bool
	field  string
}{
	{"a lane's own request", deliver.DefaultCodec, true, "X-Message-Id"},
	{"a passthrough request in the default codec", deliver.DefaultCodec, false, "X-Message-Id"},
	{"a passthrough request in the platform's codec", platform.DeliverCodec, false, "X-Attempt-Id"},
}

// TestWrongRun checks replies that arrive when the next run has already been written on a kept connection. It guards
// against a late second reply to one run that counts as the success of the next.
func TestWrongRun(t *testing.T) {
	type exchange struct{ first, second string } // templates of replies; ID1 and ID2 stand for the runs' id fields
	cases := []struct {
		name string
		exchange
		kinds [2]errs.Kind // of the runs
		proof string       // of the second run, if it succeeds
		conns int64        // connections used by three runs
	}{
		{"each repeats the id of its run", exchange{answerOf(200, "one", "ID1"), answerOf(200, "two", "ID2")}, [2]errs.Kind{}, "two", 1},
		{"a second copy of the first reply", exchange{answerOf(200, "one", "ID1"), answerOf(200, "one", "ID1")}, [2]errs.Kind{"", "cut_short"}, "", 2},
		{"a second copy of the first reply, followed by the right one", exchange{answerOf(200, "one", "ID1"),
			answerOf(200, "one", "ID1") + answerOf(200, "two", "ID2")}, [2]errs.Kind{"", "cut_short"}, "", 2},
		{"the right reply, followed by a copy of the first", exchange{answerOf(200, "one", "ID1"),
			answerOf(200, "two", "ID2") + answerOf(200, "one", "ID1")}, [2]errs.Kind{}, "two", 2},
		{"a refusal with the id of the first run", exchange{answerOf(200, "one", "ID1"), answerOf(422, "no", "ID1")}, [2]errs.Kind{"", "cut_short"}, "", 2},
		{"a reply without an id, after one with an id", exchange{answerOf(200, "one", "ID1"), answerOf(200, "old")},
			[2]errs.Kind{"", "cut_short"}, "", 2},
		{"a reply with the ids of both runs", exchange{answerOf(200, "one", "ID1"), answerOf(200, "old", "ID2", "ID1")},
			[2]errs.Kind{"", "cut_short"}, "", 2},
		{"two replies without an id", exchange{answerOf(200, "one"), answerOf(200, "two")}, [2]errs.Kind{}, "two", 3},
		{"a first reply with the id of another run", exchange{answerOf(200, "one", "ID2"), answerOf(200, "two", "ID2")}, [2]errs.Kind{"cut_short", ""}, "two", 2},
	}
	for _, mode := range deliveryModes {
		Convey("Of the replies to "+mode.name, t, func() {
			for _, c := range cases {
				Convey(c.name, func() {
					name := strings.NewReplacer("ID1", mode.field+": 0-1", "ID2", mode.field+": 0-2")
					address, accepted := scripted(name.Replace(c.first), name.Replace(c.second), name.Replace(answerOf(200, "two", "ID2")))
					deliverNext := deliver.Deliverer(mode.codec, address)
					run := func(id string) *wire.Outcome {
						kept := requesthead.Head{Method: "POST", Target: "/a", Host: "x.example", Fields: [][2]string{{"X-Attempt-Id", id}}}
						return deliverNext(id, kept, mode.isLane)
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

// TestFailureComesAgain guards against a second copy of a failure that is taken for the reply to the retry: a failed
// message is retried under the same id.
func TestFailureComesAgain(t *testing.T) {
	cases := []struct {
		name  string
		code  int
		conns int64
	}{
		{"a failure: the connection is not reused", 500, 2},
		{"a gateway time-out: the connection is not reused", 504, 2},
		{"a full worker, which has not begun a run: the connection is reused", 503, 1},
		{"a success: the connection is reused", 200, 1},
	}
	for _, mode := range deliveryModes {
		Convey("For "+mode.name+", two runs of one message, the first answered by", t, func() {
			for _, c := range cases {
				Convey(c.name, func() {
					field := mode.field + ": 0-1"
					address, accepted := scripted(answerOf(c.code, "one", field), answerOf(200, "two", field))
					deliverNext := deliver.Deliverer(mode.codec, address)
					kept := requesthead.Head{Method: "POST", Target: "/a", Host: "x.example", Fields: [][2]string{{"X-Attempt-Id", "0-1"}}}
					deliverNext("0-1", kept, mode.isLane)
					So(deliverNext("0-1", kept, mode.isLane).Kind, ShouldBeEmpty)
					So(accepted.Load(), ShouldEqual, c.conns)
				})
			}
		})
	}
}

// TestWrongWord is the same check for notification receivers: a second copy of the reply to one notification must not
// count as the acceptance of the next.
func TestWrongWord(t *testing.T) {
	cases := []struct {
		name, first, second string
		kind                errs.Kind // of the second notification
		conns               int64     // connections used by three notifications
	}{
		{"each repeats the id of its notification", answerOf(200, "", "X-Message-Id: 0-1"), answerOf(200, "", "X-Message-Id: 0-2"), "", 1},
		{"a second copy of the first reply", answerOf(200, "", "X-Message-Id: 0-1"), answerOf(200, "", "X-Message-Id: 0-1"), errs.Truncated, 2},
		{"a reply without an id, after one with an id", answerOf(200, "", "X-Message-Id: 0-1"), answerOf(200, ""), errs.Truncated, 2},
		{"two replies without an id", answerOf(200, ""), answerOf(200, ""), "", 3},
	}
	Convey("Of the replies to notifications", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				address, accepted := scripted(c.first, c.second, answerOf(200, "", "X-Message-Id: 0-2"))
				send := deliver.NotificationSender(deliver.DefaultCodec)
				sendFor := func(id string) errs.Kind {
					return errs.Kind(send(&wire.Tell{Id: id, Url: "http://" + address + "/", State: "ended"}).Kind)
				}
				So(sendFor("0-1"), ShouldBeEmpty)
				So(sendFor("0-2"), ShouldEqual, c.kind)
				So(sendFor("0-2"), ShouldBeEmpty)
				So(accepted.Load(), ShouldEqual, c.conns)
			})
		}
	})
}

// scripted starts a worker that answers the first request with the first text, the second with the second, and further
// ones with the last.
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
