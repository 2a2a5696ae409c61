package storage

import (
	"fmt"
	"strconv"
	"strings"

	"caperwheel/internal/errs"
)

// Open reads the state of all groups from disk, and starts a log for writing. It returns the groups by id.
func Open(files FileSystem, opts Options) (*Log, map[int64]*StoredGroup, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = 16 << 20
	}
	if opts.QueueLength == 0 {
		opts.QueueLength = 8192
	}
	if opts.FreePermille == 0 && opts.FreeBytes == 0 {
		opts.FreePermille, opts.FreeBytes = 20, 256<<20
	}
	l := &Log{opts: opts, files: files, queue: make(chan writeRequest, opts.QueueLength), slots: make(chan slotRequest, 256),
		done: make(chan struct{}), pairs: map[int64]*Pair{}, firstNeeded: map[int64]int64{}}
	groups, covered, err := l.readSlots()
	if err != nil {
		return nil, nil, err
	}
	if err := l.replay(groups, covered); err != nil {
		return nil, nil, err
	}
	if err := l.syncLastSegment(); err != nil {
		return nil, nil, err
	}
	if err := l.rotate(); err != nil {
		return nil, nil, err
	}
	go l.sync()
	go l.slotLoop()
	return l, groups, nil
}

// syncLastSegment syncs the last segment: a process that crashed may have left records in it that were never synced.
// They were replayed, so they must not be lost in the next power loss. OpenPair does the same for the newest slot.
func (l *Log) syncLastSegment() error {
	if len(l.segments) == 0 {
		return nil
	}
	return l.files.Sync(segmentName(l.segments[len(l.segments)-1]))
}

// position is a position in the log.
type position struct{ segment, offset int64 }

func (p position) before(q position) bool {
	return p.segment < q.segment || p.segment == q.segment && p.offset < q.offset
}

// readSlots reads the newest slots of all groups and the numbers of all segments. It returns the groups, and for each
// the position in the log up to which its slot covers the records.
func (l *Log) readSlots() (map[int64]*StoredGroup, map[int64]position, error) {
	groups, covered := map[int64]*StoredGroup{}, map[int64]position{}
	names, err := l.files.List()
	if err != nil {
		return nil, nil, err
	}
	for _, name := range names {
		if number, isLog := strings.CutPrefix(name, "log-"); isLog {
			if n, err := strconv.ParseInt(number, 10, 64); err == nil {
				l.segments = append(l.segments, n)
				l.segment = max(l.segment, n)
			}
		}
		number, isGroup := strings.CutPrefix(strings.TrimSuffix(strings.TrimSuffix(name, ".0"), ".1"), "group-")
		id, err := strconv.ParseInt(number, 10, 64)
		if !isGroup || err != nil || groups[id] != nil {
			continue
		}
		if groups[id], covered[id], err = l.readGroup(id); err != nil {
			return nil, nil, err
		}
	}
	return groups, covered, nil
}

// readGroup reads the newest slot of one group.
func (l *Log) readGroup(id int64) (*StoredGroup, position, error) {
	pair, raw, isTorn, err := OpenPair(l.files, groupFile(id))
	if err != nil {
		return nil, position{}, err
	}
	l.pairs[id] = pair
	h := &StoredGroup{}
	if raw == nil {
		h.IsDamaged = isTorn && pair.sequence > 1
		return h, position{}, nil
	}
	var state slotState
	if err := slotCodec.Decode(raw, &state); err != nil {
		h.IsDamaged = true
		return h, position{}, nil
	}
	h.apply(&state.State)
	l.firstNeeded[id] = state.Segment
	return h, position{state.Segment, state.Offset}, nil
}

func groupFile(id int64) string { return fmt.Sprintf("group-%d", id) }

// replay applies the records of the log that the slots of their groups do not cover.
func (l *Log) replay(groups map[int64]*StoredGroup, covered map[int64]position) error {
	for _, p := range covered { // if the newest slot is torn, the older one may need segments that are deleted
		if len(l.segments) > 0 && p.segment < l.segments[0] && p.segment > 0 {
			l.markDamaged(groups, covered, position{l.segments[0], 0})
		}
	}
	for i, n := range l.segments {
		raw, err := l.files.Read(segmentName(n))
		if err != nil {
			return err
		}
		isLast := i == len(l.segments)-1
		for at := 0; at < len(raw); {
			body, _, size := readRecord(raw[at:])
			if size == 0 {
				if isLast && !wasSynced(raw, at) {
					if err := l.files.Truncate(segmentName(n), int64(at)); err != nil {
						return err
					}
					break
				}
				// A restart truncates the torn tail and starts a new segment, so older segments have no torn
				// tail: a record that had been synced is lost.
				l.markDamaged(groups, covered, position{n, int64(len(raw))})
				break
			}
			if err := l.replayRecord(groups, covered, body, position{n, int64(at)}); err != nil {
				return err
			}
			at += size
		}
	}
	return nil
}

// replayRecord applies one record, unless the group's slot covers it.
func (l *Log) replayRecord(groups map[int64]*StoredGroup, covered map[int64]position, body []byte, at position) error {
	id, isValid := groupOf(body)
	if !isValid {
		return errs.New(errs.Corrupt, "read group of the record in %s at byte %d: no valid number", segmentName(at.segment), at.offset)
	}
	if groups[id] == nil {
		groups[id] = &StoredGroup{}
	}
	l.noteNeeded(id, at.segment)
	if at.before(covered[id]) {
		return nil
	}
	var r record
	if err := recordCodec.Decode(body, &r); err != nil {
		return errs.Wrap(err, errs.Corrupt, "decode record in %s at byte %d", segmentName(at.segment), at.offset)
	}
	groups[id].apply(&r)
	return nil
}

// noteNeeded records the first segment that a group without a slot needs.
func (l *Log) noteNeeded(id, segment int64) {
	if _, isKnown := l.firstNeeded[id]; !isKnown {
		l.firstNeeded[id] = segment
	}
}

// markDamaged marks all groups as damaged whose slots do not cover the lost part of the log.
func (l *Log) markDamaged(groups map[int64]*StoredGroup, covered map[int64]position, lost position) {
	l.hasLostData = true
	for id, h := range groups {
		if covered[id].before(lost) {
			h.IsDamaged = true
		}
	}
}

// slotLoop is the goroutine that writes slots and deletes old segments.
func (l *Log) slotLoop() {
	for {
		select {
		case s := <-l.slots:
			s.done(l.writeSlot(s))
			l.slotDone.Done()
		case <-l.done:
			return
		}
	}
}

// writeSlot writes a slot, and deletes the segments that are not needed any more.
func (l *Log) writeSlot(s slotRequest) error {
	l.mu.Lock()
	pair := l.pairs[s.group]
	if pair == nil {
		pair = &Pair{files: l.files, name: groupFile(s.group)}
		l.pairs[s.group] = pair
	}
	l.mu.Unlock()
	if err := pair.Save(slotCodec.Encode(&s.state)); err != nil {
		l.fail(err)
		return err
	}
	counters.slots.Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstNeeded[s.group] = max(l.firstNeeded[s.group], s.segment)
	return l.removeUnneeded()
}

// removeUnneeded deletes the segments that the newest slots of all groups cover.
func (l *Log) removeUnneeded() error {
	oldestNeeded := l.segment
	for _, at := range l.firstNeeded {
		oldestNeeded = min(oldestNeeded, at)
	}
	for len(l.segments) > 0 && l.segments[0] < oldestNeeded {
		if err := l.files.Remove(segmentName(l.segments[0])); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	return nil
}
