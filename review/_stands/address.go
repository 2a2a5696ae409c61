package main

import (
	"context"
	"fmt"
	"time"
)

const (
	crashAt      = 6 * time.Second // after the first send
	addressReuse = 2 * time.Second // address_reuse_s, from the crash
	shownFor     = 4 * time.Second // the list shows the crashed worker, from the crash
	busyEvery    = 50 * time.Millisecond
	busyFor      = 16 * time.Second
)

// longIdentifier tells where a worker runs, such as "delta-north/natal-hq/valve-control/i-7f3a9001".
func longIdentifier(zone, service string, number int) string {
	return "delta-north/" + zone + "/" + service + "/" + identifier(number)
}

// addressReused plays a deployment of two services. A worker of the one crashes, and one of the other begins at
// its address. It judges ROUTE: no worker runs what no configuration ever let go to its service.
func addressReused(ctx context.Context, p *play) (int, error) {
	p.routes = []route{{"r-valves", "valves.example", "/commands/", "valve-control", false},
		{"r-sensors", "sensors.example", "/readings/", "climate-ingest", false}}
	first := []worker{}
	for i := range perZone * len(zones) {
		service, zone := p.routes[i/len(zones)].service, zones[i%len(zones)]
		first = append(first, worker{Identifier: longIdentifier(zone, service, i), Service: service, Address: p.at(hostWorkers+i, portWorker),
			Zone: zone, Version: "v1", answer: answer})
	}
	all, err := p.up(ctx, first...)
	if err != nil {
		return cannotRun, err
	}
	if p.isTrouble {
		time.AfterFunc(crashAt, func() { p.crash(ctx, all[0]) })
	}
	for i := 0; i < int(busyFor/busyEvery) && wait(ctx, busyEvery); i++ {
		r := p.routes[i%len(p.routes)]
		id := fmt.Sprintf("%s-%03d", r.name, i)
		p.send(ctx, i, &message{id: id}, r, r.prefix+id)
	}
	wait(ctx, lastRuns)
	p.askStates()
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.verdict(p.judgeRoutes())
}

// crash ends a worker, and begins one of the other service at its address.
func (p *play) crash(ctx context.Context, w *worker) {
	p.fleet.end(w, shownFor)
	p.note(time.Now(), "%s crashes", w.Identifier)
	wait(ctx, addressReuse)
	other := p.routes[1].service
	next, err := p.fleet.add(worker{Identifier: longIdentifier(w.Zone, other, 100), Service: other, Address: w.Address, Zone: w.Zone, Version: "v1", answer: answer})
	if err != nil {
		p.note(time.Now(), "no new worker: %v", err)
		return
	}
	p.note(time.Now(), "%s begins at the same address", next.Identifier)
}

// judgeRoutes counts the runs at another service than that which the route of the message has had throughout.
func (p *play) judgeRoutes() (strays int) {
	services, sent := map[string]string{}, map[string]*message{}
	for _, r := range p.routes {
		services[r.name] = r.service
	}
	for _, m := range p.messages {
		sent[m.id] = m
	}
	for _, r := range p.fleet.runs {
		if m := sent[r.id]; m == nil || services[m.route] != r.service {
			strays++
			p.note(r.start, "ROUTE: %s was run by %s of service %s, seal %s; %+v", r.id, r.worker, r.service, r.seal, m)
		}
	}
	return strays
}
