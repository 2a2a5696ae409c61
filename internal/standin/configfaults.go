package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// changeConfig changes the configuration in one of several ways.
func changeConfig(ctx context.Context, s *Site, kind string) func() {
	o := s.operator
	switch kind {
	case "timeout", "update":
		o.change(ctx, kind == "update", func(c *siteConfig) { c.Routes[0].Timeout += 1 + rand.Int64N(9) })
	case "add":
		c, code := o.change(ctx, rand.IntN(2) == 0, func(c *siteConfig) { c.Routes = append(c.Routes, c.trial()) })
		if code == 200 {
			s.SubmitToEachFront(ctx, c.Routes[len(c.Routes)-1])
		}
	case "remove":
		removed := route{}
		_, code := o.change(ctx, rand.IntN(2) == 0, func(c *siteConfig) {
			if i := slices.IndexFunc(c.Routes, func(r route) bool { return strings.HasPrefix(r.Name, "trial") }); i >= 0 {
				removed = c.Routes[i]
				c.Routes = slices.Delete(c.Routes, i, i+1)
			}
		})
		if code == 200 && removed.Name != "" {
			s.SubmitToEachFront(ctx, removed)
		}
	case "invalid":
		o.sendInvalid(ctx)
	case "race":
		o.sendRace(ctx)
	case "repeat":
		o.sendRepeat(ctx)
	default:
		s.recordFailure("cannot change the configuration: unknown kind of change %s", kind)
	}
	return func() {}
}

// trial returns a new route whose name and prefix have not been used before.
func (c siteConfig) trial() route {
	r := c.Routes[0]
	salt := rand.Uint32()
	r.Name, r.Prefix = fmt.Sprintf("trial-%x", salt), fmt.Sprintf("/trial%x/", salt)
	return r
}

// newestTrial returns the trial route added last among those in force. It finds none while the operator's mutex is
// held, that is while a change is under way.
func (o *operator) newestTrial() (newest route, isFound bool) {
	if !o.mu.TryLock() {
		return route{}, false
	}
	defer o.mu.Unlock()
	for _, r := range o.current.Routes {
		if strings.HasPrefix(r.Name, "trial") {
			newest, isFound = r, true
		}
	}
	return newest, isFound
}

// SubmitToEachFront submits messages to each ready front on a route that was just added or removed: at once, and
// until after the time by which every front must have applied the change.
func (s *Site) SubmitToEachFront(ctx context.Context, r route) {
	load := Load{Route: r.Name, Host: r.Host, Prefix: r.Prefix, Size: 100}
	rng := newRand()
	send := func() {
		for _, m := range s.entry.readyFronts() {
			c := newClient(s, m.Zone, "direct", time.Second)
			timeoutCtx, cancel := context.WithTimeout(ctx, time.Second)
			c.submit(timeoutCtx, s.entry.transportTo(m), load.message(rng), time.Second, rng)
			cancel()
		}
	}
	for range 3 {
		send()
		sleep(ctx, configApplyBound/2+configApplyBound/10)
	}
}

// sendInvalid sends each kind of invalid configuration, none of which may be acknowledged.
func (o *operator) sendInvalid(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, invalidate := range invalidations {
		c, body := invalidate(o.current.next(), o.current.Version)
		if code := o.send(ctx, false, o.current.Version, c, body, true); code == 0 {
			o.site.recordFailure("invalid configuration %d got no conclusive response", i)
		}
	}
}

// sendRace sends two configurations with the same base version concurrently; one of them must be acknowledged.
func (o *operator) sendRace(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var wg sync.WaitGroup
	codes, rivals := [2]int{}, [2]siteConfig{}
	for i := range rivals {
		rivals[i] = o.current.next()
		rivals[i].Version += int64(10 * i)
		rivals[i].Routes = append(rivals[i].Routes, rivals[i].trial())
		o.sentConfigs = append(o.sentConfigs, rivals[i])
		wg.Add(1)
		go func() {
			defer wg.Done()
			codes[i] = o.send(ctx, false, o.current.Version, rivals[i], rivals[i].doc(), false)
		}()
	}
	wg.Wait()
	for i, code := range codes {
		if code == 200 {
			o.current = rivals[i]
			return
		}
	}
	o.site.recordFailure("neither of two concurrent configurations was acknowledged: status %v", codes)
	o.sync(ctx)
}

// sendRepeat sends a change and, once it has been acknowledged, the identical request again, which must be
// acknowledged too.
func (o *operator) sendRepeat(ctx context.Context) {
	was, c, code := o.changeFrom(ctx, false, func(c *siteConfig) { c.Routes[0].Timeout++ })
	if code != 200 {
		return
	}
	command := Command{Text: fmt.Sprintf("version %d again", c.Version), At: o.site.Now()}
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	if code := o.sendConfiguration(ctx, "/v1/configuration/replace", was.Version, c.Version, c.doc(), false); code == 200 {
		command.AckAt = o.site.Now()
	}
	o.site.History.WithLock(func() { o.site.History.Commands = append(o.site.History.Commands, command) })
}
