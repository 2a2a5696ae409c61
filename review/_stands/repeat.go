package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	operations   = 12                    // messages, each with an operation key of its own
	betweenEach  = 20 * time.Millisecond // sends
	tries        = 3                     // of a message, until it is accepted
	betweenTries = time.Second
	runPause     = 2500 * time.Millisecond // in which all that was accepted has run
)

// routeAdded judges TWICE for operation keys: each message is sent, accepted and run; the operator adds a
// route below the prefix of its own; each message is sent again, as it was, within key_window_s of the first send.
func routeAdded(ctx context.Context, p *play) (int, error) {
	orders := route{"r-orders", "orders.example", "/orders/", "factory-dispatch", false}
	p.routes, p.hasTenant = []route{orders}, true
	first := []worker{}
	for i := range perZone * len(zones) {
		first = append(first, worker{Identifier: identifier(i), Service: orders.service, Address: p.at(hostWorkers+i, portWorker),
			Zone: zones[i%len(zones)], Version: "v1", answer: answer})
	}
	if _, err := p.up(ctx, first...); err != nil {
		return cannotRun, err
	}
	p.sendAll(ctx, 0, "first", orders)
	if p.isTrouble {
		if err := p.addRoute(ctx, route{"r-express", orders.host, orders.prefix + "express/", orders.service, true}); err != nil {
			return cannotRun, err
		}
	}
	wait(ctx, applied)
	p.sendAll(ctx, 1, "again", orders)
	p.askStates()
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.verdict(p.judgeOperations())
}

// addRoute has the operator add a route, and reports an error if that is not acknowledged.
func (p *play) addRoute(ctx context.Context, r route) error {
	body, err := json.Marshal(map[string]any{"version": 2, "set_items": map[string]any{"routes": []any{r.document()}},
		"remove_names": map[string]any{"routes": []string{}}})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.controls[0]+"/v1/configuration/update", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Based-On-Version", "1")
	if !isOk(http.DefaultClient.Do(req)) {
		return fmt.Errorf("the change of the configuration was not acknowledged")
	}
	p.note(time.Now(), "the operator has added route %s at %s, ordered, to the same service", r.name, r.prefix)
	return nil
}

// sendAll sends each message until it is accepted, three times at most.
func (p *play) sendAll(ctx context.Context, front int, round string, r route) {
	for number := range operations {
		for try := range tries {
			m := &message{id: fmt.Sprintf("%s-%d-%d", round, number, try), operation: fmt.Sprintf("operation-%d", number)}
			p.send(ctx, front, m, r, fmt.Sprintf("%sexpress/%d", r.prefix, number))
			wait(ctx, betweenEach)
			if m.code == http.StatusAccepted || !wait(ctx, betweenTries) {
				break
			}
		}
	}
	wait(ctx, runPause)
}

// judgeOperations counts the operation keys of which two requests have run.
func (p *play) judgeOperations() (twice int) {
	operationOf, ran := map[string]string{}, map[string]map[string]bool{}
	for _, m := range p.messages {
		operationOf[m.id] = m.operation
	}
	for _, r := range p.fleet.runs {
		operation := operationOf[r.id]
		if ran[operation] == nil {
			ran[operation] = map[string]bool{}
		}
		ran[operation][r.id] = true
		if len(ran[operation]) == 2 {
			twice++
			p.note(r.start, "TWICE: a second request of tenant %s with X-Operation-Key %s runs: %s", r.tenant, operation, r.id)
		}
	}
	return twice
}
