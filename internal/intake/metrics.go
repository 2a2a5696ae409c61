package intake

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
)

var answersTotal = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "intake",
	Name: "answers_total", Help: "Messages that came in, by lane and by what was told of them: taken, or the kind of mishap."},
	[]string{"lane", "told"})

func init() { prometheus.MustRegister(answersTotal) }

// resultTaken is the label value for accepted messages; all others are counted by their kind of error.
const resultTaken = "taken"

// count counts an answer by lane and by tenant. Unknown lane names are not used as labels, since their number is
// unbounded.
func (in *Intake) count(e *request, result string) {
	answersTotal.WithLabelValues(e.lane.Name, result).Inc()
	in.tenantAnswers.add(e.tenant.Name, result)
}

// tenantAnswers counts answers per tenant.
//
// Invariant: after each scrape it has only tenants of the configuration, which bounds its size.
type tenantAnswers struct {
	mu     sync.Mutex
	counts map[string]map[string]float64 // by tenant and result
}

// add counts one answer; answers to callers without a tenant are ignored.
func (c *tenantAnswers) add(tenant, result string) {
	if tenant == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]map[string]float64{}
	}
	if c.counts[tenant] == nil {
		c.counts[tenant] = map[string]float64{}
	}
	c.counts[tenant][result]++
}

// measure drops tenants that have left the configuration, and emits the counts of the others.
func (c *tenantAnswers) measure(rules *config.Rules, emit daemon.Emit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for tenant, counts := range c.counts {
		if _, isThere := rules.Tenants[tenant]; !isThere {
			delete(c.counts, tenant)
			continue
		}
		for result, count := range counts {
			emit("intake_tenant_answers_total", "Messages of a tenant that came in, by what was told of them: taken, or the kind of mishap.", count,
				"tenant", tenant, "told", result)
		}
	}
}
