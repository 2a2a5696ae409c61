package transport

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// randomBytes returns incompressible bytes.
func randomBytes(random *rand.Rand, size int) []byte {
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(random.Uint32())
	}
	return out
}

// transfer sends an array from one end's history to the other's, and returns what arrives and how many
// bytes were sent.
func transfer(from, to *compressionHistory, array []byte, limit int) ([]byte, int, error) {
	out, isCompressed := from.compress(nil, array)
	from.add(array)
	if !isCompressed {
		to.add(array)
		return array, len(array), nil
	}
	got, err := to.decompress(nil, out, limit)
	if err == nil {
		to.add(got)
	}
	return got, len(out), err
}

// TestCompressedArrays guards against sending all bytes of similar records between zones: four fifths of a
// record's bytes are like those of the records before it.
func TestCompressedArrays(t *testing.T) {
	const limit = 4 << 20
	Convey("Given the two ends of a direction that has carried arrays of all sizes,", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		from, to := &compressionHistory{}, &compressionHistory{}
		for _, size := range []int{0, 4, 63, 64, 1000, historyBytesLimit - 1, historyBytesLimit, historyBytesLimit + 1, 100_000, 2 << 20} {
			for _, array := range [][]byte{randomBytes(random, size), bytes.Repeat([]byte("record"), size/6)} {
				got, sent, err := transfer(from, to, array, limit)
				So(err, ShouldBeNil)
				So(bytes.Equal(got, array), ShouldBeTrue)
				So(sent, ShouldBeLessThanOrEqualTo, len(array))
				So(bytes.Equal(from.bytes, to.bytes), ShouldBeTrue)
				So(len(from.bytes), ShouldBeLessThanOrEqualTo, historyBytesLimit)
			}
		}
		Convey("a record similar to earlier ones is sent in less than a third of its bytes", func() {
			record := strings.Repeat("lane=readings pool=workers adapter=front-7 boot=", 4)
			_, _, err := transfer(from, to, []byte(record+"one"), limit)
			So(err, ShouldBeNil)
			_, sent, err := transfer(from, to, []byte(record+"two"), limit)
			So(err, ShouldBeNil)
			So(sent, ShouldBeLessThan, len(record)/3)
		})
		Convey("an array longer than the frame limit is rejected", func() {
			_, _, err := transfer(from, to, make([]byte, limit+1), limit)
			So(errs.Is(err, errs.TooLarge), ShouldBeTrue)
		})
		Convey("bytes that are no compressed array are rejected", func() {
			_, err := to.decompress(nil, randomBytes(random, 100), limit)
			So(errs.Is(err, errs.Corrupt), ShouldBeTrue)
		})
	})
	Convey("Only sessions between zones are compressed, and only if both ends support it", t, func() {
		a, b := wire.Who{Zone: "a"}, wire.Who{Zone: "b"}
		So(shouldCompress(a, b, wire.Version), ShouldBeTrue)
		So(shouldCompress(a, a, wire.Version), ShouldBeFalse)
		So(shouldCompress(a, b, compressionSinceVersion-1), ShouldBeFalse)
	})
}

// TestCompressedSessions checks the same over connections, with batches encoded on many goroutines.
func TestCompressedSessions(t *testing.T) {
	const requests = 500
	longBounds := timing.Bounds{ConfigApply: 5 * time.Minute} // a busy machine must not close sessions here
	for _, newest := range []int64{compressionSinceVersion - 1, wire.Version} {
		Convey("Nodes in two zones exchange messages, whatever the version of one of them", t, func() {
			server, err := NewNode(Options{Self: wire.Who{Name: "server", Zone: "a"}, Listen: "127.0.0.1:0", Batch: 3, Bounds: longBounds,
				Handlers: map[string]Handler{"place": func(_ wire.Who, body any, answer func(any)) {
					take := body.(*wire.Take)
					answer(&wire.Taken{Id: take.Id, Text: string(take.Body)})
				}}})
			So(err, ShouldBeNil)
			go server.Serve()
			client, err := NewNode(Options{Self: wire.Who{Name: "client", Zone: "b"}, Batch: 3, Bounds: longBounds, Newest: newest, Oldest: wire.OldestVersion})
			So(err, ShouldBeNil)
			Reset(server.Close)
			Reset(client.Close)
			peer := client.Peer(wire.PlaceLink, server.Addr())
			waitConnected(peer)
			So(peer.session.history != nil, ShouldEqual, newest >= compressionSinceVersion)
			wrong := make(chan string, requests)
			for i := range requests {
				go func() {
					body := strings.Repeat("body of a message ", i)
					reply, err := peer.Call(context.Background(), &wire.Take{Id: "x", Body: []byte(body)})
					switch {
					case err != nil:
						wrong <- err.Error()
					case reply.(*wire.Taken).Text != body:
						wrong <- "wrong"
					default:
						wrong <- ""
					}
				}()
			}
			for range requests {
				So(<-wrong, ShouldEqual, "")
			}
		})
	}
	Convey("A compressed array in a session without compression is an error", t, func() {
		s := &session{}
		_, err := s.decompress(frameHeader{isCompressed: true}, []byte("x"))
		So(errs.Is(err, errs.Corrupt), ShouldBeTrue)
	})
}
