package sim

import (
	"fmt"
	"strings"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/deliver"
	"caperwheel/internal/duty"
	"caperwheel/internal/feed"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// deliveryControl is the only manager: its view, sessions and duties are the production code. It follows the parts
// as it would follow stores, and acts only on a fresh view.
type deliveryControl struct {
	lifecycle
	d          *Deliveries
	view       *feed.View
	configs    *config.Cache
	registry   *session.Registry
	membership *session.Membership
	holdDown   *duty.HoldDown
	proposals  *duty.Proposals
	freshSince time.Duration
	isPolling  bool // a poll of the parts is pending
	settings   deliveryDoc
}

const controlParts = 1 // in addition to the configuration part

func newDeliveryControl(d *Deliveries) *deliveryControl {
	c := &deliveryControl{d: d, view: feed.NewView(controlParts),
		registry: session.NewRegistry(d.bound(timing.SessionTimeout)), membership: session.NewMembership(),
		holdDown:  &duty.HoldDown{Period: 2 * timing.Default.ConfigApply},
		proposals: &duty.Proposals{Timeout: d.bound(timing.ViewAgeLimit)}, settings: defaultDeliveryDoc()}
	c.configs = &config.Cache{View: c.view}
	return c
}

func (c *deliveryControl) address() string            { return controlName }
func (c *deliveryControl) lifecycleState() *lifecycle { return &c.lifecycle }

// start writes the first configuration and worker list, and begins the periodic work.
func (c *deliveryControl) start() {
	c.isUp = true
	c.writeConfig()
	c.writeWorkerList()
	c.view.Update(c.d.parts.news(c.view.Revisions()), c.d.now)
	c.d.every(&c.lifecycle, c.d.bound(timing.Poll), c.pollParts)
	c.d.every(&c.lifecycle, c.d.bound(timing.Poll), c.planDuties)
	c.d.every(&c.lifecycle, c.d.bound(timing.ListInterval), c.writeWorkerList)
}

// pollParts polls the parts for changes, one poll at a time.
func (c *deliveryControl) pollParts() {
	if c.isPolling {
		return
	}
	c.isPolling = true
	asked := c.d.now
	c.d.sendRequest(controlName, &c.lifecycle, partsName, &wire.Follow{Revisions: c.view.Revisions()}, func(reply any, err error) {
		c.isPolling = false
		if got, isNews := reply.(*wire.Followed); err == nil && isNews {
			c.view.Update(got.Parts, asked)
		}
	})
}

// writeConfig writes the configuration with the current settings.
func (c *deliveryControl) writeConfig() {
	c.d.parts.write(feed.ConfigPart, wire.Edit{Key: config.DocumentKey, Value: c.settings.encode(), IfRevision: -1})
}

// writeWorkerList writes the list of workers as the platform reports it now, if it has changed.
func (c *deliveryControl) writeWorkerList() {
	list := config.Workers{Workers: []config.Worker{}}
	for _, w := range c.d.workers {
		if w.isListed && w.pool == "work" {
			list.Workers = append(list.Workers, config.Worker{Name: w.name, Address: w.address, Zone: w.zone, State: w.state(), Slots: 2})
		}
	}
	was, isKnown := c.d.parts.parts[1].Get(config.WorkersKey + "work")
	if raw := list.Encode(); !isKnown || string(raw) != string(was.Value) {
		c.d.parts.write(1, wire.Edit{Key: config.WorkersKey + "work", Value: raw, IfRevision: -1})
	}
}

// planDuties assigns duties as a manager does. In the first session timeout after its view became fresh it only
// reassigns the duties of holders that restarted.
func (c *deliveryControl) planDuties() {
	c.membership.Update(c.registry.Members(c.d.now))
	if !c.view.IsFresh(c.d.now, c.d.bound(timing.ViewAgeLimit)) {
		c.freshSince = c.d.now
		return
	}
	isNew := c.freshSince > 0 && c.d.now-c.freshSince < c.d.bound(timing.SessionTimeout)
	c.proposals.Expire(c.d.now)
	adapters := duty.Adapters{Members: c.membership.OfKind("adapter"), Leaving: map[string]bool{}, Unresponsive: map[string]bool{}, Proposals: c.proposals}
	_, members := c.registry.Members(c.d.now)
	for _, m := range members {
		adapters.Leaving[m.Who.Name] = m.Fact.Counts[deliver.DrainingCount] > 0
		adapters.Unresponsive[m.Who.Name] = time.Duration(m.Age)*time.Millisecond > c.d.bound(timing.SessionTimeout)/2
	}
	c.holdDown.ObserveMembers(adapters.Members, c.d.now)
	compiled := c.configs.Current()
	revision := func(key string) (int64, bool) {
		current, exists := c.view.Get(1, key)
		if !exists {
			return 0, current.Revision > 0
		}
		return current.Revision, true
	}
	for _, pool := range sortedKeys(compiled.Rules.Pools) {
		changes := duty.Plan(pool, compiled, adapters, revision)
		for _, change := range c.holdDown.Filter(changes, c.d.now) {
			if isNew && !change.IsHolderRestarted {
				continue
			}
			e := wire.Edit{Part: 1, Key: config.DutyKey + pool + "/" + change.Worker, IfRevision: change.IfRevision, Gone: change.IsRemoval}
			if !change.IsRemoval {
				e.Value = change.Next.Encode()
			}
			c.propose(change, e)
		}
	}
}

// propose sends a change of a duty to the parts.
func (c *deliveryControl) propose(change duty.Change, e wire.Edit) {
	c.holdDown.RecordMove(change, c.d.now)
	c.proposals.Add(change, c.d.now)
	c.d.sendRequest(controlName, &c.lifecycle, partsName, &e, func(reply any, err error) {
		if got, isEdited := reply.(*wire.Edited); err == nil && isEdited && got.Kind != "" {
			c.proposals.Fail(change)
		}
	})
}

// handle renews a session and answers with the changes that the daemon lacks.
func (c *deliveryControl) handle(request any, answer func(any)) {
	poll, isPoll := request.(*wire.Poll)
	if !isPoll {
		return
	}
	c.registry.Renew(wire.Member{Who: poll.Who, Owns: poll.Owns, Fact: poll.Fact}, c.d.now, true)
	c.membership.Update(c.registry.Members(c.d.now))
	answer(session.NewsFor(poll, c.view, c.d.now, c.membership))
}

// deliveryDoc holds the settings of the configuration that faults change.
type deliveryDoc struct {
	runTimeout      time.Duration // of all pools
	concurrency     int
	rate            float64 // of the endpoint pool
	sharedRate      float64 // rate shared by the workers; 0 for none
	isDeduplicating bool    // the pools recognise repeated runs
	maxAttempts     int
	extraLanes      map[string]bool // extra lanes that exist
}

// defaultDeliveryDoc returns the settings before any fault.
func defaultDeliveryDoc() deliveryDoc {
	return deliveryDoc{runTimeout: time.Second, concurrency: 2, rate: 40, isDeduplicating: true, maxAttempts: 5, extraLanes: map[string]bool{}}
}

// Lanes of the simulated deliveries that always exist.
const (
	laneUnordered = "free"
	laneOrdered   = "seq"
	laneEndpoint  = "out"
)

// extraLaneNames are the lanes that are added and removed.
var extraLaneNames = []string{"extra1", "extra2", "extra3"}

// encode returns the configuration document.
func (c deliveryDoc) encode() []byte {
	lane := func(name, pool, more string) string {
		return fmt.Sprintf(`%q:{"pools":[%q],"patience":"90s","retention":"1h","attempts":%d,"spends":"failures","witness":false,
			"rerun":true,"backoff":"100ms","backoff_most":"1s","prompt":"1s","notify":true%s}`, name, pool, c.maxAttempts, more)
	}
	lanes := []string{lane(laneUnordered, "work", ""), lane(laneOrdered, "work", `,"ordering":"key"`), lane(laneEndpoint, "far", "")}
	for _, name := range extraLaneNames {
		if c.extraLanes[name] {
			lanes = append(lanes, lane(name, "work", ""))
		}
	}
	return fmt.Appendf(nil, `{"pools":{"work":{"bound":"%v","concurrency":%d,"rate":%g,"ease":"0s","rest":"1s","repeats":%t},
		"far":{"kind":"endpoint","address":"10.9.9.9:80","bound":"%v","concurrency":4,"rate":%g,"ease":"0s","rest":"1s","repeats":%t}},
		"lanes":{%s}}`, c.runTimeout, c.concurrency, c.sharedRate, c.isDeduplicating, c.runTimeout, c.rate, c.isDeduplicating, strings.Join(lanes, ","))
}
