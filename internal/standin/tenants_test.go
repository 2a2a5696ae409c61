package standin

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/check"
)

// TestCustomers checks that a seed always draws the same tenants, a few large and many small ones.
func TestCustomers(t *testing.T) {
	Convey("The same seed draws the same tenants", t, func() {
		for seed := uint64(1); seed < 30; seed++ {
			list, sum := customers(rand.New(rand.NewPCG(seed, 1)), 80), 0.0
			So(list, ShouldResemble, customers(rand.New(rand.NewPCG(seed, 1)), 80))
			for _, c := range list {
				sum += c.MessageShare
				So(c.Rate, ShouldBeGreaterThanOrEqualTo, c.MessageShare*80*limitHeadroom)
				So(c.ApiKeys, ShouldHaveLength, 1)
			}
			So(sum, ShouldAlmostEqual, 1, 1e-9)
			So(list[0].MessageShare, ShouldBeGreaterThan, 2*list[largeCustomers].MessageShare)
		}
	})
	Convey("An update lists the tenants that differ and those that were removed", t, func() {
		was := siteConfig{Tenants: tenantsOf(hallKey)}
		next := was.next()
		addKey(&next.Tenants[0])
		So(was.Tenants[0].ApiKeys, ShouldHaveLength, 1) // next has a copy
		set, removed := next.tenantUpdateFrom(was)
		So(set, ShouldResemble, next.Tenants[:1])
		So(removed, ShouldBeEmpty)
		next.Tenants = next.Tenants[:1]
		_, removed = next.tenantUpdateFrom(was)
		So(removed, ShouldResemble, []string{grower})
	})
}

// TestKeyring checks that clients mostly send a valid API key of their tenant, and sometimes something else.
func TestKeyring(t *testing.T) {
	Convey("Clients of a tenant whose old API key was removed mostly send the new one", t, func() {
		k := newKeyring(tenantsOf(hallKey))
		k.update(tenantsOf("api-key-new"))
		drawn, rng := map[string]int{}, rand.New(rand.NewPCG(1, 1))
		for range 1000 {
			drawn[k.draw(hall, rng)]++
		}
		So(drawn["api-key-new"], ShouldBeGreaterThan, 900)
		So(drawn[hallKey], ShouldBeGreaterThan, 5)
		So(drawn[""], ShouldBeGreaterThan, 1)
		So(len(drawn), ShouldBeGreaterThan, 5) // includes unknown keys
		So(k.valid(hall), ShouldEqual, "api-key-new")
		Convey("and keep sending removed keys once the tenant has lost all its keys", func() {
			k.update(tenantsOf())
			So(k.valid(hall), ShouldBeEmpty)
			drawn := map[string]int{}
			for range 1000 {
				drawn[k.draw(hall, rng)]++
			}
			So(drawn["api-key-new"]+drawn[hallKey], ShouldBeGreaterThan, 900)
		})
	})
	Convey("An API key is found in any field of a request", t, func() {
		r, err := http.NewRequest(http.MethodPost, "http://x.example/a?b=c", nil)
		So(err, ShouldBeNil)
		r.Header.Set(tenantName, hall)
		So(apiKeyField(r), ShouldBeEmpty)
		r.Header.Set("X-Other", "of "+newApiKey(newRand()))
		So(apiKeyField(r), ShouldEqual, "X-Other")
	})
}

// TestRepeats checks that a repeat is submitted through another zone, within its window, with the operation key and
// body of the first submission.
func TestRepeats(t *testing.T) {
	Convey("A repeat is submitted once, through another zone, when it is due", t, func() {
		r, m := &repeats{}, Message{Operation: "op", body: []byte("b"), firstSentAt: s}
		r.put(m, "north", 2*s)
		_, isFound := r.take("north", 3*s)
		So(isFound, ShouldBeFalse)
		_, isFound = r.take("south", 1*s)
		So(isFound, ShouldBeFalse)
		got, isFound := r.take("south", 3*s)
		So(isFound, ShouldBeTrue)
		So(got, ShouldResemble, m)
		_, isFound = r.take("south", 3*s)
		So(isFound, ShouldBeFalse)
	})
	Convey("A repeat is not submitted after its window, nor without an operation key", t, func() {
		r := &repeats{}
		r.put(Message{Operation: "op", firstSentAt: s}, "north", 2*s)
		_, isFound := r.take("south", s+repeatWindow+ms)
		So(isFound, ShouldBeFalse)
		r.put(Message{firstSentAt: s}, "north", 2*s)
		_, isFound = r.take("south", 3*s)
		So(isFound, ShouldBeFalse)
	})
	Convey("Repeats are drawn after every outcome", t, func() {
		for _, outcome := range []check.Outcome{check.Taken, check.NotTaken, check.Undecided} {
			r := &repeats{}
			for range 300 {
				r.note(Message{Operation: "op"}, "north", outcome, s, rand.New(rand.NewPCG(uint64(len(r.pending)), rand.Uint64())))
			}
			So(len(r.pending), ShouldBeBetween, 3, 290)
		}
	})
}

// TestTenantSteps checks that a seed always draws the same steps, with faults and tenants that exist.
func TestTenantSteps(t *testing.T) {
	Convey("The steps of tenant faults are the same for the same seed and affect each tenant once", t, func() {
		for seed := uint64(1); seed < 50; seed++ {
			steps, seen := TenantFaultSteps(seed, time.Minute), map[string]bool{}
			So(steps, ShouldResemble, TenantFaultSteps(seed, time.Minute))
			So(len(steps), ShouldBeGreaterThan, 3)
			for _, step := range steps {
				So(IsFault(step.Action), ShouldBeTrue)
				So(seen[step.Target], ShouldBeFalse)
				seen[step.Target] = true
			}
		}
	})
}
