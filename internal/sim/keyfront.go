package sim

import (
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/intake"
	"caperwheel/internal/wire"
)

// keyFront is an adapter's intake as callers with operation keys meet it. Which place holds a message is decided by the
// production code.
type keyFront struct {
	k          *OperationKeys
	name       string
	rules      *config.Rules // of the newest configuration that has reached this adapter
	version    int
	knownHomes [keyPlaces]bool
	isOlder    bool                     // its build does not claim operation keys
	onReply    func(request, reply any) // called with each request that was answered, if set
}

func newKeyFront(k *OperationKeys, name string) *keyFront {
	return &keyFront{k: k, name: name, isOlder: k.isUpgrade}
}

// restart replaces the adapter by one of the current build.
func (f *keyFront) restart() { f.isOlder, f.knownHomes = false, [keyPlaces]bool{} }

// send sends an operation's message to its place and passes the answer to done, unless the timeout passes before.
func (f *keyFront) send(o *keyedOperation, token string, timeout time.Duration, done func(*wire.Taken)) {
	apiKey, order := o.apiKeys[f.k.Rand.IntN(len(o.apiKeys))], o.orders[f.k.Rand.IntN(len(o.orders))]
	lane, isFound := f.rules.Route("", o.path)
	if !isFound {
		return
	}
	sent := intake.KeyedSend{Lane: lane, ApiKey: apiKey, OperationKey: f.operationKey(o, lane, token), OrderingKey: order, Places: keyPlaces,
		NewToken: func() string { return token },
		Take:     wire.Take{Body: []byte(token), Checksum: "sum of " + o.key, Deadline: (2 * time.Minute).Milliseconds()}}
	isUnclaimed := f.isOlder || f.k.mutant == UnaskedHomes && order != ""
	sent.IsHomeKnown = !isUnclaimed && f.knownHomes[homeOfKey(sent.OperationKey)]
	operation, err := intake.OperationOf(f.rules, sent)
	if err != nil { // the lane does not accept the API key
		return
	}
	if isUnclaimed { // as a build without claims, which sends the message where its own rule puts it
		operation.Next()
		operation.Reply(&wire.Sight{Kind: string(errs.Unsupported)})
	}
	f.k.Tracef("%s is sent through %s (configuration %d, lane %s, key %q, order %q)", token, f.name, f.version, lane.Name, apiKey, order)
	f.carryOut(operation, isUnclaimed, f.k.now+timeout, func() {
		if operation.IsHomeKnown() {
			f.knownHomes[homeOfKey(sent.OperationKey)] = true
		}
		done(operation.Outcome())
	})
}

// operationKey returns the operation key that the adapter works with.
func (f *keyFront) operationKey(o *keyedOperation, lane config.Lane, token string) string {
	switch f.k.mutant {
	case NewIdForRetry:
		return token
	case HomeByLane:
		return o.key + " " + lane.Name
	}
	return o.key
}

// carryOut sends the requests of an operation one after another until it is done or the time is over.
func (f *keyFront) carryOut(operation *intake.Operation, isUnclaimed bool, until time.Duration, done func()) {
	request, number := operation.Next()
	if request == nil {
		done()
		return
	}
	if take, isTake := request.(*wire.Take); isTake {
		copied := *take
		copied.IsClaimed = take.IsClaimed && !isUnclaimed
		request = &copied
	}
	f.k.places[number].askOwner(f.name, until, request, func(reply any) {
		f.k.Tracef("%s: place %d answers %+v with %+v", f.name, number, request, reply)
		if f.onReply != nil {
			f.onReply(request, reply)
		}
		operation.Reply(reply)
		f.carryOut(operation, isUnclaimed, until, done)
	})
}

// askOwner sends a request to one store after another until the owner answers or the time is over.
func (p *PlaceCluster) askOwner(from string, until time.Duration, request any, done func(reply any)) {
	next, isDone := p.Rand.IntN(len(p.stores)), false
	send := func(o placeOwner, answer func(any)) {
		switch m := request.(type) {
		case *wire.Take:
			o.Take(m, answer)
		case *wire.Settle:
			o.Settle(m, answer)
		case *wire.Look:
			o.Look(m, answer)
		}
	}
	var try func()
	try = func() {
		if isDone || p.now >= until {
			return
		}
		next++
		p.sendToStore(from, p.stores[next%len(p.stores)], send, func(reply any) {
			if !isDone && p.now < until && isFromOwner(reply) {
				isDone = true
				done(reply)
			}
		})
		p.After(askInterval, try)
	}
	try()
}

// askInterval is the time after which a request is sent to the next store.
const askInterval = 80 * time.Millisecond

// isFromOwner reports whether a reply comes from the owner of the place.
func isFromOwner(reply any) bool {
	kind := ""
	switch m := reply.(type) {
	case *wire.Taken:
		kind = m.Kind
	case *wire.Sight:
		kind = m.Kind
	}
	return kind != string(errs.NotOwner) && kind != string(errs.Undecided)
}

// homeOfKey returns the home of an operation key in the simulation.
func homeOfKey(key string) int64 { return intake.HomeOf(key, keyPlaces) }
