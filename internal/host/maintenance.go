package host

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"caperwheel/internal/group"
	"caperwheel/internal/timing"
)

var rosterChanges = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "repair",
	Name: "roster_changes_total", Help: "Steps towards the rosters that should be, taken as owner."})

func init() { prometheus.MustRegister(rosterChanges) }

// runPeriodic does the host's periodic work.
func (h *Host) runPeriodic() {
	now := h.opts.Now()
	h.updateOwnership()
	h.flush()
	h.opts.Machine.Tick(now)
	if h.entriesSinceSlot >= h.opts.CompactEntries || h.bytes >= max(h.opts.CompactBytes, h.snapshotBytes()) {
		h.compact()
	}
	if h.isOwner && h.opts.PlanRoster != nil && now-h.lastRepair >= h.repairInterval() {
		h.lastRepair = now
		h.repair()
	}
	h.publish()
}

// repairInterval returns for how long the roster is left as it is after a look at it:
// not at all while it is being changed, and shortly while a voter is silent, since
// the next loss may follow as soon as this one should have been repaired.
func (h *Host) repairInterval() time.Duration {
	switch {
	case h.isRosterChanging:
		return 0
	case !h.machine.IsEveryVoterResponding():
		return h.opts.Bounds.Of(timing.Poll)
	}
	return h.opts.Bounds.Of(timing.AnswerTimeout)
}

// snapshotBytes is how large the newest image is: a group that holds much is
// written whole only when as much has come since.
func (h *Host) snapshotBytes() int {
	if h.snapshot == nil {
		return 0
	}
	return len(h.snapshot.State)
}

// DataTerm returns the term of the newest command that the machine has applied, on the host's goroutine. For one
// that came with an image it is that of the image's last entry, which may be later where the image is of an older build.
func (h *Host) DataTerm() int64 { return h.dataTerm }

// CompactEntries puts the group into its slot, so that old log segments can go.
func (h *Host) Compact() { _ = h.Do(h.compact) }

// compact does nothing while the slot before is still being written: a disk
// that stalls must not have the whole state waiting for it again and again.
func (h *Host) compact() {
	if h.isSavingSlot {
		return
	}
	h.isSavingSlot = true
	if image := h.machine.Compact(h.snapshotIndex(), h.opts.Machine.Snapshot()); image != nil {
		h.snapshot = image
	} // else nothing is new, but the slot must pass the log's old segments
	h.entriesSinceSlot, h.bytes = 0, 0
	hard, log := h.machine.DurableState()
	h.opts.Disk.SaveSlot(h.opts.Id, hard, h.snapshot, &group.DurableUpdate{Entries: log}, h.onCompleted(func() { h.isSavingSlot = false }))
}

// snapshotIndex is up to which entry an image of the state as it is now goes: up to the newest command, so that the image tells
// its term. Other entries change no state, and are left in the log unless they are many.
func (h *Host) snapshotIndex() int64 {
	if h.appliedIndex-h.dataIndex >= int64(h.opts.CompactEntries) {
		return h.appliedIndex
	}
	return h.dataIndex
}

// repair takes one step towards the roster that should be. While steps are left it
// is called with every tick: a group whose roster is between two states bears the
// loss of one member less.
func (h *Host) repair() {
	known, wanted := h.opts.PlanRoster(h.machine.Silence)
	change, isDue := h.machine.Repair(known, wanted)
	h.isRosterChanging = isDue || slices.ContainsFunc(h.machine.View().Roster, group.IsLearner)
	if !isDue {
		return
	}
	out, err := h.machine.ChangeRoster(change, h.opts.Now())
	if err != nil {
		klog.V(1).Infof("repair: Group %d cannot change its roster yet: %v.", h.opts.Id, err)
		return
	}
	klog.Infof("repair: Group %d changes its roster: %+v.", h.opts.Id, change)
	rosterChanges.Inc()
	h.execute(out)
}

// RunPending does all that waits, for the simulation.
func (h *Host) RunPending() {
	for {
		select {
		case work := <-h.queue:
			work()
			continue
		default:
		}
		if !h.runCompletions() {
			return
		}
	}
}
