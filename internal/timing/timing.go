// Package timing derives the time constants of the system, as ratios, from the few bounds in the settings. It also
// provides timeouts, waits and periodic work on a clock that the simulation can replace. All daemons use it.
package timing

import (
	"context"
	"net"
	"time"
)

// Bounds are the time limits that an operator guarantees to users. All other times are ratios of them.
type Bounds struct {
	// ConfigApply is the time within which an acknowledged configuration is in effect everywhere.
	ConfigApply time.Duration
}

// Default is the bound that the system is specified for.
var Default = Bounds{ConfigApply: 3 * time.Second}

// Ratio is a fraction of a bound, in thousandths.
type Ratio int64

// Ratios to the configuration bound. Invariant: ViewAgeLimit + Poll*3 stays below 1000, so that a daemon which
// receives no more changes stops before the bound has passed.
const (
	ViewAgeLimit        Ratio = 700   // a daemon whose view is older stops working
	StalePoll           Ratio = 10    // interval at which a daemon polls while its view is not fresh
	Poll                Ratio = 80    // interval at which one hop of the feed polls
	AnswerTimeout       Ratio = 250   // most requests to one daemon time out after this
	Heartbeat           Ratio = 40    // interval of an owner's heartbeats
	Tick                Ratio = 10    // interval at which a replica and its place check the time
	DispatchInterval    Ratio = 10    // interval at which a store requests slots that it did not get at once
	FinalReadTimeout    Ratio = 10    // a stopping server reads an idle connection once more for this long
	SlotScanInterval    Ratio = 5     // interval at which the holder of a duty checks for slots that have become free
	BatchDelayLimit     Ratio = 3     // proposals of a group are batched for no longer than this
	TransferTimeout     Ratio = 100   // an ownership transfer is abandoned after this
	ElectionTimeout     Ratio = 130   // least silence of an owner before a replica campaigns
	ElectionSpread      Ratio = 130   // random spread added to ElectionTimeout
	SessionTimeout      Ratio = 700   // a daemon that is silent for this long loses its session
	DrainNotice         Ratio = 300   // wait to learn which stores stop: a poll, an exchange between managers, a poll
	ReplaceTimeout      Ratio = 300   // a store without a session for this long is replaced by a successor, if it has one
	ReassignTimeout     Ratio = 4000  // and after this by any other store, unless its whole zone is absent
	AdapterLossTimeout  Ratio = 1000  // runs of an adapter without a session for this long are started elsewhere
	TimeCommitInterval  Ratio = 250   // interval at which an owner commits its group's time while a delay runs
	TimeQueryTimeout    Ratio = 100   // wait for more adapters to report a group's time, and for one to store it
	TimeQueryGrace      Ratio = 50    // wait for other answers, once one adapter has reported the time
	TimeRecoveryTimeout Ratio = 1000  // limit on waiting for adapters that do not answer, once one has
	TimeRecoveryMaxWait Ratio = 4000  // limit if no adapter has answered; until then the place serves nothing
	OrderMaxAge         Ratio = 10000 // how long the age of an operator's order without a number matters
	ZoneOutageTimeout   Ratio = 40000 // a store is replaced only after this if its whole zone is absent
	JoinInterval        Ratio = 50    // interval at which a store without a deployment looks for one
	KeepAlive           Ratio = 150   // an idle transport session sends an empty frame after this
	ConnectionTimeout   Ratio = 600   // a transport session that receives nothing for this long is closed
	RedialDelay         Ratio = 60    // pause before a new dial
	AttemptTimeout      Ratio = 50    // one attempt to have a message accepted waits this long for a store's answer
	StallTimeout        Ratio = 100   // a place with older proposals accepts no messages; above AttemptTimeout
	DialTimeout         Ratio = 170   // a worker that accepts no connection within this is unreachable
	CallbackTimeout     Ratio = 500   // the receiver of a notification must answer within this
	SettleTimeout       Ratio = 500   // an adapter tries this long to settle whether a batch was accepted
	Fence               Ratio = 1000  // a new duty holder waits this long, until the old holder's view is stale
	Permit              Ratio = 300   // a granted slot that is not used expires after this
	SlotRequestHold     Ratio = 30    // a slot request waits at the holder for this long
	LongPollTimeout     Ratio = 300   // longest wait of a query for a message's end; below SettleTimeout
	SettingsReload      Ratio = 500   // interval at which the settings file is checked
	ProbeIdle           Ratio = 330   // a connection idle for this long is probed, and again after it; at least 1 s
	ListInterval        Ratio = 160   // interval at which the source of workers is read
	QuotaLease          Ratio = 500   // an adapter may spend a tenant's tokens for this long after its request
	QuotaMinInterval    Ratio = 30    // least pause between two requests for a tenant without waiting messages
	QuotaHorizon        Ratio = 400   // tokens are held for the messages of this span
	QuotaWaitTimeout    Ratio = 40    // a message waits this long for a token
	QuotaAnswerTimeout  Ratio = 100   // a request not answered within this is sent again; a later answer still counts
	QuotaPollInterval   Ratio = 25    // interval at which an adapter checks what to request and report
	Resend              Ratio = 60    // a result that is not acknowledged is sent again after this
)

// AnswerMarginDivisor is the divisor of a run's bound that gives the extra time to wait for the worker's answer, which
// the answer needs in transit.
const AnswerMarginDivisor = 10

// Of returns the ratio's share of the configuration bound.
func (b Bounds) Of(r Ratio) time.Duration { return b.ConfigApply * time.Duration(r) / 1000 }

// KeepAliveConfig makes the system probe a silent TCP connection, so that a dead peer is noticed although nothing is
// written to it.
func (b Bounds) KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: b.Of(ProbeIdle), Interval: b.Of(ProbeIdle), Count: 2}
}

// EveryPaced calls work at once and then after each pause that the pause function returns, until ctx ends.
func EveryPaced(ctx context.Context, pause func() time.Duration, work func()) {
	for ctx.Err() == nil {
		work()
		Wait(ctx, pause())
	}
}

// Wait returns after a span by the clock of ctx, or when ctx ends.
func Wait(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	if clock, isGiven := ctx.Value(clockKey{}).(Clock); isGiven {
		clock.Wait(ctx, span)
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every calls work once per period until ctx ends. The first call is after one period.
func Every(ctx context.Context, period time.Duration, work func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work()
		}
	}
}
