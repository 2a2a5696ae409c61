package standin

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/tidwall/gjson"
)

// receiverConns is the maximum number of connections of the receiver.
const receiverConns = 16

// Receiver emulates a receiver of call-backs. Call-backs to which it responds with an error must be repeated.
type Receiver struct {
	site  *Site
	mode  atomic.Int32
	count atomic.Int64
}

const failEvery = 7 // one call-back in so many gets an error response

// ServeHTTP records a call-back, or fails it in mode Fail and one time in failEvery.
func (v *Receiver) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if Mode(v.mode.Load()) == Fail || v.count.Add(1)%failEvery == 0 {
		out.WriteHeader(500)
		return
	}
	t := Callback{Token: gjson.GetBytes(raw, "identifier").Str, State: gjson.GetBytes(raw, "state").Str,
		Stamp: gjson.GetBytes(raw, "stamp").Str, At: v.site.Now()}
	h := v.site.History
	h.WithLock(func() { h.Callbacks = append(h.Callbacks, t) })
	if t.State != "completed" && t.State != "dead_letter" {
		out.WriteHeader(400)
	}
	_ = responseShapeOf(t.Token).write(out)
}
