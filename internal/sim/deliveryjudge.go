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
	deliverySpan = 25 * time.Second // for how long callers call and faults come
	// Once all is well, daemons are in touch within contact, and what could not go on has gone on
	// within settle: an adapter that stays away is taken for gone after a bound, each of its runs
	// goes through a retry's pause, a permit and an ordered key's line at most.
	deliveryContact = 4 * time.Second
	deliverySettle  = 6 * time.Second
	// An ordered run whose adapter is gone may stand at its worker for ten of the longest bounds, where the
	// pool does not know a run again.
	deliveryStand = 20 * time.Second
)

// rulesOfDeliveries are those of package check that hold here whatever fails. Whether a success
// may run again depends on a lane's witness, and whose proof an end carries on the attempt that a
// worker was told: kind "place" plays both.
var rulesOfDeliveries = map[string]bool{check.RuleLost: true, check.RuleGhost: true, check.RuleOrder: true,
	check.RulePool: true, check.RuleBytes: true, check.RuleUnended: true, check.RuleEarly: true}

// RunDeliveries hurts the way of messages for a while and checks what was recorded, and that
// nothing is left lying.
func RunDeliveries(seed uint64, chosen ...func(*Deliveries)) (*Deliveries, []check.Breach) {
	d := NewDeliveries(NewWorld(seed))
	if seed%3 == 0 {
		d.configure(func(c *deliveryDoc) { c.isRepeating = false })
	}
	d.Run(2 * time.Second)
	for d.now < deliverySpan {
		d.Run(d.now + 100*time.Millisecond)
		d.traffic()
		if d.Rand.IntN(6) == 0 {
			d.soon(func() { chosen[d.Rand.IntN(len(chosen))](d) })
		}
		if d.Rand.IntN(8) == 0 {
			d.store().start()
			a := d.adapter()
			a.agent.start()
			a.start()
		}
	}
	return d, d.finish()
}

// traffic sends some messages of each lane.
func (d *Deliveries) traffic() {
	d.call(laneFree, "")
	if d.Rand.IntN(2) == 0 {
		d.call(laneOrdered, fmt.Sprint("k", d.Rand.IntN(6)))
	}
	if d.Rand.IntN(4) == 0 {
		d.call(laneOut, "")
	}
	for _, lane := range further {
		if d.control.doc.lanes[lane] && d.Rand.IntN(4) == 0 {
			d.call(lane, "")
		}
	}
}

// finish heals everything, and looks what is left lying once there was time for all to go on.
func (d *Deliveries) finish() []check.Breach {
	d.heal()
	calm := d.now
	d.Run(calm + deliveryContact + deliverySettle)
	d.readEnds()
	d.judgeWaits(calm, func(s check.Sent) bool { return s.Lane != laneOrdered || d.control.doc.isRepeating })
	d.Run(calm + deliveryContact + deliverySettle + deliveryStand) // and the longest delay
	d.readEnds()
	d.judgeWaits(calm+5*time.Second, func(check.Sent) bool { return true })
	d.judgeHoldings()
	for _, run := range d.runs {
		d.H.AddRun(*run)
	}
	d.readEnds()
	d.H.Pools[laneFree], d.H.Pools[laneOrdered], d.H.Pools[laneOut] = []string{"work"}, []string{"work"}, []string{"far"}
	for _, lane := range further {
		d.H.Pools[lane] = []string{"work"}
	}
	d.H.Order[laneOrdered] = true
	breaches := []check.Breach{}
	for _, b := range check.Check(d.H) {
		if rulesOfDeliveries[b.Rule] {
			breaches = append(breaches, b)
		}
	}
	d.stopTasks()
	for _, text := range d.Lying {
		breaches = append(breaches, check.Breach{Rule: "left lying", Text: text})
	}
	return breaches
}

// breach notes a broken rule.
func (d *Deliveries) breach(rule, form string, args ...any) check.Breach {
	text := fmt.Sprintf(form, args...)
	d.Note("BROKEN %s", text)
	return check.Breach{Rule: rule, Text: text}
}

func (d *Deliveries) lying(form string, args ...any) {
	text := fmt.Sprintf(form, args...)
	d.Note("LYING %s", text)
	d.Lying = append(d.Lying, text)
}

// judgeWaits looks at the messages whose time had come at a moment when all was well again.
func (d *Deliveries) judgeWaits(calm time.Duration, isMeant func(check.Sent) bool) {
	for _, s := range d.H.Sent {
		_, isLane := d.control.configs.Current().Rules.Lanes[s.Lane]
		if s.Told != check.Taken || !isLane || s.At+s.Delay > calm || !isMeant(s) {
			continue
		}
		switch state := d.H.Ends[s.Id].State; state {
		case "held", "started":
			d.lying("%s (key %q, delay %v) is %s %v after all was well", s.Id, s.Key, s.Delay, state, d.now-calm)
		}
	}
}

// judgeHoldings: nobody holds anything for others once all has ended.
func (d *Deliveries) judgeHoldings() {
	for _, a := range d.adapters {
		if a.isUp && a.out.Holdings() != (deliver.Holdings{}) {
			d.lying("%s holds %+v", a.name, a.out.Holdings())
		}
	}
	for _, s := range d.stores {
		if asks := s.dispatch.CountRequests(); asks > 0 {
			d.lying("%s has %d asks for slots under way", s.name, asks)
		}
		for number, p := range s.places {
			if held := p.Outstanding(); s.hosts[number].IsOwner() && held != (store.Outstanding{}) {
				d.lying("place %d at %s holds %+v", number, s.name, held)
			}
		}
	}
}

// readEnds reads all messages from their owners.
func (d *Deliveries) readEnds() {
	for _, s := range d.H.Sent {
		look := &wire.Look{Place: int64(s.Id[0] - '0'), Id: s.Id, Body: true}
		d.Go(nil, func(ctx context.Context, _ *task) {
			for range 3 {
				for _, st := range d.stores {
					bounded, cancel := timing.Within(ctx, d.bound(timing.AnswerTimeout))
					reply, err := d.callIn(bounded, callerName, nil, st.addr, look)
					cancel()
					if got, isSight := reply.(*wire.Sight); err == nil && isSight && got.Kind != "not_owner" {
						end := check.End{State: got.State, Attempt: got.Proof.Attempt, Worker: got.Proof.Worker, Sum: got.Proof.Checksum, BodySum: got.Checksum}
						if got.Kind != "" {
							end.State = "unknown"
						}
						d.H.AddEnd(s.Id, end)
						return
					}
				}
			}
		})
	}
	d.Run(d.now + 300*time.Millisecond)
}
