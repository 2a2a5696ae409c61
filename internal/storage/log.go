package storage

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"caperwheel/internal/errs"
	"caperwheel/internal/group"
)

// Options of the disk. Zero values mean defaults.
type Options struct {
	SegmentBytes int64  // a log segment is closed beyond this
	QueueLength  int    // writes that may wait for the syncing goroutine
	FreePermille uint64 // intake stops when less of the disk is free
	FreeBytes    uint64 // … or less than this
}

// writeRequest is one thing for the syncing goroutine to do.
type writeRequest struct {
	group int64
	body  []byte
	slot  *record // when set, save the group's slot instead
	done  func(error)
}

// Log is the store's disk.
//
// Invariants: writes reach the log in the order in which they were given; then
// is called only once all that came before it is synced; a segment goes only
// when each group's newest slot stands behind it.
type Log struct {
	opts     Options
	files    FileSystem
	queue    chan writeRequest
	slots    chan slotRequest
	done     chan struct{}
	stopOnce sync.Once

	mu          sync.Mutex
	pairs       map[int64]*Pair
	firstNeeded map[int64]int64 // group -> segment of its newest slot
	segments    []int64
	hasLostData bool // replay found that something promised is gone
	err         error

	file          File
	segment       int64
	offset        int64
	syncedAt      int64
	slotDone      sync.WaitGroup
	unsyncedBytes atomic.Int64 // bytes given to the log and not synced yet
}

type slotRequest struct {
	group   int64
	state   slotState
	segment int64
	done    func(error)
}

var counters = struct{ syncs, records, bytes, slots prometheus.Counter }{
	syncs:   counter("syncs_total", "Syncs of the log."),
	records: counter("records_total", "Records written to the log."),
	bytes:   counter("bytes_total", "Bytes written to the log."),
	slots:   counter("slots_total", "Slots written."),
}

func counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "disk", Name: name, Help: help})
	prometheus.MustRegister(c)
	return c
}

func segmentName(n int64) string { return fmt.Sprintf("log-%012d", n) }

// Persist queues what one step of a group must have on disk.
func (l *Log) Persist(id int64, p *group.DurableUpdate, then func(error)) {
	r := toRecord(id, p)
	l.put(writeRequest{group: id, body: recordCodec.Encode(&r), done: then})
}

// After calls then once all that was queued before is synced.
func (l *Log) AfterWrites(then func(error)) { l.put(writeRequest{done: then}) }

// SaveSlot writes the group's whole state into its next slot, in the
// background; what is persisted later stays in the log behind it.
func (l *Log) SaveSlot(id int64, hard group.HardState, snapshot *group.Snapshot, entries *group.DurableUpdate, then func(error)) {
	r := toRecord(id, &group.DurableUpdate{Hard: &hard, Snapshot: snapshot, Entries: entries.Entries})
	l.put(writeRequest{group: id, slot: &r, done: then})
}

func (l *Log) put(w writeRequest) {
	l.unsyncedBytes.Add(int64(len(w.body)))
	l.queue <- w // the syncing goroutine takes writes even when it has stopped
}

// rejectWrites answers all writes once the disk has stopped.
func (l *Log) rejectWrites() {
	for w := range l.queue {
		w.done(errs.New(errs.Disk, "the disk is closed"))
	}
}

// sync is the one goroutine that writes the log: it takes all that waits,
// writes it, syncs once, and then tells everyone (group commit).
func (l *Log) sync() {
	buffer := []byte{}
	for {
		var batch []writeRequest
		select {
		case w := <-l.queue:
			batch = append(batch, w)
		case <-l.done:
			l.rejectWrites()
			return
		}
		for isMore := true; isMore && len(batch) < cap(l.queue); {
			select {
			case w := <-l.queue:
				batch = append(batch, w)
			default:
				isMore = false
			}
		}
		buffer = buffer[:0]
		l.mu.Lock()
		for _, w := range batch {
			if w.body != nil {
				l.noteNeeded(w.group, l.segment)
			}
		}
		l.mu.Unlock()
		for _, w := range batch {
			if w.body != nil {
				buffer = appendRecord(buffer, w.body, l.syncedAt)
				counters.records.Inc()
			}
			if w.slot != nil {
				all := slotState{Segment: l.segment, Offset: l.offset + int64(len(buffer)), State: *w.slot}
				l.slotDone.Add(1)
				l.slots <- slotRequest{w.group, all, l.segment, w.done}
			}
		}
		err := l.flush(buffer)
		for _, w := range batch {
			l.unsyncedBytes.Add(-int64(len(w.body)))
			if w.slot == nil {
				w.done(err)
			}
		}
		if err != nil {
			l.fail(err)
			l.rejectWrites()
			return
		}
	}
}

func (l *Log) flush(buffer []byte) error {
	if len(buffer) == 0 {
		return nil
	}
	if _, err := l.file.Write(buffer); err != nil {
		return errs.Wrap(err, errs.Disk, "write log")
	}
	if err := l.file.Sync(); err != nil {
		return errs.Wrap(err, errs.Disk, "sync log")
	}
	counters.syncs.Inc()
	counters.bytes.Add(float64(len(buffer)))
	l.offset += int64(len(buffer))
	l.syncedAt = l.offset
	if l.offset >= l.opts.SegmentBytes {
		return l.rotate()
	}
	return nil
}

func (l *Log) rotate() error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errs.Wrap(err, errs.Disk, "close log")
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.segment++
	file, err := l.files.Open(segmentName(l.segment))
	if err != nil {
		return err
	}
	l.file, l.offset, l.syncedAt = file, 0, 0
	l.segments = append(l.segments, l.segment)
	return nil
}

// fail stops the disk for good: what was promised stays, nothing new is taken.
func (l *Log) fail(err error) {
	l.mu.Lock()
	if l.err == nil {
		l.err = err
	}
	l.mu.Unlock()
	l.stopOnce.Do(func() { close(l.done) })
}
