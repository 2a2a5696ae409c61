package sim

import (
	"context"
	"slices"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/transport"
)

// network carries calls between daemons, and from clients. A call may be lost,
// refused before it was sent, or be reset with its fate unknown.
type network struct {
	d             *Deployment
	pending       []*networkCall
	refusingAddrs map[string]bool // addresses of machines at which nobody listens
	resetCount    int
}

type networkCall struct {
	from, to string
	sentAt   time.Duration
	done     func(reply any, err error)
}

// callExpiry is when a call that was never answered is forgotten; whoever made
// it has given up long before.
const callExpiry = 10 * time.Second

// machineAddr is a daemon's end of the network: its machine's, or its own.
func (p *process) machineAddr() string {
	if p.machine != nil {
		return p.machine.addr
	}
	return p.addr
}

// call asks a daemon. done is called at most once, and never after the call
// was given up.
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

// answer brings a reply to the call that it answers. The mutant gives it to
// whichever call has waited longest on that connection.
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

func (n *network) finish(c *networkCall, reply any, err error) {
	if at := slices.Index(n.pending, c); at >= 0 {
		n.pending = slices.Delete(n.pending, at, at+1)
		c.done(reply, err)
	}
}

// resetConnections breaks all connections of a machine: what is under way may have come
// through or not.
func (n *network) resetConnections(addr string) {
	n.resetCount++
	n.d.Tracef("all connections of %s are reset", addr)
	for _, c := range slices.Clone(n.pending) {
		if c.from == addr || c.to == addr {
			n.finish(c, nil, errs.New(errs.Lost, "reset"))
		}
	}
}

// callAndWait asks a daemon from within a task, as transport.Peer.Call does.
func (p *process) callAndWait(ctx context.Context, addr string, request any) (reply any, err error) {
	to, isKnown := p.d.processAt(addr)
	if !isKnown {
		to = &process{d: p.d, addr: addr, machine: &machine{addr: addr, isRemoved: true}}
	}
	return p.d.awaitReply(ctx, p.machineAddr(), to, func(answer func(any)) { to.handler(request, answer) })
}

// awaitReply asks from within a task and waits for the answer or the deadline.
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
		d.After(max(0, c.deadline-d.now), func() { finish(nil, errs.New(errs.DeadlineExceeded, "no answer")) })
	})
	return reply, err
}
