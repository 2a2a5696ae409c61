package host

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"caperwheel/internal/group"
	"caperwheel/internal/timing"
)

var rosters = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "repair",
	Name: "roster_changes_total", Help: "Steps towards the rosters that should be, taken as owner."})

func init() { prometheus.MustRegister(rosters) }

// tick does the host's periodic work.
func (h *Host) tick() {
	now := h.opts.Now()
	h.settle()
	h.flush()
	h.opts.Machine.Tick(now)
	if h.since >= h.opts.Compact || h.bytes >= max(h.opts.Bytes, h.imageBytes()) {
		h.compact()
	}
	if h.isOwner && h.opts.Repair != nil && now-h.repaired >= h.repairPause() {
		h.repaired = now
		h.repair()
	}
	h.publish()
}

// repairPause returns for how long the roster is left as it is after a look at it:
// not at all while it is being changed, and shortly while a voter is silent, since
// the next loss may follow as soon as this one should have been repaired.
func (h *Host) repairPause() time.Duration {
	switch {
	case h.isChanging:
		return 0
	case !h.machine.IsAnswered():
		return h.opts.Bounds.Of(timing.Poll)
	}
	return h.opts.Bounds.Of(timing.AnswerTimeout)
}

// imageBytes is how large the newest image is: a group that holds much is
// written whole only when as much has come since.
func (h *Host) imageBytes() int {
	if h.image == nil {
		return 0
	}
	return len(h.image.State)
}

// DataTerm returns the term of the newest command that the machine has applied, on the host's goroutine. For one
// that came with an image it is that of the image's last entry, which may be later where the image is of an older build.
func (h *Host) DataTerm() int64 { return h.dataTerm }

// Compact puts the group into its slot, so that old log segments can go.
func (h *Host) Compact() { _ = h.Do(h.compact) }

// compact does nothing while the slot before is still being written: a disk
// that stalls must not have the whole state waiting for it again and again.
func (h *Host) compact() {
	if h.saving {
		return
	}
	h.saving = true
	if image := h.machine.Compact(h.imageIndex(), h.opts.Machine.Image()); image != nil {
		h.image = image
	} // else nothing is new, but the slot must pass the log's old segments
	h.since, h.bytes = 0, 0
	hard, log := h.machine.Whole()
	h.opts.Disk.SaveSlot(h.opts.Id, hard, h.image, &group.Persist{Entries: log}, h.bringBack(func() { h.saving = false }))
}

// imageIndex is up to which entry an image of the state as it is now goes: up to the newest command, so that the image tells
// its term. Other entries change no state, and are left in the log unless they are many.
func (h *Host) imageIndex() int64 {
	if h.applied-h.dataIndex >= int64(h.opts.Compact) {
		return h.applied
	}
	return h.dataIndex
}

// repair takes one step towards the roster that should be. While steps are left it
// is called with every tick: a group whose roster is between two states bears the
// loss of one member less.
func (h *Host) repair() {
	known, wanted := h.opts.Repair(h.machine.Silence)
	change, isDue := h.machine.Repair(known, wanted)
	h.isChanging = isDue || slices.ContainsFunc(h.machine.View().Roster, group.IsLearner)
	if !isDue {
		return
	}
	out, err := h.machine.ChangeRoster(change, h.opts.Now())
	if err != nil {
		klog.V(1).Infof("repair: Group %d cannot change its roster yet: %v.", h.opts.Id, err)
		return
	}
	klog.Infof("repair: Group %d changes its roster: %+v.", h.opts.Id, change)
	rosters.Inc()
	h.do(out)
}

// Pump does all that waits, for the simulation.
func (h *Host) Pump() {
	for {
		select {
		case work := <-h.ring:
			work()
			continue
		default:
		}
		if !h.takeSynced() {
			return
		}
	}
}
