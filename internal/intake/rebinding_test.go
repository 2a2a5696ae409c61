package intake_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// TestClaimWithoutAMessage guards against a message that can never be accepted: the send that bound its operation key
// ended before the message reached its place.
func TestClaimWithoutAMessage(t *testing.T) {
	Convey("A key is bound and its message is lost on the way;", t, func() {
		places := &fakePlaces{machines: map[int64]*place.Machine{}, level: place.LevelHomes}
		front := newKeyedFront(places, withoutTenants(3))
		sendWith := func(order string) (int, string) {
			w := send(front.serve, "/o/x/1", map[string]string{"Authorization": "Bearer key-1", "X-Operation-Key": "op", "X-Order-Key": order})
			return w.Code, w.Header().Get("X-Message-Name")
		}
		places.loseNext = true
		code, _ := sendWith("vent 4")
		So(code, ShouldEqual, 503)
		So(places.held(), ShouldEqual, 0)
		Convey("the same request is accepted later", func() {
			code, _ := sendWith("vent 4")
			So(code, ShouldEqual, 202)
			So(places.held(), ShouldEqual, 1)
		})
		Convey("one with another ordering key is accepted, under an id of its own, and then the first one is its repeat", func() {
			code, name := sendWith("vent 5")
			So(code, ShouldEqual, 202)
			for _, order := range []string{"vent 4", "vent 5", "", "vent 6"} {
				code, again := sendWith(order)
				So(code, ShouldEqual, 202)
				So(again, ShouldEqual, name)
			}
			So(places.held(), ShouldEqual, 1)
		})
		Convey("one with another ordering key is lost too, and the first one is accepted", func() {
			places.loseNext = true
			code, _ := sendWith("vent 5")
			So(code, ShouldEqual, 503)
			code, name := sendWith("vent 4")
			So(code, ShouldEqual, 202)
			_, again := sendWith("vent 5")
			So(again, ShouldEqual, name)
			So(places.held(), ShouldEqual, 1)
		})
		So(places.lost, ShouldBeGreaterThan, 0)
	})
	Convey("A key is bound, and another send with another ordering key is accepted before the message reaches its place: it is a repeat", t, func() {
		places := &fakePlaces{machines: map[int64]*place.Machine{}, level: place.LevelHomes}
		front := newKeyedFront(places, withoutTenants(3))
		sendWith := func(order string) string {
			w := send(front.serve, "/o/x/1", map[string]string{"Authorization": "Bearer key-1", "X-Operation-Key": "op", "X-Order-Key": order})
			So(w.Code, ShouldEqual, 202)
			return w.Header().Get("X-Message-Name")
		}
		other := ""
		places.onTake = func() { other = sendWith("vent 5") }
		So(sendWith("vent 4"), ShouldEqual, other)
		So(places.held(), ShouldEqual, 1)
	})
}

// TestSettledByACaller guards against a message that runs although its caller was told that it never will: a send that
// was still on its way bound the operation key to a new id.
func TestSettledByACaller(t *testing.T) {
	for _, path := range []string{"/a/x/1", "/o/x/1"} {
		Convey("A caller has its message settled before it reaches its place, "+path, t, func() {
			places := &fakePlaces{machines: map[int64]*place.Machine{}, level: place.LevelHomes}
			front := newKeyedFront(places, withoutTenants(3))
			order := map[bool]string{true: "vent 4"}[path[1] == 'o']
			sendWith := func(order string) *httptest.ResponseRecorder {
				return send(front.serve, path, map[string]string{"Authorization": "Bearer key-1", "X-Operation-Key": "op", "X-Order-Key": order})
			}
			places.loseNext = true
			So(sendWith(order).Code, ShouldEqual, 503)
			places.onTake = func() {
				for number := range int64(48) { // wherever it is to be held
					_, err := places.CallOwner(context.Background(), 0, &wire.Settle{Place: number, Id: fmt.Sprint(number, "-", wire.OperationToken("", "op"))}, nil)
					So(err, ShouldBeNil)
				}
			}
			So(sendWith(order).Code, ShouldNotEqual, 202)
			So(sendWith(order).Code, ShouldNotEqual, 202)
			if order != "" {
				So(sendWith("vent 5").Code, ShouldNotEqual, 202)
			}
			So(places.held(), ShouldEqual, 0)
		})
	}
}

// TestHomesOfOlderBuilds guards against messages that nobody accepts, or that are accepted twice, while stores are of
// two builds.
func TestHomesOfOlderBuilds(t *testing.T) {
	Convey("While the places do not support claims, a message is held where builds without claims put it", t, func() {
		places := &fakePlaces{machines: map[int64]*place.Machine{}, level: place.LevelQuotas}
		front := newKeyedFront(places, routesOver(3))
		names := []string{}
		sendAll := func(check func(op int, name string)) {
			for op := range 12 {
				w := send(front.serve, "/a/x/1", map[string]string{"Authorization": "Bearer key-1", "X-Operation-Key": fmt.Sprint("op", op), "X-Order-Key": []string{"", "vent 4"}[op%2]})
				So(w.Code, ShouldEqual, 202)
				check(op, w.Header().Get("X-Message-Name"))
			}
		}
		sendAll(func(_ int, name string) { names = append(names, name) })
		So(places.held(), ShouldEqual, 12)
		Convey("and is still known when they bind keys, and after that", func() {
			for _, m := range places.machines {
				m.Apply(place.RaiseLevel(place.LevelClaims))
			}
			places.level = place.LevelClaims
			sendAll(func(op int, name string) { So(name, ShouldEqual, names[op]) })
			So(places.held(), ShouldEqual, 12)
			for _, m := range places.machines {
				m.Apply(place.RaiseLevel(place.LevelHomes))
			}
			places.level = place.LevelHomes
			sendAll(func(op int, name string) { So(name, ShouldEqual, names[op]) })
			So(places.held(), ShouldEqual, 12)
		})
	})
}
