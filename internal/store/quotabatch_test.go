package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// quotaHarness returns a harness whose group supports quotas, with a tenant of 10 messages a second and a burst of 10.
func quotaHarness() *harness {
	b := newHarness()
	b.rules.Tenants = map[string]config.Tenant{"halls": {Name: "halls", Rate: 10, Burst: 10}, "free": {Name: "free"}}
	b.place.machine.Apply(place.RaiseLevel(place.LevelQuotas))
	return b
}

// askQuota requests tokens. The reply is stored in the returned value once it has come.
func askQuota(b *harness, holder string, counts ...wire.QuotaCount) *wire.QuotaGrants {
	got := &wire.QuotaGrants{}
	b.place.RequestQuota(&wire.QuotaAsk{Holder: holder, Lease: 1500, Counts: counts}, func(reply any) { *got = *reply.(*wire.QuotaGrants) })
	return got
}

// quotaNeed is a report of a holder that needs tokens in its first epoch.
func quotaNeed(tenant string, need int64) wire.QuotaCount {
	return wire.QuotaCount{Tenant: tenant, Epoch: 1, Need: need}
}

func TestCountsOfTenants(t *testing.T) {
	Convey("Given a place that supports quotas", t, func() {
		b := quotaHarness()
		Convey("a request is answered once its batch is committed, and not before", func() {
			got := askQuota(b, "a", quotaNeed("halls", 4))
			So(got.Grants, ShouldBeNil)
			b.commit(true)
			So(got.Kind, ShouldBeBlank)
			So(got.Grants[0].Granted, ShouldEqual, 4)
		})
		Convey("requests that arrive while a batch is being committed form one batch", func() {
			first := askQuota(b, "a", quotaNeed("halls", 1))
			second, third := askQuota(b, "b", quotaNeed("halls", 2), quotaNeed("free", 9)), askQuota(b, "c", quotaNeed("unknown", 1), quotaNeed("halls", 3))
			So(len(b.proposed), ShouldEqual, 1)
			b.proposed[0](true)
			b.proposed = b.proposed[1:]
			So(first.Grants[0].Granted, ShouldEqual, 1)
			So(len(b.proposed), ShouldEqual, 1)
			b.commit(true)
			So(len(second.Grants), ShouldEqual, 1) // a tenant that is unknown or has no limit gets no grant
			So(len(third.Grants), ShouldEqual, 1)
			So([]int64{second.Grants[0].Granted, third.Grants[0].Granted}, ShouldResemble, []int64{2, 3})
			So(b.place.machine.HeldTokens(), ShouldEqual, 6)
		})
		Convey("a batch that is not committed grants nothing", func() {
			got := askQuota(b, "a", quotaNeed("halls", 4))
			b.commit(false)
			So(got.Kind, ShouldEqual, string(errs.Undecided))
			So(got.Grants, ShouldBeEmpty)
			So(b.place.machine.HeldTokens(), ShouldEqual, 0)
		})
		Convey("the next owner takes over the tokens granted before", func() {
			askQuota(b, "a", quotaNeed("halls", 8))
			b.commit(true)
			next := NewPlaceHost(b, 0)
			So(next.Restore(b.place.Snapshot()), ShouldBeNil)
			b.place = next
			next.Attach(b)
			takeOwnership(next)
			got := askQuota(b, "b", quotaNeed("halls", 8))
			b.commit(true)
			So(got.Grants[0].Granted, ShouldEqual, 2)
		})
		Convey("an ownership that ends answers the queued requests", func() {
			askQuota(b, "a", quotaNeed("halls", 1))
			got := askQuota(b, "b", quotaNeed("halls", 1))
			b.place.OwnershipChanged(false)
			So(got.Kind, ShouldEqual, string(errs.NotOwner))
			b.commit(false)
			So(b.proposed, ShouldBeEmpty)
		})
		Convey("a lower limit in the owner's view applies to its next batch", func() {
			b.rules.Tenants["halls"] = config.Tenant{Name: "halls", Rate: 1, Burst: 2}
			got := askQuota(b, "a", quotaNeed("halls", 8))
			b.commit(true)
			So(got.Grants[0].Granted, ShouldEqual, 2)
		})
		Convey("nothing is granted", func() {
			for _, c := range []struct {
				name  string
				given func()
				ask   wire.QuotaAsk
				kind  errs.Kind
			}{
				{"by a store that does not own the place", func() { b.isFollower = true }, wire.QuotaAsk{Holder: "a", Lease: 1}, errs.NotOwner},
				{"while the owner's view is stale", func() { b.freshAnswers = []bool{false} }, wire.QuotaAsk{Holder: "a", Lease: 1}, errs.Stale},
				{"for no lease", func() {}, wire.QuotaAsk{Holder: "a"}, errs.Invalid},
				{"for a lease above the limit", func() {}, wire.QuotaAsk{Holder: "a", Lease: leaseLimitMs + 1}, errs.Invalid},
				{"to an empty holder name", func() {}, wire.QuotaAsk{Lease: 1}, errs.Invalid},
				{"before the group's feature level supports quotas", func() { b.place.machine = place.New() }, wire.QuotaAsk{Holder: "a", Lease: 1}, errs.Stale},
			} {
				Convey(c.name, func() {
					c.given()
					c.ask.Counts = []wire.QuotaCount{quotaNeed("halls", 1)}
					var got *wire.QuotaGrants
					b.place.RequestQuota(&c.ask, func(reply any) { got = reply.(*wire.QuotaGrants) })
					So(got.Kind, ShouldEqual, string(c.kind))
					So(b.proposed, ShouldBeEmpty)
				})
			}
		})
		Convey("requests beyond the queue limit are refused", func() {
			for range maxQueuedQuotaRequests + 1 {
				askQuota(b, "a", quotaNeed("halls", 1))
			}
			So(askQuota(b, "a", quotaNeed("halls", 1)).Kind, ShouldEqual, string(errs.Full))
		})
	})
}

// TestRepeatsAreTold checks that the reply to a repeated message says so, since a repeat must not count against a
// limit.
func TestRepeatsAreTold(t *testing.T) {
	Convey("A repeated message is reported as a repeat", t, func() {
		b := newHarness()
		send := func() *wire.Taken {
			got := &wire.Taken{}
			b.place.Take(&wire.Take{Id: "0-x", Lane: "l", Deadline: 600_000}, func(reply any) { *got = *reply.(*wire.Taken) })
			return got
		}
		first, meanwhile := send(), send()
		b.commit(true)
		So([]bool{first.IsRepeat, meanwhile.IsRepeat, send().IsRepeat}, ShouldResemble, []bool{false, true, true})
		b.now += time.Second
		So(send().IsRepeat, ShouldBeTrue)
	})
	Convey("A message that is not accepted is not reported as a repeat to those who joined its request", t, func() {
		b := newHarness()
		answers := []*wire.Taken{}
		for range 2 {
			b.place.Take(&wire.Take{Id: "0-x", Lane: "l"}, func(reply any) { answers = append(answers, reply.(*wire.Taken)) })
		}
		b.commit(false)
		for _, taken := range answers {
			So(taken.Kind, ShouldNotBeBlank)
			So(taken.IsRepeat, ShouldBeFalse)
		}
	})
}
