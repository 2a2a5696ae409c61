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

// send sends a request to a worker or to the notification receiver, as web.Client does.
func (a *deliveryAdapter) send(req *http.Request, options web.SendOptions) (*web.Reply, error) {
	c, d := simulatedContext(req.Context()), a.d
	c.t.sleep(time.Duration(200+d.Rand.IntN(2000)) * time.Microsecond)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, web.NewUnsentError(err)
	}
	if req.URL.Host == receiverAddr {
		return d.receiver.receive(c, body)
	}
	w := d.workerAt(req.URL.Host)
	if w == nil || w.isUnreachable {
		if w != nil { // an unreachable machine lets the dial time out; one whose process has ended refuses
			c.t.sleep(min(d.bound(timing.DialTimeout), max(0, c.deadline-d.now)))
		}
		return nil, web.NewUnsentError(errs.New(errs.Lost, "connection to %s failed", req.URL.Host))
	}
	if options.BeforeSend != nil {
		if err := options.BeforeSend(); err != nil {
			return nil, web.NewUnsentError(err)
		}
	}
	until := time.Duration(0)
	if req.URL.Path != "/" && req.Header.Get("X-Lane") == "" { // only forwarded HTTP requests carry their deadline
		until = d.now + a.configs.Current().Rules.Pools[w.pool].RunTimeout
	}
	attempt, _ := strconv.ParseInt(req.Header.Get("X-Attempt"), 10, 64)
	return a.await(c, w, &deliveryRun{adapter: a, adapterGeneration: a.generation, id: req.Header.Get("X-Message-Id"), attempt: attempt, deadline: until}, body)
}

// await sends a request to a worker and waits for its reply or the end of the context.
func (a *deliveryAdapter) await(c *taskContext, w *deliveryWorker, r *deliveryRun, body []byte) (reply *web.Reply, err error) {
	err = errs.New(errs.DeadlineExceeded, "no answer before the deadline")
	c.t.suspend(func(resume func()) {
		r.onReply = func(status int, header http.Header, text []byte) {
			err = nil
			if status == 0 {
				err = errs.New(errs.Lost, "connection broken before the reply")
			} else {
				header.Set("X-Message-Id", r.id)
				header.Set("X-Attempt", strconv.FormatInt(r.attempt, 10))
				reply = &web.Reply{Response: &http.Response{StatusCode: status, Header: header}, Bytes: text, Size: int64(len(text)), Checksum: wire.Checksum(text), IsFirstOnConnection: true}
			}
			resume()
		}
		w.accept(r, body)
		a.d.After(max(0, c.deadline-a.d.now), resume)
	})
	if r.onReply = nil; reply == nil {
		r.disconnect()
	}
	if reply != nil && r.run != nil && r.run.Status == http.StatusOK {
		r.run.IsAnswerComplete = true // the reply has been read
	}
	return reply, err
}

// receive receives a notification of an ended message.
func (x *deliveryReceiver) receive(c *taskContext, body []byte) (*web.Reply, error) {
	if x.isUnresponsive {
		c.t.sleep(max(0, c.deadline-x.d.now))
		return nil, errs.New(errs.DeadlineExceeded, "no answer before the deadline")
	}
	c.t.sleep(2 * time.Millisecond)
	x.notified[gjson.GetBytes(body, "id").Str]++
	return &web.Reply{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}, IsFirstOnConnection: true}, nil
}
