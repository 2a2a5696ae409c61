package intake

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
)

// TestTenantCounts checks that answers are counted per tenant, for tenants of the configuration only.
func TestTenantCounts(t *testing.T) {
	Convey("Given answers to two tenants and to callers without a tenant", t, func() {
		c := &tenantAnswers{}
		for _, a := range [][2]string{{"a", resultTaken}, {"a", resultTaken}, {"a", "over_quota"}, {"b", resultTaken}, {"", "unauthorized"}} {
			c.add(a[0], a[1])
		}
		read := func(names ...string) []string {
			rules, out := &config.Rules{Tenants: map[string]config.Tenant{}}, []string{}
			for _, name := range names {
				rules.Tenants[name] = config.Tenant{Name: name}
			}
			c.measure(rules, func(name, _ string, value float64, labels ...string) {
				out = append(out, fmt.Sprint(name, " ", value, " ", labels))
			})
			slices.Sort(out)
			return out
		}
		const name = "intake_tenant_answers_total "
		Convey("each tenant's counts are emitted", func() {
			So(read("a", "b", "c"), ShouldResemble, []string{name + "1 [tenant a told over_quota]", name + "1 [tenant b told taken]", name + "2 [tenant a told taken]"})
		})
		Convey("the counts of a removed tenant are dropped, also when it comes back", func() {
			So(read("b"), ShouldResemble, []string{name + "1 [tenant b told taken]"})
			So(read("a", "b"), ShouldResemble, []string{name + "1 [tenant b told taken]"})
			So(len(c.counts), ShouldEqual, 1)
		})
		Convey("without tenants in the configuration, none is kept", func() {
			So(read(), ShouldBeEmpty)
			So(c.counts, ShouldBeEmpty)
		})
	})
}
