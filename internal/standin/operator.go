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
	configTimeout            = 20 * time.Second // for a change; with random faults, of undisrupted core time
	firstConfigTimeout       = 2 * time.Minute  // for the first configuration, sent until it is acknowledged
	randomFaultConfigTimeout = 2 * time.Minute  // for a change with random faults, in total
	disruptionCheckInterval  = 250 * time.Millisecond
	maxOtherRejections       = 3 // so many other 4xx responses end a call
)

// operator sends configurations and commands to the core machines, with retries.
type operator struct {
	site        *Site
	client      *http.Client
	mu          sync.Mutex
	current     siteConfig   // configuration acknowledged last
	sentConfigs []siteConfig // all that were sent, to find one by its version
}

// newOperator returns an operator whose current configuration is the plan's first one.
func newOperator(s *Site, plan SitePlan) *operator {
	return &operator{site: s, client: &http.Client{Timeout: callTimeout}, current: plan.config(s)}
}

// call repeats an identical request, to one core machine after another, until there is a conclusive response. The
// status is 0 without one.
func (o *operator) call(ctx context.Context, method, path, base string, body []byte) (int, []byte) {
	cores := []*Machine{}
	for _, m := range o.site.Machines {
		if m.Class == classCore {
			cores = append(cores, m)
		}
	}
	attempt, rejections, wait := rand.IntN(len(cores)), 0, 50*time.Millisecond
	for ; ctx.Err() == nil; attempt++ {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+o.site.at(cores[attempt%len(cores)].host, portControl)+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil
		}
		req.Header.Set("Content-Type", "application/json")
		if base != "" {
			req.Header.Set(basedOn, base)
		}
		code, raw := 0, []byte(nil)
		if response, err := o.client.Do(req); err == nil {
			raw, err = io.ReadAll(response.Body)
			response.Body.Close()
			if err == nil {
				code = response.StatusCode
			}
		}
		switch {
		case code/100 == 2, code == 400, code == 409, code == 412, code == 413, code == 422:
			return code, raw
		case code/100 == 4 && code != 408 && code != 429:
			if rejections++; rejections == maxOtherRejections {
				return code, raw
			}
		}
		sleep(ctx, wait)
		wait = min(2*wait, maxRetryPause)
	}
	return 0, nil
}

// send sends a configuration, complete or as an update, and records it.
func (o *operator) send(ctx context.Context, isUpdate bool, base int64, c siteConfig, body []byte, isInvalid bool) int {
	h := o.site.History
	i, command, path := 0, 0, "/v1/configuration/replace"
	if isUpdate {
		path = "/v1/configuration/update"
	}
	at := o.site.Now()
	h.WithLock(func() {
		i, command = len(h.Edits), len(h.Commands)
		h.Edits = append(h.Edits, Edit{Edit: check.Edit{SentAt: at, Revision: c.Version, Pools: c.pools()}, Base: base,
			RequestDigest: requestDigest(path, fmt.Sprint(base), body), Document: c.doc(), IsInvalid: isInvalid, Tenants: c.Tenants, Public: c.public()})
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
		case code != 0: // the loser of a race has its response too
			h.Commands[command].AckAt = o.site.Now()
		default:
			h.Commands[command].GivenUpAt = o.site.Now()
		}
	})
	return code
}

// withTimeout bounds how long a change is sent. The first configuration waits for the deployment to start. Random
// faults may disrupt all stores for longer than scheduled faults do; with them a change times out only after
// configTimeout in which no store and no manager is disrupted.
func (o *operator) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	switch {
	case len(o.sentConfigs) <= 1:
		return context.WithTimeout(ctx, firstConfigTimeout)
	case !o.site.hasRandomFaults:
		return context.WithTimeout(ctx, configTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, randomFaultConfigTimeout)
	startedAt := o.site.Now()
	go func() {
		for ctx.Err() == nil {
			sleep(ctx, disruptionCheckInterval)
			h, now, longest := o.site.History, o.site.Now(), time.Duration(0)
			h.WithLock(func() { longest = h.longestUndisrupted(startedAt, now, o.site.isCoreDisruption) })
			if longest >= configTimeout {
				cancel()
			}
		}
	}()
	return ctx, cancel
}

// isCoreDisruption reports whether a disruption affects a store or a manager.
func (s *Site) isCoreDisruption(t Disruption) bool {
	for _, m := range s.Machines {
		if m.ShortName == t.Daemon {
			return m.Class != classFront
		}
	}
	return true
}

// sendFirst sends the first configuration until it is acknowledged.
func (o *operator) sendFirst(ctx context.Context) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current.Version = 1 + rand.Int64N(5)
	o.sentConfigs = append(o.sentConfigs, o.current)
	code := o.send(ctx, false, 0, o.current, o.current.doc(), false)
	o.site.History.WithLock(func() { o.site.History.Commands = nil }) // the deployment was still starting
	return code
}

// change sends a configuration built on the current one. After an inconclusive response it reads the configuration in
// force.
func (o *operator) change(ctx context.Context, isUpdate bool, edit func(*siteConfig)) (siteConfig, int) {
	_, next, code := o.changeFrom(ctx, isUpdate, edit)
	return next, code
}

// changeFrom is change that also returns the configuration it was built on.
func (o *operator) changeFrom(ctx context.Context, isUpdate bool, edit func(*siteConfig)) (was, next siteConfig, code int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	was = o.current
	next = was.next()
	edit(&next)
	body := next.doc()
	if isUpdate {
		body = next.updateFrom(was)
	}
	o.sentConfigs = append(o.sentConfigs, next)
	code = o.send(ctx, isUpdate, was.Version, next, body, false)
	if code == 200 {
		o.current = next
		o.site.keys.update(next.Tenants)
	} else {
		o.site.recordFailure("version %d, based on version %d, got status %d", next.Version, was.Version, code)
		o.sync(ctx)
	}
	return was, next, code
}

// sync reads the configuration in force and makes it the current one.
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

// readBack reads the configuration at the end.
func (o *operator) readBack(ctx context.Context) {
	code, raw := o.readConfiguration(ctx)
	o.site.History.WithLock(func() { o.site.History.Read = ReadBack{code, raw} })
}

// evacuate starts or finishes the evacuation of a zone, and reports whether that was acknowledged.
func (o *operator) evacuate(ctx context.Context, zone, action string) bool {
	h := o.site.History
	command := Command{Text: action + " of " + zone, At: o.site.Now()}
	ctx, cancel := context.WithTimeout(ctx, acknowledgeBound)
	defer cancel()
	if code := o.changeEvacuation(ctx, zone, action); code/100 == 2 {
		command.AckAt = o.site.Now()
	}
	h.WithLock(func() { h.Commands = append(h.Commands, command) })
	return command.AckAt > 0
}

// hostOf returns the host name of a route in any configuration that was sent.
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
