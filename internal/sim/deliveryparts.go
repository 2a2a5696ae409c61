package sim

import (
	"fmt"

	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// deliveryParts are the parts of the control state, on a daemon of their own: the manager follows them
// and has its edits taken by them over links that may be slow, lose or be cut. Kind "control" plays how
// parts are replicated.
type deliveryParts struct {
	lifecycle
	d      *Deliveries
	parts  []*feed.Part
	serial int
}

func newDeliveryParts(d *Deliveries) *deliveryParts {
	return &deliveryParts{lifecycle: lifecycle{isUp: true}, d: d, parts: []*feed.Part{feed.NewPart(), feed.NewPart()}}
}

func (p *deliveryParts) address() string            { return partsName }
func (p *deliveryParts) lifecycleState() *lifecycle { return &p.lifecycle }

// writeToPlaces applies an edit of an operator, which does not get lost here.
func (p *deliveryParts) write(part int64, e wire.Edit) {
	e.Part = part
	p.apply(e)
}

// apply takes an edit in as one call.
func (p *deliveryParts) apply(e wire.Edit) wire.Edited {
	p.serial++
	e.OperationId, e.BaseVersion = fmt.Sprint("order-", p.serial), wire.SingleCallBase
	return p.parts[e.Part].Apply(e)
}

// handle tells the manager what it misses, and takes its edits.
func (p *deliveryParts) handle(request any, answer func(any)) {
	switch a := request.(type) {
	case *wire.Follow:
		answer(&wire.Followed{Parts: p.news(a.Revisions)})
	case *wire.Edit:
		edited := p.apply(*a)
		answer(&edited)
	}
}

// news are the parts as they are now: nothing confirms them but this daemon.
func (p *deliveryParts) news(known []wire.PartRevision) []wire.PartNews {
	out := []wire.PartNews{}
	for _, k := range known {
		news, isNewest := p.parts[k.Part].News(k.Part, k.Revision)
		if isNewest {
			news.Age = 0
		}
		out = append(out, news)
	}
	return out
}
