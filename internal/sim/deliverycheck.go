package sim

import (
	"context"
	"fmt"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/deliver"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

const (
	deliveryFaultTime = 25 * time.Second // time with traffic and faults
	// After all faults are healed, daemons are connected again within deliveryReconnectTime, and stalled
	// messages have moved on within deliverySettleTime: an absent adapter is taken for lost after one bound, and each
	// of its runs then goes at most through a retry's backoff, a permit and the queue of an ordered key.
	deliveryReconnectTime = 4 * time.Second
	deliverySettleTime    = 6 * time.Second
	// An ordered run whose adapter is lost may block its key for ten of the longest run timeouts if the pool does not
	// recognise repeated runs.
	deliveryOrderedHold = 20 * time.Second
)

// deliveryRules are the rules of package check that hold here under every fault. Whether a success may run again
// depends on the witness of a lane, and whose proof an end carries depends on the attempt that a worker was given:
// the simulation kind "place" covers both.
var deliveryRules = map[string]bool{check.RuleTakenLost: true, check.RuleRejectedRun: true, check.RuleKeyOverlap: true,
	check.RuleWrongPool: true, check.RuleAlteredBody: true, check.RuleEndedWithoutRun: true, check.RuleEarly: true}

// RunDeliveries injects faults into the path of messages for a while, checks the recorded history, and checks that
// no message or holding is stranded.
func RunDeliveries(seed uint64, faults ...func(*Deliveries)) (*Deliveries, []check.Breach) {
	d := NewDeliveries(NewWorld(seed))
	if seed%3 == 0 {
		d.configure(func(c *deliveryDoc) { c.isDeduplicating = false })
	}
	d.Run(2 * time.Second)
	for d.now < deliveryFaultTime {
		d.Run(d.now + 100*time.Millisecond)
		d.traffic()
		if d.Rand.IntN(6) == 0 {
			d.scheduleFault(func() { faults[d.Rand.IntN(len(faults))](d) })
		}
		if d.Rand.IntN(8) == 0 {
			d.pickStore().start()
			a := d.pickAdapter()
			a.agent.start()
			a.start()
		}
	}
	return d, d.finish()
}

// traffic sends some messages on each lane.
func (d *Deliveries) traffic() {
	d.sendMessage(laneUnordered, "")
	if d.Rand.IntN(2) == 0 {
		d.sendMessage(laneOrdered, fmt.Sprint("k", d.Rand.IntN(6)))
	}
	if d.Rand.IntN(4) == 0 {
		d.sendMessage(laneEndpoint, "")
	}
	for _, lane := range extraLaneNames {
		if d.control.settings.extraLanes[lane] && d.Rand.IntN(4) == 0 {
			d.sendMessage(lane, "")
		}
	}
}

// finish heals all faults, gives stalled messages time to move on, and checks what is stranded and the history.
func (d *Deliveries) finish() []check.Breach {
	d.heal()
	healedAt := d.now
	d.Run(healedAt + deliveryReconnectTime + deliverySettleTime)
	d.readFinalStates()
	d.checkWaiting(healedAt, func(s check.Sent) bool { return s.Lane != laneOrdered || d.control.settings.isDeduplicating })
	d.Run(healedAt + deliveryReconnectTime + deliverySettleTime + deliveryOrderedHold) // plus the longest delay
	d.readFinalStates()
	d.checkWaiting(healedAt+5*time.Second, func(check.Sent) bool { return true })
	d.checkHoldings()
	for _, run := range d.runs {
		d.H.AddRun(*run)
	}
	d.readFinalStates()
	d.H.LanePools[laneUnordered], d.H.LanePools[laneOrdered], d.H.LanePools[laneEndpoint] = []string{"work"}, []string{"work"}, []string{"far"}
	for _, lane := range extraLaneNames {
		d.H.LanePools[lane] = []string{"work"}
	}
	d.H.OrderedLanes[laneOrdered] = true
	breaches := []check.Breach{}
	for _, b := range check.Check(d.H) {
		if deliveryRules[b.Rule] {
			breaches = append(breaches, b)
		}
	}
	d.stopTasks()
	for _, text := range d.Stranded {
		breaches = append(breaches, check.Breach{Rule: "left lying", Text: text})
	}
	return breaches
}

// newBreach notes a broken rule in the trace and returns it.
func (d *Deliveries) newBreach(rule, format string, args ...any) check.Breach {
	text := fmt.Sprintf(format, args...)
	d.Tracef("BROKEN %s", text)
	return check.Breach{Rule: rule, Text: text}
}

// recordStranded records something that made no progress after all faults were healed.
func (d *Deliveries) recordStranded(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.Tracef("LYING %s", text)
	d.Stranded = append(d.Stranded, text)
}

// checkWaiting checks that no included message that was due at healedAt is still held or started.
func (d *Deliveries) checkWaiting(healedAt time.Duration, isIncluded func(check.Sent) bool) {
	for _, s := range d.H.Sent {
		_, isLane := d.control.configs.Current().Rules.Lanes[s.Lane]
		if s.Outcome != check.Taken || !isLane || s.SentAt+s.Delay > healedAt || !isIncluded(s) {
			continue
		}
		switch state := d.H.Finals[s.Id].State; state {
		case "held", "started":
			d.recordStranded("%s (key %q, delay %v) is %s %v after all faults were healed", s.Id, s.Key, s.Delay, state, d.now-healedAt)
		}
	}
}

// checkHoldings checks that no adapter, store or place still holds slots, runs or requests for others once all
// messages have ended.
func (d *Deliveries) checkHoldings() {
	for _, a := range d.adapters {
		if a.isUp && a.out.Holdings() != (deliver.Holdings{}) {
			d.recordStranded("%s holds %+v", a.name, a.out.Holdings())
		}
	}
	for _, s := range d.stores {
		if requests := s.dispatcher.CountRequests(); requests > 0 {
			d.recordStranded("%s has %d pending requests for slots", s.name, requests)
		}
		for number, p := range s.places {
			if held := p.Outstanding(); s.hosts[number].IsOwner() && held != (store.Outstanding{}) {
				d.recordStranded("place %d at %s holds %+v", number, s.name, held)
			}
		}
	}
}

// readFinalStates reads the state of every message from its owner.
func (d *Deliveries) readFinalStates() {
	for _, s := range d.H.Sent {
		look := &wire.Look{Place: int64(s.Id[0] - '0'), Id: s.Id, Body: true}
		d.Go(nil, func(ctx context.Context, _ *task) {
			for range 3 {
				for _, st := range d.stores {
					bounded, cancel := timing.Within(ctx, d.bound(timing.AnswerTimeout))
					reply, err := d.callAndWait(bounded, callerName, nil, st.addr, look)
					cancel()
					if got, isSight := reply.(*wire.Sight); err == nil && isSight && got.Kind != "not_owner" {
						end := check.FinalState{State: got.State, Attempt: got.Proof.Attempt, Worker: got.Proof.Worker, AnswerSum: got.Proof.Checksum, BodySum: got.Checksum}
						if got.Kind != "" {
							end.State = "unknown"
						}
						d.H.AddFinal(s.Id, end)
						return
					}
				}
			}
		})
	}
	d.Run(d.now + 300*time.Millisecond)
}
