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
	keysSpan    = 40 * time.Second       // in which operations begin and faults are caused
	keyWindow   = 10 * time.Second       // in which an operation key names one message
	keysPause   = 150 * time.Millisecond // between two operations, of each tenant
	mostRepeats = 5                      // sends of one operation, besides the first
	hangUpSoon  = 300 * time.Millisecond // the longest that some callers wait
	keysSettle  = 150 * time.Second      // for all that is held to run, or to be given up
)

// keyedSend is one try of an operation: the token that its run is known by, and when it was sent.
type keyedSend struct {
	token string
	at    time.Duration
}

// keyed is an operation: what one tenant sends with one key. Each send names the message anew, as fronts do that
// know nothing of each other.
type keyed struct {
	tenant, key string
	lane, order string
	sends       []keyedSend
	accepted    string // the name that the first accepted send was told
}

// Keys simulates a place whose callers send messages again with their operation keys.
type Keys struct {
	*Places
	Broken  []string
	byToken map[string]*keyed
}

// RunKeys hurts a place while tenants send messages again, and holds each operation to one message.
func RunKeys(seed uint64, chosen ...func(*Places)) *Keys {
	return RunKeysMutant(NoMutant, seed, chosen...)
}

// RunKeysMutant does the same with a guard taken out.
func RunKeysMutant(mutant Mutant, seed uint64, chosen ...func(*Places)) *Keys {
	k := &Keys{Places: NewPlaces(NewWorld(seed), 3, mutant), byToken: map[string]*keyed{}}
	k.retention = timing.KeyRetention(keyWindow)
	if mutant == ForgottenEnds {
		k.retention = keyWindow
	}
	k.rules = rulesWith(workBound, k.retention)
	for k.now < keysSpan {
		k.Run(k.now + keysPause)
		k.begin()
		k.hurt(chosen)
	}
	k.healAll()
	k.Run(k.now + keysSettle)
	k.judge()
	return k
}

// hurt causes a fault now and then, and starts what is down.
func (k *Keys) hurt(chosen []func(*Places)) {
	if !k.isWhole() {
		k.hurtAt = k.now
	}
	if k.Rand.IntN(15) == 0 {
		k.soon(func() { chosen[k.Rand.IntN(len(chosen))](k.Places) })
	}
	if k.Rand.IntN(10) == 0 {
		if k.now >= k.away {
			k.store().start()
		}
		k.adapter().start()
	}
}

// begin has two tenants send a message each with the same key, and some of them again within its window.
func (k *Keys) begin() {
	k.serial++
	for _, tenant := range []string{"hall", "grower"} {
		o := &keyed{tenant: tenant, key: fmt.Sprint("op", k.serial), lane: "free"}
		if k.Rand.IntN(3) == 0 {
			o.lane, o.order = "seq", wire.ScopedKey(tenant, fmt.Sprint("thing", k.Rand.IntN(8)))
		}
		k.send(o)
		for range k.Rand.IntN(mostRepeats + 1) {
			k.After(time.Duration(k.Rand.Int64N(int64(keyWindow))), func() { k.send(o) })
		}
	}
}

// idOf names the message of an operation as an intake does.
func (k *Keys) idOf(o *keyed) string {
	if k.mutant == NewIdForRetry {
		return fmt.Sprintf("0-%s-%d", o.key, k.Rand.Uint64())
	}
	return "0-" + intake.OperationToken(o.tenant, o.key)
}

// send makes one try.
func (k *Keys) send(o *keyed) {
	token := fmt.Sprintf("%s/%s.%d", o.tenant, o.key, len(o.sends))
	o.sends = append(o.sends, keyedSend{token, k.now})
	k.byToken[token] = o
	take := &wire.Take{Id: k.idOf(o), Lane: o.lane, Key: o.order, Body: []byte(token), Checksum: "sum of " + o.key,
		Deadline: (2 * time.Minute).Milliseconds()}
	patience := timing.Default.Of(timing.SettleTimeout)
	if k.Rand.IntN(3) == 0 { // the caller hangs up, and nobody knows what becomes of this try
		patience = time.Duration(k.Rand.Int64N(int64(hangUpSoon)))
	}
	k.reach(patience, func(p placeOwner, answer func(any)) { p.Take(take, answer) }, func(got *wire.Taken, _ bool) {
		if got != nil && got.Kind == "" {
			k.wasAccepted(o, got.Id)
		}
		if got != nil && got.Kind == string(errs.Rejected) {
			k.Broken = append(k.Broken, fmt.Sprintf("%s was rejected, which nobody had asked for", token))
		}
	})
}

func (k *Keys) wasAccepted(o *keyed, id string) {
	switch {
	case o.accepted == "":
		o.accepted = id
	case o.accepted != id:
		k.Broken = append(k.Broken, fmt.Sprintf("%s of %s was accepted as %s and as %s", o.key, o.tenant, o.accepted, id))
	}
}

// judge: of an operation one send runs, however often it is sent. What becomes of it else, the kind "place" holds.
func (k *Keys) judge() {
	ran := map[*keyed]string{}
	for _, r := range k.runs {
		o := k.byToken[r.Token]
		if first, isKnown := ran[o]; isKnown && first != r.Token {
			k.Broken = append(k.Broken, fmt.Sprintf("TWICE: %s and %s both ran: one operation key", first, r.Token))
		}
		ran[o] = r.Token
	}
	k.Broken = append(k.Broken, textsOf(k.broken)...)
}

func textsOf(breaches []check.Breach) (out []string) {
	for _, b := range breaches {
		out = append(out, b.Rule+": "+b.Text)
	}
	return out
}
