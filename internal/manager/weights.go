package manager

import (
	"context"
	"encoding/json"
	"strings"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/weight"
	"caperwheel/internal/wire"

	"k8s.io/klog/v2"
)

// runWeightController computes the weights of the workers of each pool that this manager manages, from
// what the adapters measure, and publishes those that have changed enough to matter. It does the same
// for the weights of a lane's pools.
func (m *Manager) runWeightController(ctx context.Context) {
	timing.Every(ctx, m.d.Bounds.Of(timing.SessionTimeout), func() {
		if !m.d.IsFresh() {
			return
		}
		compiled, seen := m.configs.Current(), m.workerMeasurements()
		pools := map[string]bool{}
		for name, p := range compiled.Rules.Pools {
			pools[name] = !p.IsEndpoint && compiled.Workers[name].Len() > 1
		}
		for _, pool := range m.managedPools(pools) {
			if pools[pool] {
				m.publishWeights(ctx, compiled, pool, seen[pool])
			}
		}
		m.publishShares(ctx, compiled, seen)
	})
}

// workerMeasurements returns what the adapters report on their workers, by pool and worker.
func (m *Manager) workerMeasurements() map[string]map[string]weight.Observation {
	out := map[string]map[string]weight.Observation{}
	compiled := m.configs.Current()
	_, members := m.registry.Members(m.d.Now())
	for _, member := range members {
		for key, micros := range member.Fact.Counts {
			name, isRunTime := strings.CutPrefix(key, "run_micros ")
			at := strings.LastIndex(name, "/")
			if !isRunTime || at < 0 {
				continue
			}
			pool, worker := name[:at], name[at+1:]
			if out[pool] == nil {
				out[pool] = map[string]weight.Observation{}
			}
			listed, _ := compiled.Workers[pool].Get(worker)
			out[pool][worker] = weight.Observation{Zone: listed.Zone, Micros: float64(micros),
				Failed:  float64(member.Fact.Counts["run_misses "+name]) / 1000,
				IsProbe: member.Fact.Counts["run_probes "+name] > 0}
		}
	}
	return out
}

// publishWeights publishes the next weights of a pool's workers if they differ enough from the old ones.
func (m *Manager) publishWeights(ctx context.Context, compiled *config.Compiled, pool string, measured map[string]weight.Observation) {
	for worker := range measured {
		if _, isListed := compiled.Workers[pool].Get(worker); !isListed {
			delete(measured, worker)
		}
	}
	old := compiled.Weights[pool]
	next := weight.NextWeights(old, measured)
	if len(measured) > 0 && weight.IsWorthPublishing(old, next) {
		m.publish(ctx, config.WeightKey, pool, next)
	}
}

// publishShares publishes the weights of the pools of each lane that has several, computed from the
// measurements of their workers. A lane is assigned to a manager like a pool of the same name.
func (m *Manager) publishShares(ctx context.Context, compiled *config.Compiled, measured map[string]map[string]weight.Observation) {
	lanes := map[string]bool{}
	for name, lane := range compiled.Rules.Lanes {
		if len(lane.Pools) > 1 {
			lanes[name] = true
		}
	}
	for _, lane := range m.managedPools(lanes) {
		pools := map[string]weight.Observation{}
		for _, pool := range compiled.Rules.Lanes[lane].Pools {
			if len(measured[pool]) > 0 {
				pools[pool] = weight.Aggregate(measured[pool])
			}
		}
		next := weight.UpdateWeights(compiled.Shares[lane], pools)
		if len(pools) > 1 && weight.HasChanged(compiled.Shares[lane], next) {
			m.publish(ctx, config.ShareKey, lane, next)
		}
	}
}

// publish writes a value at prefix and name, in the part of the name.
func (m *Manager) publish(ctx context.Context, prefix, name string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		return
	}
	part := feed.PartOf(name, m.d.Settings.Parts)
	revision := int64(0)
	if c, exists := m.d.View.Get(part, prefix+name); exists {
		revision = c.Revision
	}
	ctx, cancel := context.WithTimeout(ctx, m.d.Bounds.ConfigApply)
	defer cancel()
	_, err = m.edit(ctx, wire.Edit{Part: part, Key: prefix + name, Value: raw, IfRevision: revision, By: "weight controller at " + m.d.Who.Name})
	if err != nil && !errs.Is(err, errs.Conflict) {
		klog.Warningf("weight: Weights of %s cannot be published; the old ones stay in force: %v.", name, err)
	}
}
