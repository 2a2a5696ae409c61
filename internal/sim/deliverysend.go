package sim

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// send puts a request to a worker or to the receiver, as web.Client does.
func (a *deliveryAdapter) send(req *http.Request, terms web.SendOptions) (*web.Reply, error) {
	c, d := simulated(req.Context()), a.d
	c.t.pause(time.Duration(200+d.Rand.IntN(2000)) * time.Microsecond)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, web.NewUnsentError(err)
	}
	if req.URL.Host == receiverAddr {
		return d.receiver.told(c, body)
	}
	w := d.workerAt(req.URL.Host)
	if w == nil || w.isAway {
		if w != nil { // a machine that is away says nothing; one whose process has ended refuses
			c.t.pause(min(d.bound(timing.DialTimeout), max(0, c.until-d.now)))
		}
		return nil, web.NewUnsentError(errs.New(errs.Lost, "no connection to %s", req.URL.Host))
	}
	if terms.BeforeSend != nil {
		if err := terms.BeforeSend(); err != nil {
			return nil, web.NewUnsentError(err)
		}
	}
	until := time.Duration(0)
	if req.URL.Path != "/" && req.Header.Get("X-Lane") == "" { // it came as it is: such requests carry their time
		until = d.now + a.configs.Current().Rules.Pools[w.pool].RunTimeout
	}
	attempt, _ := strconv.ParseInt(req.Header.Get("X-Attempt"), 10, 64)
	return a.await(c, w, &deliveryRun{by: a, life: a.life, id: req.Header.Get("X-Message-Id"), attempt: attempt, until: until}, body)
}

// await puts a request to a worker and waits for its answer, until the context ends.
func (a *deliveryAdapter) await(c *taskContext, w *deliveryWorker, r *deliveryRun, body []byte) (reply *web.Reply, err error) {
	err = errs.New(errs.DeadlineExceeded, "no answer")
	c.t.wait(func(resume func()) {
		r.told = func(status int, header http.Header, text []byte) {
			err = nil
			if status == 0 {
				err = errs.New(errs.Lost, "the connection has broken")
			} else {
				header.Set("X-Message-Id", r.id)
				header.Set("X-Attempt", strconv.FormatInt(r.attempt, 10))
				reply = &web.Reply{Response: &http.Response{StatusCode: status, Header: header}, Bytes: text, Size: int64(len(text)), Checksum: wire.Checksum(text), IsFirstOnConnection: true}
			}
			resume()
		}
		w.take(r, body)
		a.d.After(max(0, c.until-a.d.now), resume)
	})
	if r.told = nil; reply == nil {
		r.hangUp()
	}
	if reply != nil && r.run != nil && r.run.Status == http.StatusOK {
		r.run.IsWhole = true // only now has it been read
	}
	return reply, err
}

// told takes a word about an end.
func (x *deliveryReceiver) told(c *taskContext, body []byte) (*web.Reply, error) {
	if x.isDeaf {
		c.t.pause(max(0, c.until-x.d.now))
		return nil, errs.New(errs.DeadlineExceeded, "no answer")
	}
	c.t.pause(2 * time.Millisecond)
	x.heard[gjson.GetBytes(body, "id").Str]++
	return &web.Reply{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}, IsFirstOnConnection: true}, nil
}
