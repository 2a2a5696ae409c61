package sim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"caperwheel/internal/group"
)

// troubles are what goes wrong in a run. One machine at a time is lost; the next
// goes exactly CatchUp after the last is back, or after its successor's start.
// Herd troubles come beside.
type troubles struct {
	herdUntil time.Duration // links and herds are well again from then on
	leaving   *machine      // it is being retired
	lost      *machine
	cut       func(other string) // cuts whoever comes off from the one that is cut off; nil for none
	count     int
}

// Losses are the ways in which one machine is lost. Each ends when the machine
// or its successor is back.
var Losses = map[string]func(d *Deployment, t *task, m *machine){
	"cut off":     func(d *Deployment, t *task, m *machine) { d.isolate(t, m, true, true, false) },
	"apart":       func(d *Deployment, t *task, m *machine) { d.isolate(t, m, true, true, true) },
	"cut outward": func(d *Deployment, t *task, m *machine) { d.isolate(t, m, true, false, false) },
	"cut inward":  func(d *Deployment, t *task, m *machine) { d.isolate(t, m, false, true, false) },
	"refusing": func(d *Deployment, t *task, m *machine) {
		d.net.refusing = map[string]bool{m.addr: true}
		t.pause(d.lossSpan())
		d.net.refusing = nil
	},
	"frozen": func(d *Deployment, t *task, m *machine) {
		span := d.lossSpan()
		m.store.frozen, m.manager.frozen = d.now+span, d.now+span
		t.pause(span)
	},
	"restarted": func(d *Deployment, t *task, m *machine) { d.restart(t, m, false) },
	"powerless": func(d *Deployment, t *task, m *machine) { d.restart(t, m, true) },
	"wiped": func(d *Deployment, t *task, m *machine) {
		m.stop(true)
		m.store.wipe()
		t.pause(time.Duration(d.Rand.IntN(2000)) * time.Millisecond)
		m.start()
	},
	"wiped beside a power loss": func(d *Deployment, t *task, m *machine) { d.wipeBesidePowerLoss(t, m) },
	"replaced":                  func(d *Deployment, t *task, m *machine) { d.replace(t, m, fmt.Sprintf("m%d", len(d.machines)+1)) },
	"moved":                     func(d *Deployment, t *task, m *machine) { d.replace(t, m, m.name) },
}

// lossSpan is how long a machine is away: 20 s and more in one case of three.
func (d *Deployment) lossSpan() time.Duration {
	if d.Rand.IntN(3) == 0 {
		return time.Duration(20000+d.Rand.IntN(5000)) * time.Millisecond
	}
	return time.Duration(200+d.Rand.IntN(7000)) * time.Millisecond
}

// isolate cuts a machine off for a while, also from machines that come meanwhile.
// Where only the machines are cut, clients and followers still reach it.
func (d *Deployment) isolate(t *task, m *machine, isOutward, isInward, isOnlyMachines bool) {
	d.troubles.cut = func(other string) {
		if isOutward {
			d.Cut(m.addr, other)
		}
		if isInward {
			d.Cut(other, m.addr)
		}
	}
	for _, other := range d.machines {
		if other != m {
			d.troubles.cut(other.addr)
		}
	}
	if !isOnlyMachines {
		d.troubles.cut(client)
		for _, f := range d.followers {
			d.troubles.cut(f.addr)
		}
	}
	t.pause(d.lossSpan())
	d.troubles.cut = nil
	d.Heal()
}

func (d *Deployment) restart(t *task, m *machine, isPowerCut bool) {
	m.stop(isPowerCut)
	t.pause(time.Duration(d.Rand.IntN(6000)) * time.Millisecond)
	m.start()
}

// wipeBesidePowerLoss has a machine lose its disk while all others lose power at the
// same moment, those too that hold no state. The wiped one comes back last.
func (d *Deployment) wipeBesidePowerLoss(t *task, m *machine) {
	others := slices.DeleteFunc(d.here(), func(other *machine) bool { return other == m })
	m.stop(true)
	m.store.wipe()
	for _, other := range others {
		other.stop(true)
		d.After(time.Duration(d.Rand.IntN(1000))*time.Millisecond, other.start)
	}
	for _, f := range d.followers {
		f.end()
		d.After(time.Duration(d.Rand.IntN(1000))*time.Millisecond, f.start)
	}
	t.pause(time.Duration(1000+d.Rand.IntN(1000)) * time.Millisecond)
	m.start()
}

// remove takes a machine away for good, with its disk.
func (d *Deployment) remove(m *machine) {
	m.stop(true)
	m.isGone = true
	d.Note("%s is gone for good", m.name)
}

// replace takes a machine away and brings a blank one in its place, at a new
// address; it knows the old seeds only.
func (d *Deployment) replace(t *task, m *machine, name string) {
	d.remove(m)
	t.pause(time.Duration(d.Rand.IntN(3000)) * time.Millisecond)
	d.add(name, fmt.Sprintf("m%d", len(d.machines)+1), m.zone).start()
}

// mayGo: somebody must stay whom new daemons find by the old seeds.
func (d *Deployment) mayGo(m *machine) bool {
	for _, seed := range d.machines[:copies] {
		if seed != m && !seed.isGone && seed != d.troubles.leaving && seed != d.troubles.lost {
			return true
		}
	}
	return false
}

// lose loses one machine after another until the given time.
func (d *Deployment) lose(names []string, end time.Duration) {
	d.Go(nil, func(_ context.Context, t *task) {
		t.pause(6 * time.Second)
		for len(names) > 0 && d.now < end {
			here := d.here()
			name, m := names[d.Rand.IntN(len(names))], here[d.Rand.IntN(len(here))]
			if m == d.troubles.leaving && d.Rand.IntN(2) == 0 {
				continue
			}
			if (name == "replaced" || name == "moved") && (!d.mayGo(m) || m == d.troubles.leaving) {
				t.pause(time.Millisecond)
				continue
			}
			d.Note("%s is lost: %s", m.name, name)
			d.troubles.lost = m
			Losses[name](d, t, m)
			d.troubles.lost = nil
			d.troubles.count++
			d.Note("%s or its successor is back", m.name)
			d.catchUp(t, name, m.name)
		}
	})
}

// catchUp waits until all must be whole again, and looks.
func (d *Deployment) catchUp(t *task, what, name string) {
	for back := d.now; ; {
		since := max(back, d.troubles.herdUntil)
		if d.now >= since+CatchUp {
			break
		}
		t.pause(since + CatchUp - d.now)
	}
	for _, id := range groupIds() {
		if text := d.missing(id); text != "" {
			d.breach("%v after %s was %s, group %d %s", CatchUp, name, what, id, text)
		}
	}
}

// missing reports why a group would not outlive one more loss; empty if it would.
// An election under way is no loss: the copies count.
func (d *Deployment) missing(id int64) string {
	members, commit := d.newestSeats(id)
	all, whole := group.Voters(members), 0
	for _, m := range d.here() {
		h := m.store.hosts[id]
		if m.store.isUp && h != nil && slices.Contains(all, m.store.member()) && h.View().Last >= commit-commitLag {
			whole++
		}
	}
	if whole-1 < len(all)/2+1 {
		return fmt.Sprintf("has %d whole copies of %v", whole, members)
	}
	return ""
}

// newestSeats is the roster of the replica that has gone furthest.
func (d *Deployment) newestSeats(id int64) (members []string, commit int64) {
	commit = -1
	for _, m := range d.here() {
		if h := m.store.hosts[id]; m.store.isUp && h != nil && h.View().Commit > commit {
			members, commit = h.View().Roster, h.View().Commit
		}
	}
	return members, commit
}

// commitLag is how many entries a whole copy may be behind while more come.
const commitLag = 20
