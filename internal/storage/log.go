package storage

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"caperwheel/internal/errs"
	"caperwheel/internal/group"
)

// Options of a Log. Zero values mean defaults.
type Options struct {
	SegmentBytes int64  // a new log segment is started once the current one has this size
	QueueLength  int    // number of writes that may wait for the syncing goroutine
	FreePermille uint64 // the disk counts as full if less than this share of it is free
	FreeBytes    uint64 // … or fewer bytes than this
}

// writeRequest is a request to the syncing goroutine. It has a record in body, or a whole state in slot, or neither if
// only done is to be called.
type writeRequest struct {
	group int64
	body  []byte
	slot  *record // the whole state of the group, for its next slot
	done  func(error)
}

// Log stores the state of all groups of a store: the log and the slots.
//
// Invariants: writes reach the log in the order of the calls; a callback is called only once all writes before it are
// synced; a log segment is deleted only once the newest slot of each group covers it.
type Log struct {
	opts     Options
	files    FileSystem
	queue    chan writeRequest // requests to the syncing goroutine
	slots    chan slotRequest  // requests to the goroutine that writes slots
	done     chan struct{}     // closed when the log stops
	stopOnce sync.Once

	mu          sync.Mutex
	pairs       map[int64]*Pair
	firstNeeded map[int64]int64 // group -> first segment that its newest slot does not cover
	segments    []int64         // numbers of the segments on disk, oldest first
	hasLostData bool            // replay found that synced records are missing
	err         error           // why the log has stopped

	file          File           // the current segment
	segment       int64          // its number
	offset        int64          // bytes written to it
	syncedOffset  int64          // bytes of it that are synced
	slotDone      sync.WaitGroup // slots that are being written
	unsyncedBytes atomic.Int64   // bytes of records that are queued or written, but not synced yet
}

// slotRequest is a request to write a slot.
type slotRequest struct {
	group   int64
	state   slotState
	segment int64 // first segment that the slot does not cover
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

// Persist queues the durable update of one step of a group. then is called once it is synced or has failed.
func (l *Log) Persist(id int64, p *group.DurableUpdate, then func(error)) {
	r := toRecord(id, p)
	l.put(writeRequest{group: id, body: recordCodec.Encode(&r), done: then})
}

// AfterWrites calls then once everything that was queued before is synced or has failed.
func (l *Log) AfterWrites(then func(error)) { l.put(writeRequest{done: then}) }

// SaveSlot writes the whole state of a group to its next slot, in the background. Updates that are persisted later
// stay in the log and are replayed after the slot.
func (l *Log) SaveSlot(id int64, hard group.HardState, snapshot *group.Snapshot, entries *group.DurableUpdate, then func(error)) {
	r := toRecord(id, &group.DurableUpdate{Hard: &hard, Snapshot: snapshot, Entries: entries.Entries})
	l.put(writeRequest{group: id, slot: &r, done: then})
}

// put queues a request for the syncing goroutine.
func (l *Log) put(w writeRequest) {
	l.unsyncedBytes.Add(int64(len(w.body)))
	l.queue <- w // does not block for ever: the goroutine receives requests also after the log has stopped
}

// rejectWrites answers all requests with an error once the log has stopped.
func (l *Log) rejectWrites() {
	for w := range l.queue {
		w.done(errs.New(errs.Disk, "write to disk: the log has stopped after an error or is closed"))
	}
}

// sync is the goroutine that writes the log. It takes all waiting requests, writes them, syncs once, and then calls
// their callbacks (group commit).
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
				buffer = appendRecord(buffer, w.body, l.syncedOffset)
				counters.records.Inc()
			}
			if w.slot != nil {
				state := slotState{Segment: l.segment, Offset: l.offset + int64(len(buffer)), State: *w.slot}
				l.slotDone.Add(1)
				l.slots <- slotRequest{w.group, state, l.segment, w.done}
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

// flush writes and syncs a batch of encoded records, and starts a new segment if the current one is large enough.
func (l *Log) flush(buffer []byte) error {
	if len(buffer) == 0 {
		return nil
	}
	if _, err := l.file.Write(buffer); err != nil {
		return errs.Wrap(err, errs.Disk, "write log segment")
	}
	if err := l.file.Sync(); err != nil {
		return errs.Wrap(err, errs.Disk, "sync log segment")
	}
	counters.syncs.Inc()
	counters.bytes.Add(float64(len(buffer)))
	l.offset += int64(len(buffer))
	l.syncedOffset = l.offset
	if l.offset >= l.opts.SegmentBytes {
		return l.rotate()
	}
	return nil
}

// rotate closes the current segment and starts a new one.
func (l *Log) rotate() error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errs.Wrap(err, errs.Disk, "close log segment")
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.segment++
	file, err := l.files.Open(segmentName(l.segment))
	if err != nil {
		return err
	}
	l.file, l.offset, l.syncedOffset = file, 0, 0
	l.segments = append(l.segments, l.segment)
	return nil
}

// fail stops the log for good: what was synced stays on disk, and all later writes are rejected.
func (l *Log) fail(err error) {
	l.mu.Lock()
	if l.err == nil {
		l.err = err
	}
	l.mu.Unlock()
	l.stopOnce.Do(func() { close(l.done) })
}
