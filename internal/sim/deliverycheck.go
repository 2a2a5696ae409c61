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
	deliveryFaultTime = 25 * time.Second // for how long callers call and faults come
	// Once all is well, daemons are in touch within contact, and what could not go on has gone on
	// within settle: an adapter that stays away is taken for gone after a bound, each of its runs
	// goes through a retry's pause, a permit and an ordered key's line at most.
	deliveryReconnectTime = 4 * time.Second
	deliverySettleTime    = 6 * time.Second
	// An ordered run whose adapter is gone may stand at its worker for ten of the longest bounds, where the
	// pool does not know a run again.
	deliveryOrderedHold = 20 * time.Second
)

// deliveryRules are those of package check that hold here whatever fails. Whether a success
// may run again depends on a lane's witness, and whose proof an end carries on the attempt that a
// worker was told: kind "place" plays both.
var deliveryRules = map[string]bool{check.RuleTakenLost: true, check.RuleRejectedRun: true, check.RuleKeyOverlap: true,
	check.RuleWrongPool: true, check.RuleAlteredBody: true, check.RuleEndedWithoutRun: true, check.RuleEarly: true}

// RunDeliveries hurts the way of messages for a while and checks what was recorded, and that
// nothing is left lying.
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

// traffic sends some messages of each lane.
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

// finish heals everything, and looks what is left lying once there was time for all to go on.
func (d *Deliveries) finish() []check.Breach {
	d.heal()
	healedAt := d.now
	d.Run(healedAt + deliveryReconnectTime + deliverySettleTime)
	d.readFinalStates()
	d.checkWaiting(healedAt, func(s check.Sent) bool { return s.Lane != laneOrdered || d.control.settings.isDeduplicating })
	d.Run(healedAt + deliveryReconnectTime + deliverySettleTime + deliveryOrderedHold) // and the longest delay
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

// breach notes a broken rule.
func (d *Deliveries) newBreach(rule, format string, args ...any) check.Breach {
	text := fmt.Sprintf(format, args...)
	d.Tracef("BROKEN %s", text)
	return check.Breach{Rule: rule, Text: text}
}

func (d *Deliveries) recordStranded(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.Tracef("LYING %s", text)
	d.Stranded = append(d.Stranded, text)
}

// checkWaiting looks at the messages whose time had come at a moment when all was well again.
func (d *Deliveries) checkWaiting(healedAt time.Duration, isIncluded func(check.Sent) bool) {
	for _, s := range d.H.Sent {
		_, isLane := d.control.configs.Current().Rules.Lanes[s.Lane]
		if s.Outcome != check.Taken || !isLane || s.SentAt+s.Delay > healedAt || !isIncluded(s) {
			continue
		}
		switch state := d.H.Finals[s.Id].State; state {
		case "held", "started":
			d.recordStranded("%s (key %q, delay %v) is %s %v after all was well", s.Id, s.Key, s.Delay, state, d.now-healedAt)
		}
	}
}

// checkHoldings: nobody holds anything for others once all has ended.
func (d *Deliveries) checkHoldings() {
	for _, a := range d.adapters {
		if a.isUp && a.out.Holdings() != (deliver.Holdings{}) {
			d.recordStranded("%s holds %+v", a.name, a.out.Holdings())
		}
	}
	for _, s := range d.stores {
		if requests := s.dispatcher.CountRequests(); requests > 0 {
			d.recordStranded("%s has %d asks for slots under way", s.name, requests)
		}
		for number, p := range s.places {
			if held := p.Outstanding(); s.hosts[number].IsOwner() && held != (store.Outstanding{}) {
				d.recordStranded("place %d at %s holds %+v", number, s.name, held)
			}
		}
	}
}

// readFinalStates reads all messages from their owners.
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
