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

// operatorCount is the number of simulated operators; each has one order under way at a time.
const operatorCount = 8

// order is one change of the configuration, resent unchanged until a manager confirms or refuses it.
type order struct {
	digest        string
	version, base int64 // the version that it creates, and the version that it is based on
}

// doc builds the configuration of the order; the previous document is not used.
func (o *order) doc([]byte) ([]byte, error) {
	return fmt.Appendf(nil, `{"note":"%s","version":%d}`, o.digest, o.version), nil
}

// operatorAddr is the network address of the operators.
const operatorAddr = "op"

// runOperator simulates one operator until the given time: it reads the configuration and submits the next
// version based on what it read. All operators do so concurrently.
func (d *Deployment) runOperator(number int, end time.Duration) {
	d.Go(nil, func(ctx context.Context, t *task) {
		for d.now < end {
			t.sleep(time.Duration(10+d.Rand.IntN(400)) * time.Millisecond)
			version, isRead := d.readVersion(ctx, number)
			if !isRead {
				continue
			}
			d.serial++
			o := &order{digest: fmt.Sprint("o", d.serial), version: version + 1, base: version}
			d.sendOrder(ctx, t, number, o)
		}
	})
}

// callManager runs an operator's request at a random manager and returns its reply, or nil if none arrived
// in time.
func (d *Deployment) callManager(ctx context.Context, work func(ctx context.Context, o *manager.Operators) any) any {
	here := d.presentMachines()
	to := here[d.Rand.IntN(len(here))].manager
	timeout := time.Duration(200+d.Rand.IntN(1800)) * time.Millisecond
	within, cancel := (&taskClock{simulatedContext(ctx).t}).Within(ctx, timeout)
	defer cancel()
	caller := callerContext{}
	reply, err := d.awaitReply(within, operatorAddr, &to.process, func(answer func(any)) {
		to.startTask(func(ctx context.Context, o *manager.Operators) {
			got := work(caller.begin(ctx), o)
			if d.Rand.IntN(1000) >= d.LostReplies {
				answer(got)
			}
		})
	})
	if !d.cuts[[2]string{operatorAddr, to.machineAddr()}] {
		caller.cancel()
	}
	if err != nil {
		return nil
	}
	return reply
}

// callerContext cancels a request whose caller has given up, also while the process that carries it out is
// frozen.
type callerContext struct {
	work       *taskContext // nil until the request begins
	isCanceled bool
}

// begin returns the context of the request, which is about to begin.
func (c *callerContext) begin(ctx context.Context) context.Context {
	task := simulatedContext(ctx)
	c.work = &taskContext{Context: ctx, t: task.t, deadline: task.deadline, isCanceled: c.isCanceled}
	return c.work
}

// cancel cancels the request, also one that has not begun.
func (c *callerContext) cancel() {
	c.isCanceled = true
	if c.work != nil {
		c.work.isCanceled = true
	}
}

// configReply is the reply to a read of the configuration.
type configReply struct {
	doc      []byte
	revision int64
	err      error
}

// readVersion reads the version of the configuration, checks that the read is not stale, and records it for the
// linearizability check.
func (d *Deployment) readVersion(ctx context.Context, number int) (int64, bool) {
	since, began := d.oracle.newestAcked, d.now
	got, isRead := d.callManager(ctx, func(ctx context.Context, o *manager.Operators) any {
		doc, revision, err := o.Config(ctx)
		return &configReply{doc, revision, err}
	}).(*configReply)
	if !isRead || got.err != nil {
		return 0, false
	}
	d.oracle.checkRead(fmt.Sprint("operator ", number), got.revision, since)
	version := config.VersionOf(got.doc)
	d.oracle.operations = append(d.oracle.operations, linearize.Operation{Client: number, CalledAt: began, ReturnedAt: d.now, Kind: linearize.Read,
		Outcome: linearize.Confirmed, ReadVersion: version, ReadDigest: orderDigest(got.doc)})
	return version, true
}

// maxOrderAttempts is the upper bound on how often an order is sent.
const maxOrderAttempts = 40

// sendOrder sends an order to randomly chosen managers until one confirms or refuses it.
func (d *Deployment) sendOrder(ctx context.Context, t *task, number int, o *order) {
	call := linearize.Operation{Client: number, CalledAt: d.now, Kind: linearize.Replace, Outcome: linearize.Indeterminate,
		Version: o.version, Base: o.base, Digest: o.digest}
	for attempt := 0; attempt < maxOrderAttempts && !d.hasEndedFaults; attempt++ {
		sent := *o
		if d.mutant == NewIdForRetry && attempt > 0 {
			sent.digest = fmt.Sprint(o.digest, "again")
		}
		reply, isAnswered := d.callManager(ctx, func(ctx context.Context, ops *manager.Operators) any { return d.propose(ctx, ops, o, &sent) }).(*verdict)
		if isAnswered && reply.isConfirmed {
			call.Outcome = linearize.Confirmed
			d.Confirmed++
			break
		}
		if isAnswered && reply.isRefused {
			call.Outcome = linearize.Refused
			d.Refused++
			break
		}
		t.sleep(time.Duration(d.Rand.IntN(300)) * time.Millisecond)
	}
	call.ReturnedAt = d.now
	d.oracle.operations = append(d.oracle.operations, call)
}

// verdict is the result of an order; if neither is set, the outcome is unknown.
type verdict struct{ isConfirmed, isRefused bool }

// propose submits an order at a manager and classifies the result as the platform's interface does: a
// conflict is a refusal, any other failure leaves the outcome open.
func (d *Deployment) propose(ctx context.Context, ops *manager.Operators, o, sent *order) *verdict {
	_, err := ops.Propose(ctx, manager.Proposal{By: "operator", Digest: sent.digest, BaseVersion: o.base, IsVersionBased: true, Build: o.doc})
	switch {
	case err == nil:
		d.oracle.recordConfirmed(o)
		return &verdict{isConfirmed: true}
	case errs.Is(err, errs.Conflict), errs.Is(err, errs.Invalid):
		d.oracle.recordRefused(o, err)
		return &verdict{isRefused: true}
	}
	return &verdict{}
}

// writeToPlaces writes keys to the places until the given time. An acknowledged key must never be lost.
func (d *Deployment) writeToPlaces(end time.Duration) {
	d.Go(nil, func(ctx context.Context, t *task) {
		for d.now < end {
			t.sleep(time.Duration(20+d.Rand.IntN(300)) * time.Millisecond)
			d.serial++
			here := d.presentMachines()
			via := here[d.Rand.IntN(len(here))].manager
			e := wire.Edit{Part: firstPlaceGroup + d.Rand.Int64N(placeCount), Key: fmt.Sprint("k", d.serial%200), Value: []byte{}, IfRevision: -1,
				By: fmt.Sprint(d.serial)}
			if !via.isUp {
				continue
			}
			via.startTask(func(ctx context.Context, _ *manager.Operators) {
				within, cancel := (&taskClock{simulatedContext(ctx).t}).Within(ctx, 3*time.Second)
				defer cancel()
				reply, err := via.ownerClient.CallOwner(within, e.Part, &e, func(reply any) (bool, string) {
					got, isEdited := reply.(*wire.Edited)
					return isEdited && got.Kind != string(errs.NotOwner), ""
				})
				if got, isEdited := reply.(*wire.Edited); err == nil && isEdited && got.Kind == "" {
					d.oracle.recordKey(e.Part, e.Key)
				}
			})
		}
	})
}

// keyRevision returns the revision of a key at the owner of a group, and whether the key exists there.
func (d *Deployment) keyRevision(id int64, key string) (revision int64, exists bool) {
	owner, _ := d.ownerAndRoster(id)
	if owner == nil {
		return 0, false
	}
	owner.runOnHost(id, func() {
		news, _ := owner.parts[id].News(0)
		for _, c := range news.Changes {
			if c.Key == key {
				revision, exists = c.Revision, true
			}
		}
	})
	return revision, exists
}

// ownerConfigRevision returns the revision of the configuration at its owner.
func (d *Deployment) ownerConfigRevision() int64 {
	revision, _ := d.keyRevision(feed.ConfigPart, config.DocumentKey)
	return revision
}
