package session

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// Client keeps a daemon's session: it polls one manager (or an adapter its agent) at intervals, which
// renews the session, and applies the replies to the view and the membership. If the manager does not
// answer, the client fails over to the next.
type Client struct {
	Node       *transport.Node
	Bounds     timing.Bounds
	Seeds      func() []string // addresses from the current settings; never empty
	View       *feed.View
	Membership *Membership
	Now        func() time.Duration
	Self       func() wire.Poll // the daemon's own state; Revisions and MembershipHash are filled in
	OnNews     func()           // called after each reply

	mu            sync.Mutex
	targetIndex   int
	lastAnswer    time.Duration
	isPolling     bool
	lastRejection string
	pollCount     int // polls sent to the current target
}

// Run polls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.targetIndex = rand.IntN(len(c.Seeds()))
	timing.EveryPaced(ctx, func() time.Duration { return PollInterval(c.View, c.Now(), c.Bounds) }, c.poll)
}

// PollInterval returns how long a follower of the parts waits before its next poll. It is shorter while the
// view is old or unconfirmed, because a daemon that has just started must not lose a full interval on each
// hop of the feed.
func PollInterval(view *feed.View, now time.Duration, bounds timing.Bounds) time.Duration {
	if age, isSure := view.Age(now); !isSure || age > bounds.Of(timing.ViewAgeLimit)/2 {
		return bounds.Of(timing.StalePoll)
	}
	return bounds.Of(timing.Poll)
}

// poll sends one poll, unless one is outstanding, and fails over if the current target has been silent for
// too long.
func (c *Client) poll() {
	now, kind := c.Now(), c.Node.Self().Kind
	c.mu.Lock()
	if now-c.lastAnswer > c.Bounds.Of(timing.AnswerTimeout) { // silent: fail over to the next target
		targets := c.targets(kind)
		c.targetIndex = (c.targetIndex + 1) % len(targets)
		c.lastAnswer, c.isPolling, c.pollCount = now, false, 0 // its first poll has complete facts
	}
	if c.isPolling {
		c.mu.Unlock()
		return
	}
	targets := c.targets(kind)
	addr := targets[c.targetIndex%len(targets)]
	c.isPolling = true
	c.mu.Unlock()
	request := c.Self()
	if c.pollCount++; c.pollCount%fullFactInterval != 1 {
		request.Fact = withoutBulk(request.Fact)
		for i := range request.Colocated {
			request.Colocated[i].Fact = withoutBulk(request.Colocated[i].Fact)
		}
	}
	request.Revisions, request.MembershipHash = c.View.Revisions(), c.Membership.Hash()
	err := c.Node.Peer(wire.SessionLink, addr).Post(&request, func(reply any, err error) {
		news, isNews := reply.(*wire.News)
		c.mu.Lock()
		c.isPolling = false
		if err != nil || !isNews {
			c.mu.Unlock()
			return
		}
		isRefused := news.Reject != "" && news.Reject != c.lastRejection
		c.lastAnswer, c.lastRejection = c.Now(), news.Reject
		c.mu.Unlock()
		if isRefused {
			klog.Warningf("session: %s rejected this daemon's session: %s.", addr, news.Reject)
			return
		}
		if news.MembershipHash != request.MembershipHash {
			c.Membership.Update(news.MembershipHash, news.Members)
		}
		c.View.Update(news.Parts, now)
		if c.OnNews != nil {
			c.OnNews()
		}
	})
	if err != nil {
		c.mu.Lock()
		c.isPolling = false
		c.mu.Unlock()
	}
}

// targets returns the seeds and the other managers that are known; an adapter polls only its agent.
func (c *Client) targets(kind string) []string {
	out := slices.Clone(c.Seeds())
	if kind == "adapter" {
		return out
	}
	for _, who := range c.Membership.OfKind("manager") {
		if !slices.Contains(out, who.Addr) {
			out = append(out, who.Addr)
		}
	}
	return out
}
