package limit

import (
	"github.com/prometheus/client_golang/prometheus"

	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/quota"
)

var (
	admissionsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "quota", Name: "admissions_total",
		Help: "Messages of tenants with a limit, by what was decided (admitted, or why not) and whether they waited for a place's word."},
		[]string{"told", "waited"})
	requestsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "quota", Name: "asks_total",
		Help: "Asks for tenants' tokens sent to places, by what came of them: answered, or the kind of mishap."}, []string{"told"})
)

func init() { prometheus.MustRegister(admissionsTotal, requestsTotal) }

// countAdmission counts a decision on a message.
func countAdmission(d quota.Decision, isWaited bool) {
	told, waited := "admitted", "no"
	if d.Refusal != "" {
		told = string(d.Refusal)
	}
	if isWaited {
		waited = "yes"
	}
	admissionsTotal.WithLabelValues(told, waited).Inc()
}

// countRequest counts a token request by its result.
func countRequest(err error) {
	told := "answered"
	if err != nil {
		told = string(errs.KindOf(err))
	}
	requestsTotal.WithLabelValues(told).Inc()
}

// Measure emits how many tokens are held and how many tenants have an account.
func (l *Limiter) Measure(emit daemon.Emit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	emit("quota_tokens_held", "Tokens of tenants that this adapter holds for messages to come.", float64(l.tokenCache.Held()))
	emit("quota_tenants", "Tenants that this adapter has an account of.", float64(l.tokenCache.Count()))
}
