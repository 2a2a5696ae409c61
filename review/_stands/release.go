package main

import (
	"context"
	"fmt"
	"time"
)

const (
	perZone     = 2           // workers
	replaced    = 2           // of them, of six in all
	largeAnswer = 256<<10 + 1 // bytes: what the next version answers; a larger one is not read to its end

	sendEvery     = 200 * time.Millisecond
	sendFor       = 20 * time.Second
	releaseAt     = 6 * time.Second // after the first send
	releaseGap    = time.Second
	lastRuns      = 8 * time.Second       // after the last send
	completeSlack = 50 * time.Millisecond // before the route's timeout an answer must be complete
)

// release plays a deployment of which some workers are replaced, one after the other, by ones of a new
// version, whose answers are larger; and judges TWICE.
func release(ctx context.Context, p *play) (int, error) {
	quotes := route{"r-quotes", "quotes.example", "/quotes/", "pricing-engine", false}
	p.routes = []route{quotes}
	first := []worker{}
	for i := range perZone * len(zones) {
		first = append(first, worker{Identifier: identifier(i), Service: quotes.service, Address: p.at(hostWorkers+i, portWorker),
			Zone: zones[i%len(zones)], Version: "v1", answer: answer})
	}
	old, err := p.up(ctx, first...)
	if err != nil {
		return cannotRun, err
	}
	if p.isTrouble {
		time.AfterFunc(releaseAt, func() { p.replace(ctx, old[:replaced]) })
	}
	for i := 0; i < int(sendFor/sendEvery) && wait(ctx, sendEvery); i++ {
		id := fmt.Sprintf("quote-%03d", i)
		p.send(ctx, i, &message{id: id}, quotes, quotes.prefix+id)
	}
	wait(ctx, lastRuns)
	p.askStates()
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.verdict(p.judgeTwice())
}

func identifier(number int) string { return fmt.Sprintf("i-%08x", 0x7f3a9000+number) }

// replace replaces workers one after the other: the new one starts first, the old one drains.
func (p *play) replace(ctx context.Context, old []*worker) {
	for i, w := range old {
		next, err := p.fleet.add(worker{Identifier: identifier(100 + i), Service: w.Service, Address: p.at(hostWorkers+50+i, portWorker), Zone: w.Zone,
			Version: "v2", answer: largeAnswer})
		if err != nil {
			p.note(time.Now(), "no new worker: %v", err)
			return
		}
		p.fleet.drain(w)
		p.note(time.Now(), "release: %s (v2) begins in %s, %s (v1) drains", next.Identifier, w.Zone, w.Identifier)
		wait(ctx, releaseGap)
	}
}

// judgeTwice counts the runs that began after a success of the same message that was complete in time and read.
func (p *play) judgeTwice() (again int) {
	done := map[string]*run{}
	for _, r := range p.fleet.runs {
		if first := done[r.id]; first != nil && r.start.After(first.answered) {
			again++
			p.note(r.start, "TWICE: %s runs again, %v after the success %s was complete and read", r.id, r.start.Sub(first.answered).Round(time.Millisecond), first.seal)
		}
		if done[r.id] == nil && r.isRead && !r.answered.IsZero() && r.answered.Sub(r.start) < timeout-completeSlack {
			done[r.id] = r
		}
	}
	return again
}
