package sim

import (
	"context"
	"fmt"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/linearize"
	"caperwheel/internal/manager"
	"caperwheel/internal/wire"
)

// mostOrders is how many orders are under way at once.
const mostOrders = 8

// order is one change of the configuration, sent unchanged until it is answered
// clearly.
type order struct {
	digest        string
	version, base int64
}

func (o *order) doc([]byte) ([]byte, error) {
	return fmt.Appendf(nil, `{"note":"%s","version":%d}`, o.digest, o.version), nil
}

// client is the operators' end of the network.
const client = "op"

// operate has one operator work until the given time: it reads, and has the
// next version made on what it read, as all others do.
func (d *Deployment) operate(number int, end time.Duration) {
	d.Go(nil, func(ctx context.Context, t *task) {
		for d.now < end {
			t.pause(time.Duration(10+d.Rand.IntN(400)) * time.Millisecond)
			version, isRead := d.readVersion(ctx, number)
			if !isRead {
				continue
			}
			d.serial++
			o := &order{digest: fmt.Sprint("o", d.serial), version: version + 1, base: version}
			d.order(ctx, t, number, o)
		}
	})
}

// ask has some manager do an operator's work; nil when no answer came.
func (d *Deployment) ask(ctx context.Context, work func(ctx context.Context, o *manager.Operators) any) any {
	here := d.here()
	to := here[d.Rand.IntN(len(here))].manager
	patience := time.Duration(200+d.Rand.IntN(1800)) * time.Millisecond
	within, cancel := (&taskClock{simulated(ctx).t}).Within(ctx, patience)
	defer cancel()
	caller := callerContext{}
	reply, err := d.await(within, client, &to.process, func(answer func(any)) {
		to.handle(func(ctx context.Context, o *manager.Operators) {
			got := work(caller.of(ctx), o)
			if d.Rand.IntN(1000) >= d.LostTells {
				answer(got)
			}
		})
	})
	if !d.cuts[[2]string{client, to.machineOf()}] {
		caller.hangUp()
	}
	if err != nil {
		return nil
	}
	return reply
}

// callerContext ends the work for a caller that has hung up, also while whoever does
// it stands still.
type callerContext struct {
	work   *taskContext // nil until it begins
	isGone bool
}

// of returns the context of the work, which is about to begin.
func (c *callerContext) of(ctx context.Context) context.Context {
	task := simulated(ctx)
	c.work = &taskContext{Context: ctx, t: task.t, until: task.until, isCanceled: c.isGone}
	return c.work
}

func (c *callerContext) hangUp() {
	c.isGone = true
	if c.work != nil {
		c.work.isCanceled = true
	}
}

type readReply struct {
	doc      []byte
	revision int64
	err      error
}

func (d *Deployment) readVersion(ctx context.Context, number int) (int64, bool) {
	since, began := d.book.newest, d.now
	got, isRead := d.ask(ctx, func(ctx context.Context, o *manager.Operators) any {
		doc, revision, err := o.Config(ctx)
		return &readReply{doc, revision, err}
	}).(*readReply)
	if !isRead || got.err != nil {
		return 0, false
	}
	d.book.read(fmt.Sprint("operator ", number), got.revision, since)
	version := config.VersionOf(got.doc)
	d.book.calls = append(d.book.calls, linearize.Operation{Client: number, Call: began, Return: d.now, Kind: linearize.Read,
		Outcome: linearize.Confirmed, ReadVersion: version, ReadDigest: digestOf(got.doc)})
	return version, true
}

// mostTries bounds how often an order is sent.
const mostTries = 40

// order sends an order to one manager after another until it has a clear answer.
func (d *Deployment) order(ctx context.Context, t *task, number int, o *order) {
	call := linearize.Operation{Client: number, Call: d.now, Kind: linearize.Replace, Outcome: linearize.Unclear,
		Version: o.version, Base: o.base, Digest: o.digest}
	for try := 0; try < mostTries && !d.isCalm; try++ {
		sent := *o
		if d.mutant == NewIdForRetry && try > 0 {
			sent.digest = fmt.Sprint(o.digest, "again")
		}
		err, isTold := d.ask(ctx, func(ctx context.Context, ops *manager.Operators) any { return d.propose(ctx, ops, o, &sent) }).(*verdict)
		if isTold && err.isYes {
			call.Outcome = linearize.Confirmed
			d.Took++
			break
		}
		if isTold && err.isNo {
			call.Outcome = linearize.Refused
			d.Refused++
			break
		}
		t.pause(time.Duration(d.Rand.IntN(300)) * time.Millisecond)
	}
	call.Return = d.now
	d.book.calls = append(d.book.calls, call)
}

type verdict struct{ isYes, isNo bool }

// propose is what a manager does with an order, and says as the platform's door
// does: a conflict is a clear no, anything else that failed is not.
func (d *Deployment) propose(ctx context.Context, ops *manager.Operators, o, sent *order) *verdict {
	_, err := ops.Propose(ctx, manager.Proposal{By: "operator", Digest: sent.digest, BaseVersion: o.base, IsVersionBased: true, Build: o.doc})
	switch {
	case err == nil:
		d.book.confirm(o)
		return &verdict{isYes: true}
	case errs.Is(err, errs.Conflict), errs.Is(err, errs.Invalid):
		d.book.refuse(o, err)
		return &verdict{isNo: true}
	}
	return &verdict{}
}

// write has messages taken by the places until the given time; what is
// acknowledged must never be lost.
func (d *Deployment) write(end time.Duration) {
	d.Go(nil, func(ctx context.Context, t *task) {
		for d.now < end {
			t.pause(time.Duration(20+d.Rand.IntN(300)) * time.Millisecond)
			d.serial++
			here := d.here()
			via := here[d.Rand.IntN(len(here))].manager
			e := wire.Edit{Part: placeGroup + d.Rand.Int64N(places), Key: fmt.Sprint("k", d.serial%200), Value: []byte{}, IfRevision: -1,
				By: fmt.Sprint(d.serial)}
			if !via.isUp {
				continue
			}
			via.handle(func(ctx context.Context, _ *manager.Operators) {
				within, cancel := (&taskClock{simulated(ctx).t}).Within(ctx, 3*time.Second)
				defer cancel()
				reply, err := via.reach.CallOwner(within, e.Part, &e, func(reply any) (bool, string) {
					got, isEdited := reply.(*wire.Edited)
					return isEdited && got.Kind != string(errs.NotOwner), ""
				})
				if got, isEdited := reply.(*wire.Edited); err == nil && isEdited && got.Kind == "" {
					d.book.keep(e.Part, e.Key)
				}
			})
		}
	})
}

// standing reports whether a key stands at the owner of a group.
func (d *Deployment) standing(id int64, key string) (revision int64, isStanding bool) {
	owner, _ := d.seats(id)
	if owner == nil {
		return 0, false
	}
	owner.do(id, func() {
		news, _ := owner.parts[id].News(0)
		for _, c := range news.Changes {
			if c.Key == key {
				revision, isStanding = c.Revision, true
			}
		}
	})
	return revision, isStanding
}

// configAtOwner is the revision of the configuration that its owner holds.
func (d *Deployment) configAtOwner() int64 {
	revision, _ := d.standing(feed.ConfigPart, config.DocumentKey)
	return revision
}
