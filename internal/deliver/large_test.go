package deliver_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/deliver"
	"caperwheel/internal/errs"
	"caperwheel/internal/requesthead"
	"caperwheel/internal/wire"
)

// bodyOf returns a handler that answers with a status, a seal and a body of the given size, with its length or in
// chunks.
func bodyOf(code, size int, isChunked, isNotRun bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Server-Seal", "s.1")
		if isNotRun {
			w.Header().Set("X-Not-Run", "1")
		}
		if !isChunked {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		w.WriteHeader(code)
		_, _ = io.CopyN(w, endless{}, int64(size))
	}
}

// endless is a reader that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return copy(p, strings.Repeat("q", len(p))), nil }

// sizes are the tested sizes of a reply's body: empty, the kept maximum, one more, and many more.
var sizes = []int{0, deliver.MaxAnswerBytes, deliver.MaxAnswerBytes + 1, 12 * deliver.MaxAnswerBytes}

// TestLargeAnswers guards against a complete reply that is classified as a run of unknown fate, or as a refusal,
// because its body is large: its message ran again after a success, and its failures did not count as attempts.
func TestLargeAnswers(t *testing.T) {
	answers := []struct {
		name     string
		code     int
		isNotRun bool
	}{{"a success", 200, false}, {"a failure", 500, false}, {"a refusal for good", 422, false}, {"a full worker", 503, true}}
	for _, mode := range deliveryModes {
		Convey("To "+mode.name+", the reply of", t, func() {
			for _, a := range answers {
				for _, isChunked := range []bool{false, true} {
					Convey(fmt.Sprintf("%s means the same whatever its size; in chunks: %t", a.name, isChunked), func() {
						small := deliverOnce(mode.codec, mode.isLane, bodyOf(a.code, 4, isChunked, a.isNotRun))
						for _, size := range sizes {
							got := deliverOnce(mode.codec, mode.isLane, bodyOf(a.code, size, isChunked, a.isNotRun))
							So([]any{size, got.Kind, got.MayHaveStarted, got.Final, got.Proof.Status}, ShouldResemble,
								[]any{size, small.Kind, small.MayHaveStarted, small.Final, small.Proof.Status})
							So(len(got.Proof.Answer), ShouldBeLessThanOrEqualTo, deliver.MaxAnswerBytes)
						}
					})
				}
			}
		})
	}
}

// TestLargeProof guards against a part of a reply that is kept as if it were the whole.
func TestLargeProof(t *testing.T) {
	Convey("The proof of a success has the complete reply, or no reply and the checksum of the complete one", t, func() {
		for _, size := range sizes {
			whole := strings.Repeat("q", size)
			for _, mode := range deliveryModes[:2] {
				proof := deliverOnce(mode.codec, mode.isLane, bodyOf(200, size, false, false)).Proof
				So(proof.Checksum, ShouldEqual, wire.Checksum([]byte(whole)))
				if size <= deliver.MaxAnswerBytes {
					So(string(proof.Answer) == whole, ShouldBeTrue)
				} else {
					So(proof.Answer, ShouldBeEmpty)
				}
			}
			platformProof := deliverOnce(deliveryModes[2].codec, deliveryModes[2].isLane, bodyOf(200, size, false, false)).Proof
			So(string(platformProof.Answer), ShouldEqual, "s.1")
		}
	})
}

// TestLargeWord guards against a notification that is sent again and again because its receiver accepts it with a large
// body.
func TestLargeWord(t *testing.T) {
	Convey("A notification counts as accepted whatever the size of the reply", t, func() {
		for _, m := range codecs {
			for _, size := range sizes {
				receiver := httptest.NewServer(bodyOf(200, size, size%2 == 1, false))
				told := deliver.SendNotification(m.codec, &wire.Tell{Id: "0-1", Url: receiver.URL + "/done", State: "ended", Head: newHead("0-1").Encode()}, 0)
				So(errs.Kind(told.Kind), ShouldBeEmpty)
				receiver.Close()
			}
		}
	})
}

// newHead returns the head of a passthrough request with an id.
func newHead(id string) requesthead.Head {
	return requesthead.Head{Method: "POST", Target: "/a", Host: "x.example", Fields: [][2]string{{"X-Attempt-Id", id}}}
}

// deliverOnce delivers one run to a worker.
func deliverOnce(codec deliver.Codec, isLane bool, worker http.HandlerFunc) *wire.Outcome {
	server := httptest.NewServer(worker)
	defer server.Close()
	return deliver.Deliverer(codec, server.Listener.Addr().String())("0-1", newHead("0-1"), isLane)
}
