package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
)

// adminCallerEvery: one held caller in so many calls admin endpoints instead of submitting messages.
const adminCallerEvery = 7

// Ports of the product's own HTTP interfaces, within the internal port range.
const (
	portHttp      = portFirst + 2
	portAgentHttp = portFirst + 3
)

// adminEndpoint is a path that the processes of a machine class serve on a port that accepts no messages.
type adminEndpoint struct {
	class string
	port  int
	path  string
}

// adminEndpoints are the endpoints that held callers use beside message submission.
var adminEndpoints = []adminEndpoint{
	{classFront, portReady, "/v1/readiness"},
	{classFront, portHttp, "/metrics"},
	{classFront, portAgentHttp, "/healthz"},
	{classCore, portControl, "/v1/configuration/read"},
	{classCore, portHttp, "/v1/status"},
	{classStore, portHttp, "/metrics"},
}

// runningMachines lists the machines of a class whose processes should be running.
func (s *Site) runningMachines(class string) []*Machine {
	return slices.DeleteFunc(slices.Clone(s.Machines), func(m *Machine) bool { return m.Class != class || !m.isRunning() })
}

// isRunning reports whether the machine's processes should be running. A machine that is being stopped or started
// holds its mutex and counts as running.
func (m *Machine) isRunning() bool {
	if !m.mu.TryLock() {
		return true
	}
	defer m.mu.Unlock()
	return m.shouldRun
}

// chooseFront draws a running front, ready or not, as the target of message submissions on any route.
func (s *Site) chooseFront(rng *rand.Rand) (callTarget, bool) {
	fronts := s.runningMachines(classFront)
	if len(fronts) == 0 {
		return callTarget{}, false
	}
	m, submitted := fronts[rng.IntN(len(fronts))], Message{}
	return callTarget{machine: m, addr: s.at(m.host, portFront),
		request: func(rng *rand.Rand) (*http.Request, Submission, error) {
			submitted = s.nextMessage(s.drawLoad(rng), m.Zone, rng)
			return s.request(context.Background(), submitted, s.plan.Deadline, rng)
		},
		record: func(sent Submission) {
			s.History.WithLock(func() { s.History.Sent = append(s.History.Sent, sent) })
			s.repeats.note(submitted, m.Zone, sent.Outcome, s.Now(), newRand())
		}}, true
}

// drawLoad draws one of the plan's loads in proportion to its rate, and one time in trialRouteEvery a load for the
// newest trial route, if there is one.
func (s *Site) drawLoad(rng *rand.Rand) Load {
	if trial, isFound := s.operator.newestTrial(); isFound && rng.IntN(trialRouteEvery) == 0 {
		return Load{Route: trial.Name, Host: trial.Host, Prefix: trial.Prefix, Size: 300, DelayedShare: 0.5, MaxDelay: s.plan.Loads[0].MaxDelay}
	}
	sum := 0.0
	for _, load := range s.plan.Loads {
		sum += load.Rate
	}
	at := rng.Float64() * sum
	for _, load := range s.plan.Loads {
		if at -= load.Rate; at < 0 {
			return load
		}
	}
	return s.plan.Loads[0]
}

// trialRouteEvery: one message of held callers in so many goes to a trial route, which faults add and remove.
const trialRouteEvery = 12

// chooseAdminEndpoint draws an admin endpoint of a running machine as a target.
func (s *Site) chooseAdminEndpoint(rng *rand.Rand) (callTarget, bool) {
	d := adminEndpoints[rng.IntN(len(adminEndpoints))]
	machines := s.runningMachines(d.class)
	if len(machines) == 0 {
		return callTarget{}, false
	}
	m := machines[rng.IntN(len(machines))]
	addr := s.at(m.host, d.port)
	return callTarget{machine: m, addr: addr,
		request: func(*rand.Rand) (*http.Request, Submission, error) {
			req, err := http.NewRequest(http.MethodGet, "http://"+addr+d.path, nil)
			return req, Submission{Sent: check.Sent{Token: d.path, Lane: d.path, Outcome: check.Undecided}}, errs.Wrap(err, errs.Internal, "build the request to an admin endpoint")
		},
		record: func(sent Submission) {
			s.History.WithLock(func() { s.History.AdminRequests = append(s.History.AdminRequests, sent) })
		}}, true
}
