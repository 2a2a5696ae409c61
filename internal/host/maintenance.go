package host

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"caperwheel/internal/group"
	"caperwheel/internal/timing"
)

// rosterChanges counts the roster changes that this store made as an owner.
var rosterChanges = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "repair",
	Name: "roster_changes_total", Help: "Steps towards the rosters that should be, taken as owner."})

func init() { prometheus.MustRegister(rosterChanges) }

// runPeriodic does the work of a tick: flushing proposals, compaction, and roster changes.
func (h *Host) runPeriodic() {
	now := h.opts.Now()
	h.updateOwnership()
	h.flush()
	h.opts.Machine.Tick(now)
	if h.entriesSinceSlot >= h.opts.CompactEntries || h.bytesSinceSlot >= max(h.opts.CompactBytes, h.snapshotBytes()) {
		h.compact()
	}
	if h.isOwner && h.opts.PlanRoster != nil && now-h.lastRepair >= h.repairInterval() {
		h.lastRepair = now
		h.repair()
	}
	h.publish()
}

// repairInterval returns how long to wait from one check of the roster to the next: no time while the
// roster is being changed, and a short time while a voter is silent, since the next loss may follow as soon
// as this one should have been repaired.
func (h *Host) repairInterval() time.Duration {
	switch {
	case h.isRosterChanging:
		return 0
	case !h.machine.IsEveryVoterResponding():
		return h.opts.Bounds.Of(timing.Poll)
	}
	return h.opts.Bounds.Of(timing.AnswerTimeout)
}

// snapshotBytes returns the size of the newest snapshot: a group with much state is compacted only when as
// many bytes of entries have been applied since.
func (h *Host) snapshotBytes() int {
	if h.snapshot == nil {
		return 0
	}
	return len(h.snapshot.State)
}

// DataTerm returns the term of the newest command that the machine has applied. For a command that came
// with a snapshot it is the term of the snapshot's last entry, which may be later if an older build made
// the snapshot. It must be called on the host's goroutine.
func (h *Host) DataTerm() int64 { return h.dataTerm }

// Compact writes the state to the group's slot, so that old log segments can be deleted.
func (h *Host) Compact() { _ = h.Do(h.compact) }

// compact does nothing while the previous slot is still being written: otherwise a stalled disk would queue
// the whole state again and again.
func (h *Host) compact() {
	if h.isSavingSlot {
		return
	}
	h.isSavingSlot = true
	if snapshot := h.machine.Compact(h.snapshotIndex(), h.opts.Machine.Snapshot()); snapshot != nil {
		h.snapshot = snapshot
	} // else nothing is new, but the slot must be newer than the log's old segments
	h.entriesSinceSlot, h.bytesSinceSlot = 0, 0
	hard, log := h.machine.DurableState()
	h.opts.Disk.SaveSlot(h.opts.Id, hard, h.snapshot, &group.DurableUpdate{Entries: log}, h.onCompleted(func() { h.isSavingSlot = false }))
}

// snapshotIndex returns the index of the last entry that a snapshot of the current state covers: the newest
// command, so that the snapshot has that command's term. Other entries change no state, and stay in the log
// unless there are many.
func (h *Host) snapshotIndex() int64 {
	if h.appliedIndex-h.dataIndex >= int64(h.opts.CompactEntries) {
		return h.appliedIndex
	}
	return h.dataIndex
}

// repair makes one step towards the planned roster. While steps remain it is called on every tick, because
// a group whose roster is between two states tolerates one loss of a member less.
func (h *Host) repair() {
	known, wanted := h.opts.PlanRoster(h.machine.Silence)
	change, isDue := h.machine.Repair(known, wanted)
	h.isRosterChanging = isDue || slices.ContainsFunc(h.machine.View().Roster, group.IsLearner)
	if !isDue {
		return
	}
	out, err := h.machine.ChangeRoster(change, h.opts.Now())
	if err != nil {
		klog.V(1).Infof("repair: Group %d cannot change its roster yet and retries: %v.", h.opts.Id, err)
		return
	}
	klog.Infof("repair: Group %d changes its roster: %+v.", h.opts.Id, change)
	rosterChanges.Inc()
	h.execute(out)
}

// RunPending runs all queued work and completions, for the simulation.
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
