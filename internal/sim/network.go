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
	d        *Deployment
	open     []*call
	refusing map[string]bool // addresses of machines at which nobody listens
	resets   int
}

type call struct {
	from, to string
	at       time.Duration
	done     func(reply any, err error)
}

// staleCall is when a call that was never answered is forgotten; whoever made
// it has given up long before.
const staleCall = 10 * time.Second

// machineOf is a daemon's end of the network: its machine's, or its own.
func (p *process) machineOf() string {
	if p.machine != nil {
		return p.machine.addr
	}
	return p.addr
}

// call asks a daemon. done is called at most once, and never after the call
// was given up.
func (n *network) call(from string, to *process, work func(answer func(any)), done func(reply any, err error)) {
	now := n.d.now
	n.open = slices.DeleteFunc(n.open, func(c *call) bool { return now-c.at > staleCall })
	c := &call{from: from, to: to.machineOf(), at: now, done: done}
	n.open = append(n.open, c)
	refuse := func() { n.finish(c, nil, &transport.UnsentError{}) }
	if n.refusing[c.to] || n.refusing[from] {
		n.d.After(time.Millisecond, refuse)
		return
	}
	n.d.Send(from, c.to, func() {
		if !to.isUp {
			if to.machine == nil || !to.machine.isGone {
				n.d.Send(c.to, from, refuse)
			}
			return
		}
		n.d.whenThawed(&to.lifecycle, func() {
			work(func(reply any) { n.d.Send(c.to, from, func() { n.answer(c, reply) }) })
		})
	})
}

// answer brings a reply to the call that it answers. The mutant gives it to
// whichever call has waited longest on that connection.
func (n *network) answer(c *call, reply any) {
	if n.d.mutant == AnswersByPosition {
		for _, other := range n.open {
			if other.from == c.from && other.to == c.to {
				c = other
				break
			}
		}
	}
	n.finish(c, reply, nil)
}

func (n *network) finish(c *call, reply any, err error) {
	if at := slices.Index(n.open, c); at >= 0 {
		n.open = slices.Delete(n.open, at, at+1)
		c.done(reply, err)
	}
}

// reset breaks all connections of a machine: what is under way may have come
// through or not.
func (n *network) reset(addr string) {
	n.resets++
	n.d.Note("all connections of %s are reset", addr)
	for _, c := range slices.Clone(n.open) {
		if c.from == addr || c.to == addr {
			n.finish(c, nil, errs.New(errs.Lost, "reset"))
		}
	}
}

// callIn asks a daemon from within a task, as transport.Peer.Call does.
func (p *process) callIn(ctx context.Context, addr string, ask any) (reply any, err error) {
	to, isKnown := p.d.at(addr)
	if !isKnown {
		to = &process{d: p.d, addr: addr, machine: &machine{addr: addr, isGone: true}}
	}
	return p.d.await(ctx, p.machineOf(), to, func(answer func(any)) { to.serve(ask, answer) })
}

// await asks from within a task and waits for the answer or the deadline.
func (d *Deployment) await(ctx context.Context, from string, to *process, work func(answer func(any))) (reply any, err error) {
	c := simulated(ctx)
	c.t.wait(func(resume func()) {
		isOver := false
		end := func(got any, mishap error) {
			if !isOver {
				isOver, reply, err = true, got, mishap
				resume()
			}
		}
		d.net.call(from, to, work, end)
		d.After(max(0, c.until-d.now), func() { end(nil, errs.New(errs.DeadlineExceeded, "no answer")) })
	})
	return reply, err
}
