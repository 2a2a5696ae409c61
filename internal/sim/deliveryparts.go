package sim

import (
	"fmt"

	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// deliveryParts are the parts of the control state, on a daemon of their own: the manager follows them and sends
// them its edits over links that may be slow, lose messages or be cut. The simulation kind "control" covers how
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

// write applies an edit of an operator directly, so that it cannot be lost.
func (p *deliveryParts) write(part int64, e wire.Edit) {
	e.Part = part
	p.apply(e)
}

// apply applies an edit as a single call with its own operation id.
func (p *deliveryParts) apply(e wire.Edit) wire.Edited {
	p.serial++
	e.OperationId, e.BaseVersion = fmt.Sprint("order-", p.serial), wire.SingleCallBase
	return p.parts[e.Part].Apply(e)
}

// handle sends the manager the changes that it lacks, and applies its edits.
func (p *deliveryParts) handle(request any, answer func(any)) {
	switch a := request.(type) {
	case *wire.Follow:
		answer(&wire.Followed{Parts: p.news(a.Revisions)})
	case *wire.Edit:
		edited := p.apply(*a)
		answer(&edited)
	}
}

// news returns the changes since the known revisions. The newest state has age zero, since this daemon is the only
// replica.
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
