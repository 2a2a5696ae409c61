package deliver

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/alitto/pond/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// TestTellBurst: all places of a store look for ends at the same moments, and a burst of more
// than twelve words to a receiver was refused in part. Each refusal doubled a word's rest, and
// thousands were told more than 5 s late though the receiver was idle nine tenths of the time.
func TestTellBurst(t *testing.T) {
	const burst = 5 * mostTellers
	Convey("Given a receiver to which five times as many words come at once as may be under way", t, func() {
		a, arrived, gate := scenery("127.0.0.1:1"), make(chan string, burst), make(chan bool)
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived <- ""; <-gate }))
		open := sync.OnceFunc(func() { close(gate) })
		Reset(func() {
			open() // else the server would wait for its requests
			server.Close()
		})
		a.manner, a.pool = Own, pond.NewPool(burst)
		told := make(chan *wire.Told, burst)
		for i := range burst {
			a.tell(&wire.Tell{Id: fmt.Sprintf("0-%d", i), Url: server.URL, State: "ended", Answer: []byte{}},
				func(reply any) { told <- reply.(*wire.Told) })
		}
		for range mostTellers {
			<-arrived
		}
		Convey("no more are under way than may be, and all are accepted in turn", func() {
			So(len(told)+len(arrived), ShouldEqual, 0)
			open()
			for range burst {
				So((<-told).Kind, ShouldEqual, "")
			}
			So(len(arrived), ShouldEqual, burst-mostTellers)
		})
		Convey("those whose turn comes too late for whoever asked are not told", func() {
			a.d.Clock = func() time.Duration { return time.Hour }
			open()
			kinds := map[string]int{}
			for range burst {
				kinds[(<-told).Kind]++
			}
			So(kinds, ShouldResemble, map[string]int{"": mostTellers, string(errs.Full): burst - mostTellers})
		})
	})
}
