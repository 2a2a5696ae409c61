package storage

// GroupsHoldingSegments gives the groups whose newest slot keeps old segments alive.
func (l *Log) GroupsHoldingSegments(groups []int64) []int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []int64{}
	for _, id := range groups {
		if at, isKnown := l.firstNeeded[id]; isKnown && at < l.segment {
			out = append(out, id)
		}
	}
	return out
}

// Segments reports how many log segments there are.
func (l *Log) Segments() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.segments)
}

// IsFull reports whether the disk is too full for more intake. It leaves room
// for what is held to come to its end.
func (l *Log) IsDiskFull() bool {
	free, all, err := l.files.Free()
	return err != nil || free < max(l.opts.FreeBytes, all/1000*l.opts.FreePermille)
}

// UnsyncedBytes reports how many bytes were given to the log and are not synced yet.
func (l *Log) UnsyncedBytes() int64 { return l.unsyncedBytes.Load() }

// HasLostData reports whether something promised was found gone at the start. A
// group that the disk then knows nothing of is damaged too.
func (l *Log) HasLostData() bool { return l.hasLostData }

// Err reports why the disk stopped, if it did.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// Close stops writing; what was synced stays.
func (l *Log) Close() { l.stopOnce.Do(func() { close(l.done) }) }
