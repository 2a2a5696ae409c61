package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/intake"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Parameters of the simulation of operation keys.
const (
	keysFaultTime   = 40 * time.Second       // time during which operations start and faults are injected
	keyWindow       = 10 * time.Second       // time during which an operation key identifies one message
	keysInterval    = 150 * time.Millisecond // between two operations of each tenant
	maxRepeats      = 5                      // sends of one operation after the first
	maxShortTimeout = 300 * time.Millisecond // upper bound of the callers' short time-outs
	keysSettleTime  = 150 * time.Second      // time for all accepted messages to run or to expire
)

// sendAttempt is one send of an operation: the token that identifies its run, and the time of the send.
type sendAttempt struct {
	token string
	at    time.Duration
}

// keyedOperation is an operation: all sends by one tenant with one operation key. Each send builds the
// message anew, since the front ends do not share state.
type keyedOperation struct {
	tenant, key string
	lane, order string
	sends       []sendAttempt
	acceptedId  string // message id returned by the first send that was accepted
}

// OperationKeys simulates a place whose callers send messages repeatedly with operation keys.
type OperationKeys struct {
	*PlaceCluster
	Breaches []string
	byToken  map[string]*keyedOperation
}

// RunOperationKeys injects faults into a place while tenants resend messages, and checks that each operation
// runs as one message only.
func RunOperationKeys(seed uint64, faults ...func(*PlaceCluster)) *OperationKeys {
	return RunOperationKeysMutant(NoMutant, seed, faults...)
}

// RunOperationKeysMutant is RunOperationKeys with one safeguard removed.
func RunOperationKeysMutant(mutant Mutant, seed uint64, faults ...func(*PlaceCluster)) *OperationKeys {
	k := &OperationKeys{PlaceCluster: NewPlaceCluster(NewWorld(seed), 3, mutant), byToken: map[string]*keyedOperation{}}
	k.retention = timing.KeyRetention(keyWindow)
	if mutant == ShortRetention {
		k.retention = keyWindow
	}
	k.rules = compileRules(defaultRunTimeout, k.retention)
	for k.now < keysFaultTime {
		k.Run(k.now + keysInterval)
		k.startOperations()
		k.injectFaults(faults)
	}
	k.healAll()
	k.Run(k.now + keysSettleTime)
	k.checkRunOnce()
	return k
}

// injectFaults injects a fault at random intervals and restarts stopped stores and adapters.
func (k *OperationKeys) injectFaults(faults []func(*PlaceCluster)) {
	if !k.isHealthy() {
		k.degradedAt = k.now
	}
	if k.Rand.IntN(15) == 0 {
		k.scheduleFault(func() { faults[k.Rand.IntN(len(faults))](k.PlaceCluster) })
	}
	if k.Rand.IntN(10) == 0 {
		if k.now >= k.storesDownUntil {
			k.randomStore().start()
		}
		k.randomAdapter().start()
	}
}

// startOperations lets two tenants each send a message with the same operation key, and resends some of them
// within the key's window.
func (k *OperationKeys) startOperations() {
	k.serial++
	for _, tenant := range []string{"hall", "grower"} {
		o := &keyedOperation{tenant: tenant, key: fmt.Sprint("op", k.serial), lane: "free"}
		if k.Rand.IntN(3) == 0 {
			o.lane, o.order = "seq", wire.ScopedKey(tenant, fmt.Sprint("thing", k.Rand.IntN(8)))
		}
		k.sendOnce(o)
		for range k.Rand.IntN(maxRepeats + 1) {
			k.After(time.Duration(k.Rand.Int64N(int64(keyWindow))), func() { k.sendOnce(o) })
		}
	}
}

// messageId returns the message id that an intake derives for the operation. Under the mutant NewIdForRetry
// every send gets an id of its own.
func (k *OperationKeys) messageId(o *keyedOperation) string {
	if k.mutant == NewIdForRetry {
		return fmt.Sprintf("0-%s-%d", o.key, k.Rand.Uint64())
	}
	return "0-" + intake.OperationToken(o.tenant, o.key)
}

// sendOnce sends the operation's message once.
func (k *OperationKeys) sendOnce(o *keyedOperation) {
	token := fmt.Sprintf("%s/%s.%d", o.tenant, o.key, len(o.sends))
	o.sends = append(o.sends, sendAttempt{token, k.now})
	k.byToken[token] = o
	take := &wire.Take{Id: k.messageId(o), Lane: o.lane, Key: o.order, Body: []byte(token), Checksum: "sum of " + o.key,
		Deadline: (2 * time.Minute).Milliseconds()}
	timeout := timing.Default.Of(timing.SettleTimeout)
	if k.Rand.IntN(3) == 0 { // the caller gives up early, so the outcome of this send is unknown to it
		timeout = time.Duration(k.Rand.Int64N(int64(maxShortTimeout)))
	}
	k.callOwner(timeout, func(p placeOwner, answer func(any)) { p.Take(take, answer) }, func(got *wire.Taken, _ bool) {
		if got != nil && got.Kind == "" {
			k.recordAccepted(o, got.Id)
		}
		if got != nil && got.Kind == string(errs.Rejected) {
			k.Breaches = append(k.Breaches, fmt.Sprintf("%s was rejected, but no caller had requested to settle it", token))
		}
	})
}

// recordAccepted checks that all accepted sends of an operation were given the same message id.
func (k *OperationKeys) recordAccepted(o *keyedOperation, id string) {
	switch {
	case o.acceptedId == "":
		o.acceptedId = id
	case o.acceptedId != id:
		k.Breaches = append(k.Breaches, fmt.Sprintf("operation %s of tenant %s was accepted under two message ids: %s and %s", o.key, o.tenant, o.acceptedId, id))
	}
}

// checkRunOnce checks that of all sends of an operation at most one has run. The other rules for messages
// are checked by the sweep kind "place".
func (k *OperationKeys) checkRunOnce() {
	ran := map[*keyedOperation]string{}
	for _, r := range k.runs {
		o := k.byToken[r.Token]
		if first, isKnown := ran[o]; isKnown && first != r.Token {
			k.Breaches = append(k.Breaches, fmt.Sprintf("TWICE: %s and %s both ran with one operation key", first, r.Token))
		}
		ran[o] = r.Token
	}
	k.Breaches = append(k.Breaches, breachTexts(k.breaches)...)
}

// breachTexts formats breaches as "rule: text".
func breachTexts(breaches []check.Breach) (out []string) {
	for _, b := range breaches {
		out = append(out, b.Rule+": "+b.Text)
	}
	return out
}
