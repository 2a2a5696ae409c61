package sim

import (
	"context"
	"slices"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/transport"
)

// network carries calls between daemons and from operators. A call may be lost, refused before it was sent,
// or reset with unknown effect.
type network struct {
	d             *Deployment
	pending       []*networkCall
	refusingAddrs map[string]bool // addresses of machines that refuse connections
	resetCount    int
}

// networkCall is a call under way.
type networkCall struct {
	from, to string
	sentAt   time.Duration
	done     func(reply any, err error)
}

// callExpiry is the age at which a call without a reply is dropped; its caller has timed out long before.
const callExpiry = 10 * time.Second

// machineAddr returns the process's address on the network: its machine's, or its own if it runs on no
// machine.
func (p *process) machineAddr() string {
	if p.machine != nil {
		return p.machine.addr
	}
	return p.addr
}

// call sends a request to a daemon; work carries it out there. done is called at most once, and not after
// the call has expired.
func (n *network) call(from string, to *process, work func(answer func(any)), done func(reply any, err error)) {
	now := n.d.now
	n.pending = slices.DeleteFunc(n.pending, func(c *networkCall) bool { return now-c.sentAt > callExpiry })
	c := &networkCall{from: from, to: to.machineAddr(), sentAt: now, done: done}
	n.pending = append(n.pending, c)
	refuse := func() { n.finish(c, nil, &transport.UnsentError{}) }
	if n.refusingAddrs[c.to] || n.refusingAddrs[from] {
		n.d.After(time.Millisecond, refuse)
		return
	}
	n.d.Send(from, c.to, func() {
		if !to.isUp {
			if to.machine == nil || !to.machine.isRemoved {
				n.d.Send(c.to, from, refuse)
			}
			return
		}
		n.d.runWhenThawed(&to.lifecycle, func() {
			work(func(reply any) { n.d.Send(c.to, from, func() { n.deliverReply(c, reply) }) })
		})
	})
}

// deliverReply delivers a reply to its call. Under the mutant RepliesByPosition it goes to the oldest
// pending call on the same connection.
func (n *network) deliverReply(c *networkCall, reply any) {
	if n.d.mutant == RepliesByPosition {
		for _, other := range n.pending {
			if other.from == c.from && other.to == c.to {
				c = other
				break
			}
		}
	}
	n.finish(c, reply, nil)
}

// finish passes the result to the caller, unless the call has ended already.
func (n *network) finish(c *networkCall, reply any, err error) {
	if at := slices.Index(n.pending, c); at >= 0 {
		n.pending = slices.Delete(n.pending, at, at+1)
		c.done(reply, err)
	}
}

// resetConnections breaks all connections of a machine. Calls under way fail with errs.Lost; they may or may
// not have taken effect.
func (n *network) resetConnections(addr string) {
	n.resetCount++
	n.d.Tracef("all connections of %s are reset", addr)
	for _, c := range slices.Clone(n.pending) {
		if c.from == addr || c.to == addr {
			n.finish(c, nil, errs.New(errs.Lost, "connection reset"))
		}
	}
}

// callAndWait sends a request to a daemon and blocks the task until the reply, as transport.Peer.Call does.
func (p *process) callAndWait(ctx context.Context, addr string, request any) (reply any, err error) {
	to, isKnown := p.d.processAt(addr)
	if !isKnown {
		to = &process{d: p.d, addr: addr, machine: &machine{addr: addr, isRemoved: true}}
	}
	return p.d.awaitReply(ctx, p.machineAddr(), to, func(answer func(any)) { to.handler(request, answer) })
}

// awaitReply sends a request from within a task and blocks until the reply or the deadline.
func (d *Deployment) awaitReply(ctx context.Context, from string, to *process, work func(answer func(any))) (reply any, err error) {
	c := simulatedContext(ctx)
	c.t.suspend(func(resume func()) {
		isDone := false
		finish := func(got any, failure error) {
			if !isDone {
				isDone, reply, err = true, got, failure
				resume()
			}
		}
		d.net.call(from, to, work, finish)
		d.After(max(0, c.deadline-d.now), func() { finish(nil, errs.New(errs.DeadlineExceeded, "no reply before the deadline")) })
	})
	return reply, err
}
