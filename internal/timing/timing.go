// Package timing derives every time constant of the system from the few bounds
// in the settings, as ratios, and runs periodic work.
package timing

import (
	"context"
	"net"
	"time"
)

// Bounds are the times an operator promises to users. All else is a ratio.
type Bounds struct {
	// Config is the time within which an acknowledged configuration holds everywhere.
	ConfigApply time.Duration
}

// Default is the bound of the brief.
var Default = Bounds{ConfigApply: 3 * time.Second}

// Ratio is a part of a bound, in thousandths.
type Ratio int64

// Ratios to the configuration bound. Invariant: Fresh + Poll*3 stays below 1000, so
// a daemon that hears nothing stops before the bound has passed.
const (
	ViewAgeLimit        Ratio = 700   // a view older than this stops its daemon
	StalePoll           Ratio = 10    // a daemon whose view is not fresh asks this often
	Poll                Ratio = 80    // one hop of the feed asks this often
	AnswerTimeout       Ratio = 250   // most waits for one daemon's word end by then
	Heartbeat           Ratio = 40    // an owner's heartbeat
	Tick                Ratio = 10    // how finely a replica and its place look at the time
	DispatchInterval    Ratio = 10    // a store looks this often for slots that it could not have at once
	FinalReadTimeout    Ratio = 10    // a waiting connection is read for so long once more before a stopping server ends it
	SlotScanInterval    Ratio = 5     // a duty's holder looks this often for slots that have come free with time
	BatchDelayLimit     Ratio = 3     // proposals of a group are gathered for so long at most
	TransferTimeout     Ratio = 100   // a successor that has not taken over by then does not
	ElectionTimeout     Ratio = 130   // least silence of an owner before a replica campaigns
	ElectionSpread      Ratio = 130   // random spread added to Silence
	SessionTimeout      Ratio = 700   // a daemon silent this long has lost its session
	DrainNotice         Ratio = 300   // a stopping store waits this long for word of others that stop: a poll, a share between managers, a poll
	ReplaceTimeout      Ratio = 300   // a store that has had no session this long gives its seats to its successor
	ReassignTimeout     Ratio = 4000  // and after this to any other store, if its zone has not gone with it
	AdapterLossTimeout  Ratio = 1000  // runs of an adapter that has had no session this long are begun anew elsewhere
	TimeCommitInterval  Ratio = 250   // an owner commits its group's time this often while a span runs in it
	TimeQueryTimeout    Ratio = 100   // a new owner listens this long for what its group's time is, and as long for one adapter's word
	TimeQueryGrace      Ratio = 50    // and for what others know, once one has told it
	TimeRecoveryTimeout Ratio = 1000  // once an adapter has answered, it waits no longer than this for others that are silent
	TimeRecoveryMaxWait Ratio = 4000  // nor longer than this where none has answered, without which nothing is served
	OrderMaxAge         Ratio = 10000 // the age of an operators' order without a number matters for so long
	ZoneOutageTimeout   Ratio = 40000 // a zone without any store is waited for so long
	JoinInterval        Ratio = 50    // a store that belongs to no deployment looks for one this often
	KeepAlive           Ratio = 150   // an idle transport session sends an empty frame
	ConnectionTimeout   Ratio = 600   // a transport session that hears nothing is closed
	RedialDelay         Ratio = 60    // pause before a new dial
	AttemptTimeout      Ratio = 50    // one try to have a message held waits this long for a store's word
	StallTimeout        Ratio = 100   // a place whose proposals wait longer for their commit takes no message on; over Try
	DialTimeout         Ratio = 170   // a worker that takes no connection within this cannot be asked
	CallbackTimeout     Ratio = 500   // whoever is told of an end answers within this
	SettleTimeout       Ratio = 500   // an adapter tries this long to settle a batch's fate
	Fence               Ratio = 1000  // a new duty holder waits this long before it acts
	Permit              Ratio = 300   // a granted slot lapses unused after this
	SlotRequestHold     Ratio = 30    // an ask for a slot waits at the holder this long
	LongPollTimeout     Ratio = 300   // an owner keeps who waits for a message's end this long; less than Settle
	SettingsReload      Ratio = 500   // the settings file is looked at this often
	ProbeIdle           Ratio = 330   // a connection that was idle this long is probed, and again after as long; at least 1 s
	ListInterval        Ratio = 160   // the source of workers is read this often
	QuotaLease          Ratio = 500   // an adapter may spend the tokens of a tenant for so long after it asked
	QuotaMinInterval    Ratio = 30    // least pause between two asks for a tenant that no message waits for
	QuotaHorizon        Ratio = 400   // tokens are held for the messages of this span
	QuotaWaitTimeout    Ratio = 40    // a message waits this long for a token
	QuotaAnswerTimeout  Ratio = 100   // an ask that is not answered within this is sent again, and counts should it be answered yet
	QuotaPollInterval   Ratio = 25    // an adapter looks this often for what to ask and tell
	Resend              Ratio = 60    // a result not yet acknowledged is sent again
)

// AnswerMarginDivisor: a worker's answer is waited for so much of a run's bound longer
// than the worker has, since the answer has a way to come.
const AnswerMarginDivisor = 10

// Of gives the ratio's share of the configuration bound.
func (b Bounds) Of(r Ratio) time.Duration { return b.ConfigApply * time.Duration(r) / 1000 }

// KeepAliveConfig have the system probe a silent TCP connection, so that a dead peer is
// noticed though nothing is written to it.
func (b Bounds) KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: b.Of(ProbeIdle), Interval: b.Of(ProbeIdle), Count: 2}
}

// EveryPaced calls work at once and then after each pause that it asks for, until
// ctx ends.
func EveryPaced(ctx context.Context, pause func() time.Duration, work func()) {
	for ctx.Err() == nil {
		work()
		Wait(ctx, pause())
	}
}

// Wait returns after a time by the clock of ctx, or when ctx ends.
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

// Every calls work once per period until ctx ends.
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
