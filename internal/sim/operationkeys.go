package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Parameters of the simulation of operation keys.
const (
	keyPlaces       = 3                      // places, each with a group of its own
	keyFronts       = 4                      // adapters that accept messages
	keysFaultTime   = 40 * time.Second       // time during which operations start and faults are injected
	upgradeTime     = 90 * time.Second       // the same, if the fleet is upgraded meanwhile
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

// keyedOperation is an operation: all sends by one caller with one operation key.
type keyedOperation struct {
	tenant, key string
	apiKeys     []string // a send shows one of them
	orders      []string // a send carries one of these ordering keys; "" for none
	path        string
	sends       []sendAttempt
	acceptedId  string // message id returned by the first send that was accepted
}

// OperationKeys simulates several places whose callers send messages repeatedly with operation keys, through adapters
// that share no state, while the configuration changes and stores and adapters are upgraded.
type OperationKeys struct {
	*World
	Breaches  []string
	places    []*PlaceCluster
	fronts    []*keyFront
	configs   *keyConfigs
	byToken   map[string]*keyedOperation
	serial    int
	mutant    Mutant
	isUpgrade bool // the world starts with stores and adapters of the build before claims
	// When all adapters claimed operation keys and all places recorded claims; 0 before.
	upgradedAt time.Duration
}

// RunOperationKeys injects faults into places while tenants resend messages, and checks that each operation
// runs as one message only.
func RunOperationKeys(seed uint64, faults ...func(*PlaceCluster)) *OperationKeys {
	return RunOperationKeysMutant(NoMutant, seed, faults...)
}

// RunOperationKeysMutant is RunOperationKeys with one safeguard removed.
func RunOperationKeysMutant(mutant Mutant, seed uint64, faults ...func(*PlaceCluster)) *OperationKeys {
	k := &OperationKeys{World: NewWorld(seed), byToken: map[string]*keyedOperation{}, mutant: mutant, isUpgrade: seed%3 == 0}
	k.createPlaces()
	k.configs = newKeyConfigs(k)
	for i := range keyFronts {
		k.fronts = append(k.fronts, newKeyFront(k, fmt.Sprintf("f%d", i+1)))
	}
	k.configs.start()
	k.planUpgrade()
	for k.now < k.faultTime() {
		k.Run(k.now + keysInterval)
		k.startOperations()
		k.injectFaults(faults)
		k.noteUpgrade()
	}
	k.configs.stop()
	for _, p := range k.places {
		p.healAll()
	}
	k.Run(k.now + keysSettleTime)
	k.checkRunOnce()
	return k
}

// faultTime returns until when operations start and faults are injected.
func (k *OperationKeys) faultTime() time.Duration {
	if k.isUpgrade {
		return upgradeTime
	}
	return keysFaultTime
}

// createPlaces creates the places, each with three stores.
func (k *OperationKeys) createPlaces() {
	level := place.NewestLevel
	if k.isUpgrade {
		level = place.LevelQuotas
	}
	for range keyPlaces {
		p := newMixedPlaceCluster(k.World, 3, k.mutant, func(string) int64 { return level })
		p.retention = timing.KeyRetention(keyWindow)
		if k.mutant == ShortRetention {
			p.retention = keyWindow
		}
		k.places = append(k.places, p)
	}
}

// injectFaults injects faults at random intervals and restarts stopped stores and adapters.
func (k *OperationKeys) injectFaults(faults []func(*PlaceCluster)) {
	for _, p := range k.places {
		if !p.isHealthy() {
			p.degradedAt = p.now
		}
		if p.Rand.IntN(15*keyPlaces) == 0 {
			p.scheduleFault(func() { faults[p.Rand.IntN(len(faults))](p) })
		}
		if p.Rand.IntN(10) == 0 {
			if p.now >= p.storesDownUntil {
				p.randomStore().start()
			}
			p.randomAdapter().start()
		}
	}
}

// startOperations lets two tenants each send a message with the same operation key, and resends some of them
// within the key's window.
func (k *OperationKeys) startOperations() {
	k.serial++
	for _, tenant := range keyTenants {
		o := &keyedOperation{tenant: tenant, key: k.configs.operationKeyOf(tenant, k.serial), path: keyPaths[k.Rand.IntN(len(keyPaths))]}
		o.apiKeys = k.configs.apiKeysOf(tenant)
		o.orders = k.configs.drawOrders()
		k.sendOnce(o)
		for range k.Rand.IntN(maxRepeats + 1) {
			k.After(time.Duration(k.Rand.Int64N(int64(keyWindow))), func() { k.sendOnce(o) })
		}
	}
}

// sendOnce sends the operation's message once, through a random adapter.
func (k *OperationKeys) sendOnce(o *keyedOperation) {
	token := fmt.Sprintf("%s/%s.%d", o.tenant, o.key, len(o.sends))
	o.sends = append(o.sends, sendAttempt{token, k.now})
	k.byToken[token] = o
	timeout := timing.Default.Of(timing.SettleTimeout)
	if k.Rand.IntN(3) == 0 { // the caller gives up early, so the outcome of this send is unknown to it
		timeout = time.Duration(k.Rand.Int64N(int64(maxShortTimeout)))
	}
	front := k.fronts[k.Rand.IntN(len(k.fronts))]
	front.send(o, token, timeout, func(got *wire.Taken) {
		if got.Kind == "" {
			k.recordAccepted(o, token, got.Id)
		}
		if got.Kind == string(errs.Rejected) {
			k.Breaches = append(k.Breaches, fmt.Sprintf("%s was rejected, but no caller had requested to settle it", token))
		}
	})
}

// recordAccepted checks that all accepted sends of an operation were given the same message id.
func (k *OperationKeys) recordAccepted(o *keyedOperation, token, id string) {
	k.Tracef("%s was accepted as %s", token, id)
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
	for _, p := range k.places {
		for _, r := range p.runs {
			o := k.byToken[r.Token]
			if first, isKnown := ran[o]; isKnown && first != r.Token {
				k.Breaches = append(k.Breaches, fmt.Sprintf("TWICE: %s and %s both ran with one operation key", first, r.Token))
			}
			ran[o] = r.Token
		}
		k.Breaches = append(k.Breaches, breachTexts(p.breaches)...)
	}
}

// breachTexts formats breaches as "rule: text".
func breachTexts(breaches []check.Breach) (out []string) {
	for _, b := range breaches {
		out = append(out, b.Rule+": "+b.Text)
	}
	return out
}
