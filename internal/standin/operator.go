package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"caperwheel/internal/check"
)

const (
	callTimeout              = time.Second
	maxRetryPause            = time.Second
	configTimeout            = 20 * time.Second // for a change, and beside drawn faults for one stretch in which the core is whole
	firstConfigTimeout       = 2 * time.Minute  // for the first one, which is sent until it is taken
	randomFaultConfigTimeout = 2 * time.Minute  // for a change beside drawn faults in all
	lookInterval             = 250 * time.Millisecond
	maxOtherRejections       = 3 // so many other 4xx end a call
)

// operator gives the orders.
type operator struct {
	site        *Site
	client      *http.Client
	mu          sync.Mutex
	current     siteConfig   // as last acknowledged
	sentConfigs []siteConfig // all that were sent whole or as an update, to know them by their version
}

func newOperator(s *Site, plan SitePlan) *operator {
	return &operator{site: s, client: &http.Client{Timeout: callTimeout}, current: plan.config(s)}
}

// call repeats an order unchanged until there is a clear answer.
func (o *operator) call(ctx context.Context, method, path, base string, body []byte) (int, []byte) {
	cores := []*Machine{}
	for _, m := range o.site.Machines {
		if m.Class == classCore {
			cores = append(cores, m)
		}
	}
	turn, rejects, wait := rand.IntN(len(cores)), 0, 50*time.Millisecond
	for ; ctx.Err() == nil; turn++ {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+o.site.at(cores[turn%len(cores)].host, portControl)+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil
		}
		req.Header.Set("Content-Type", "application/json")
		if base != "" {
			req.Header.Set(basedOn, base)
		}
		code, raw := 0, []byte(nil)
		if answer, err := o.client.Do(req); err == nil {
			raw, err = io.ReadAll(answer.Body)
			answer.Body.Close()
			if err == nil {
				code = answer.StatusCode
			}
		}
		switch {
		case code/100 == 2, code == 400, code == 409, code == 412, code == 413, code == 422:
			return code, raw
		case code/100 == 4 && code != 408 && code != 429:
			if rejects++; rejects == maxOtherRejections {
				return code, raw
			}
		}
		sleep(ctx, wait)
		wait = min(2*wait, maxRetryPause)
	}
	return 0, nil
}

// send sends a configuration, whole or as an update, and records it.
func (o *operator) send(ctx context.Context, isUpdate bool, base int64, c siteConfig, body []byte, isInvalid bool) int {
	h := o.site.History
	i, order, path := 0, 0, "/v1/configuration/replace"
	if isUpdate {
		path = "/v1/configuration/update"
	}
	at := o.site.Now()
	h.WithLock(func() {
		i, order = len(h.Edits), len(h.Commands)
		h.Edits = append(h.Edits, Edit{Edit: check.Edit{SentAt: at, Revision: c.Version, Pools: c.pools()}, Base: base,
			RequestDigest: requestDigest(path, fmt.Sprint(base), body), Document: c.document(), IsInvalid: isInvalid, Tenants: c.Tenants, Public: c.public()})
		for name, r := range c.judgedRoutes() {
			h.Routes[name] = r
		}
		if !isInvalid {
			h.Commands = append(h.Commands, Command{Text: fmt.Sprintf("version %d", c.Version), At: at})
		}
	})
	ctx, cancel := o.withTimeout(ctx)
	defer cancel()
	code := o.sendConfiguration(ctx, path, base, c.Version, body, isInvalid)
	h.WithLock(func() {
		h.Edits[i].Code = code
		if code/100 == 2 {
			h.Edits[i].AcknowledgedAt = o.site.Now()
		}
		switch {
		case isInvalid:
		case code != 0: // a race's loser has its answer too
			h.Commands[order].AckAt = o.site.Now()
		default:
			h.Commands[order].GivenUpAt = o.site.Now()
		}
	})
	return code
}

// withTimeout bounds for how long a change is sent. The first one waits for a deployment to come up. Drawn faults
// may keep all stores away for longer than those of a schedule: beside them only a stretch counts in which no
// store and no manager is hurt.
func (o *operator) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	switch {
	case len(o.sentConfigs) <= 1:
		return context.WithTimeout(ctx, firstConfigTimeout)
	case !o.site.hasRandomFaults:
		return context.WithTimeout(ctx, configTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, randomFaultConfigTimeout)
	began := o.site.Now()
	go func() {
		for ctx.Err() == nil {
			sleep(ctx, lookInterval)
			h, now, stretch := o.site.History, o.site.Now(), time.Duration(0)
			h.WithLock(func() { stretch = h.longestUndisrupted(began, now, o.site.isCoreDisruption) })
			if stretch >= configTimeout {
				cancel()
			}
		}
	}()
	return ctx, cancel
}

// isCoreDisruption reports whether a trouble was one of a store or a manager.
func (s *Site) isCoreDisruption(t Disruption) bool {
	for _, m := range s.Machines {
		if m.ShortName == t.Daemon {
			return m.Class != classFront
		}
	}
	return true
}

// first gives the first configuration until it is taken.
func (o *operator) sendFirst(ctx context.Context) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current.Version = 1 + rand.Int64N(5)
	o.sentConfigs = append(o.sentConfigs, o.current)
	code := o.send(ctx, false, 0, o.current, o.current.document(), false)
	o.site.History.WithLock(func() { o.site.History.Commands = nil }) // nothing was settled yet
	return code
}

// change builds on the newest configuration; after an answer that is not clear
// it reads what is in force.
func (o *operator) change(ctx context.Context, isUpdate bool, edit func(*siteConfig)) (siteConfig, int) {
	_, next, code := o.changeFrom(ctx, isUpdate, edit)
	return next, code
}

// changeFrom is change that tells what it built on as well.
func (o *operator) changeFrom(ctx context.Context, isUpdate bool, edit func(*siteConfig)) (was, next siteConfig, code int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	was = o.current
	next = was.next()
	edit(&next)
	body := next.document()
	if isUpdate {
		body = next.updateFrom(was)
	}
	o.sentConfigs = append(o.sentConfigs, next)
	code = o.send(ctx, isUpdate, was.Version, next, body, false)
	if code == 200 {
		o.current = next
		o.site.keys.update(next.Tenants)
	} else {
		o.site.recordFailure("version %d on %d was answered %d", next.Version, was.Version, code)
		o.sync(ctx)
	}
	return was, next, code
}

func (o *operator) sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	_, raw := o.readConfiguration(ctx)
	for _, c := range o.sentConfigs {
		if c.Version == gjson.GetBytes(raw, "version").Int() {
			o.current = c
		}
	}
	o.site.keys.update(o.current.Tenants)
}

// judgeReadBack reads the configuration at the end.
func (o *operator) readBack(ctx context.Context) {
	code, raw := o.readConfiguration(ctx)
	o.site.History.WithLock(func() { o.site.History.Read = ReadBack{code, raw} })
}

// evacuate starts or finishes an evacuation; true if it was acknowledged.
func (o *operator) evacuate(ctx context.Context, zone, verb string) bool {
	h := o.site.History
	order := Command{Text: verb + " of " + zone, At: o.site.Now()}
	ctx, cancel := context.WithTimeout(ctx, acknowledgeBound)
	defer cancel()
	if code := o.changeEvacuation(ctx, zone, verb); code/100 == 2 {
		order.AckAt = o.site.Now()
	}
	h.WithLock(func() { h.Commands = append(h.Commands, order) })
	return order.AckAt > 0
}

func (o *operator) hostOf(route string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.sentConfigs {
		for _, r := range c.Routes {
			if r.Name == route {
				return r.Host
			}
		}
	}
	return "nobody.example"
}
