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

// Figures of a world of operation keys.
const (
	keysFaultTime   = 40 * time.Second       // in which operations begin and faults are caused
	keyWindow       = 10 * time.Second       // in which an operation key names one message
	keysInterval    = 150 * time.Millisecond // between two operations, of each tenant
	maxRepeats      = 5                      // sends of one operation, besides the first
	maxShortTimeout = 300 * time.Millisecond // the longest that some callers wait
	keysSettleTime  = 150 * time.Second      // for all that is held to run, or to be given up
)

// sendAttempt is one try of an operation: the token that its run is known by, and when it was sent.
type sendAttempt struct {
	token string
	at    time.Duration
}

// keyedOperation is an operation: what one tenant sends with one key. Each send names the message anew, as fronts do that
// know nothing of each other.
type keyedOperation struct {
	tenant, key string
	lane, order string
	sends       []sendAttempt
	acceptedId  string // the name that the first accepted send was told
}

// OperationKeys simulates a place whose callers send messages again with their operation keys.
type OperationKeys struct {
	*PlaceCluster
	Breaches []string
	byToken  map[string]*keyedOperation
}

// RunOperationKeys hurts a place while tenants send messages again, and holds each operation to one message.
func RunOperationKeys(seed uint64, faults ...func(*PlaceCluster)) *OperationKeys {
	return RunOperationKeysMutant(NoMutant, seed, faults...)
}

// RunOperationKeysMutant does the same with a guard taken out.
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

// hurt causes a fault now and then, and starts what is down.
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

// startOperations has two tenants send a message each with the same key, and some of them again within its window.
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

// messageId names the message of an operation as an intake does.
func (k *OperationKeys) messageId(o *keyedOperation) string {
	if k.mutant == NewIdForRetry {
		return fmt.Sprintf("0-%s-%d", o.key, k.Rand.Uint64())
	}
	return "0-" + intake.OperationToken(o.tenant, o.key)
}

// send makes one try.
func (k *OperationKeys) sendOnce(o *keyedOperation) {
	token := fmt.Sprintf("%s/%s.%d", o.tenant, o.key, len(o.sends))
	o.sends = append(o.sends, sendAttempt{token, k.now})
	k.byToken[token] = o
	take := &wire.Take{Id: k.messageId(o), Lane: o.lane, Key: o.order, Body: []byte(token), Checksum: "sum of " + o.key,
		Deadline: (2 * time.Minute).Milliseconds()}
	timeout := timing.Default.Of(timing.SettleTimeout)
	if k.Rand.IntN(3) == 0 { // the caller hangs up, and nobody knows what becomes of this try
		timeout = time.Duration(k.Rand.Int64N(int64(maxShortTimeout)))
	}
	k.callOwner(timeout, func(p placeOwner, answer func(any)) { p.Take(take, answer) }, func(got *wire.Taken, _ bool) {
		if got != nil && got.Kind == "" {
			k.recordAccepted(o, got.Id)
		}
		if got != nil && got.Kind == string(errs.Rejected) {
			k.Breaches = append(k.Breaches, fmt.Sprintf("%s was rejected, which nobody had asked for", token))
		}
	})
}

func (k *OperationKeys) recordAccepted(o *keyedOperation, id string) {
	switch {
	case o.acceptedId == "":
		o.acceptedId = id
	case o.acceptedId != id:
		k.Breaches = append(k.Breaches, fmt.Sprintf("%s of %s was accepted as %s and as %s", o.key, o.tenant, o.acceptedId, id))
	}
}

// judge: of an operation one send runs, however often it is sent. What becomes of it else, the kind "place" holds.
func (k *OperationKeys) checkRunOnce() {
	ran := map[*keyedOperation]string{}
	for _, r := range k.runs {
		o := k.byToken[r.Token]
		if first, isKnown := ran[o]; isKnown && first != r.Token {
			k.Breaches = append(k.Breaches, fmt.Sprintf("TWICE: %s and %s both ran: one operation key", first, r.Token))
		}
		ran[o] = r.Token
	}
	k.Breaches = append(k.Breaches, breachTexts(k.breaches)...)
}

func breachTexts(breaches []check.Breach) (out []string) {
	for _, b := range breaches {
		out = append(out, b.Rule+": "+b.Text)
	}
	return out
}
