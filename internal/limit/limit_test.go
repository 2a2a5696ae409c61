package limit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/intake"
	"caperwheel/internal/quota"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

var _ intake.Limiter = (*Limiter)(nil)

// owner is a fake owner of all places. It answers at once, or not at all while its mutex is held.
type owner struct {
	mu     sync.Mutex
	ledger *quota.Allocator
	now    time.Duration
	asks   int
	err    error
	limit  config.Tenant
}

// ask grants tokens, or returns the error that is set.
func (o *owner) ask(_ context.Context, _ int64, ask *wire.QuotaAsk) (*wire.QuotaGrants, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asks++
	if o.err != nil {
		return nil, o.err
	}
	batch := quota.Batch{Limits: []quota.Limit{quota.LimitOf(o.limit.Name, o.limit.Rate, o.limit.Burst)}}
	for _, count := range ask.Counts {
		batch.Asks = append(batch.Asks, quota.Ask{Holder: ask.Holder, Lease: ask.Lease, Count: count})
	}
	return &wire.QuotaGrants{Grants: o.ledger.Apply(o.now.Milliseconds(), batch)}, nil
}

// clock returns the simulated time.
func (o *owner) clock() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.now
}

// count returns the number of requests.
func (o *owner) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.asks
}

// newOwner returns an owner with a tenant's limit, and a limiter that uses it.
func newOwner(limit config.Tenant) (*owner, *Limiter) {
	o := &owner{ledger: quota.NewAllocator(), now: time.Minute, limit: limit}
	return o, New(Options{Holder: "front", Places: 7, Bounds: timing.Default, Now: o.clock, RequestTokens: o.ask})
}

// noTimeouts is a clock without time-outs, so that messages wait until they are decided.
type noTimeouts struct{}

// Within implements timing.Clock.
func (noTimeouts) Within(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

// Wait implements timing.Clock.
func (noTimeouts) Wait(context.Context, time.Duration) {}

// TestAdmissions checks which messages are admitted under a limit.
func TestAdmissions(t *testing.T) {
	ctx := timing.WithClock(context.Background(), noTimeouts{})
	halls := config.Tenant{Name: "halls", Rate: 10, Burst: 10}
	Convey("A tenant with a limit", t, func() {
		o, limits := newOwner(halls)
		admit := func() error {
			permit, err := limits.Admit(ctx, halls)
			if err == nil {
				permit.End(true)
			}
			return err
		}
		Convey("has exactly as many messages admitted as its burst", func() {
			admitted := 0
			for range 40 {
				if err := admit(); err == nil {
					admitted++
				} else {
					So(errs.KindOf(err), ShouldEqual, errs.OverQuota)
				}
			}
			So(admitted, ShouldEqual, 10)
			Convey("and further messages are refused without a request to its place", func() {
				asks := o.count()
				for range 1000 {
					So(errs.KindOf(admit()), ShouldEqual, errs.OverQuota)
				}
				So(o.count(), ShouldEqual, asks)
			})
		})
		Convey("gets its token back if the message was not accepted", func() {
			for range 40 {
				permit, err := limits.Admit(ctx, halls)
				So(err, ShouldBeNil)
				permit.End(false)
			}
		})
		Convey("has nothing admitted while its place is unreachable", func() {
			o.err = errs.New(errs.NotOwner, "no owner of the place was found")
			So(errs.KindOf(admit()), ShouldEqual, errs.Lost)
		})
		Convey("has nothing admitted under a limit that its place does not know", func() {
			o.limit.Name = "others"
			So(errs.KindOf(admit()), ShouldEqual, errs.Lost)
		})
		Convey("gets an error when the caller no longer waits", func() {
			over, cancel := context.WithCancel(ctx)
			cancel()
			o.mu.Lock() // the owner does not answer
			limits.options.Now = func() time.Duration { return time.Minute }
			_, err := limits.Admit(over, halls)
			o.mu.Unlock()
			So(errs.KindOf(err), ShouldEqual, errs.Lost)
		})
	})
	Convey("A tenant without a limit is admitted without a request to any place", t, func() {
		o, limits := newOwner(halls)
		for range 100 {
			permit, err := limits.Admit(ctx, config.Tenant{Name: "free"})
			So(err, ShouldBeNil)
			permit.End(true)
		}
		So(o.count(), ShouldEqual, 0)
	})
	Convey("Of many concurrent messages, under a limit that suffices for half of them, no more are admitted", t, func() {
		_, limits := newOwner(config.Tenant{Name: "halls", Rate: 10, Burst: 100})
		var all sync.WaitGroup
		var mu sync.Mutex
		admitted := 0
		for range 200 {
			all.Go(func() {
				if permit, err := limits.Admit(ctx, halls); err == nil {
					permit.End(true)
					mu.Lock()
					admitted++
					mu.Unlock()
				}
			})
		}
		all.Wait()
		So(admitted, ShouldBeGreaterThan, 0)
		So(admitted, ShouldBeLessThanOrEqualTo, 100)
	})
	Convey("Tenants are spread over places", t, func() {
		places := map[int64]int{}
		for i := range 700 {
			places[PlaceOf(fmt.Sprint("tenant ", i), 7)]++
		}
		So(len(places), ShouldEqual, 7)
		for _, n := range places {
			So(n, ShouldBeBetween, 60, 140)
		}
	})
}
