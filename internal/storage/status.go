package storage

// GroupsHoldingSegments returns those of the groups whose slots do not cover all segments before the current one, so
// that these cannot be deleted.
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

// Segments returns the number of log segments on disk.
func (l *Log) Segments() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.segments)
}

// IsDiskFull reports whether the disk is too full to accept more messages. The reserve is for finishing those that are
// held.
func (l *Log) IsDiskFull() bool {
	free, total, err := l.files.Free()
	return err != nil || free < max(l.opts.FreeBytes, total/1000*l.opts.FreePermille)
}

// UnsyncedBytes returns the number of bytes that were passed to the log and are not synced yet.
func (l *Log) UnsyncedBytes() int64 { return l.unsyncedBytes.Load() }

// HasLostData reports whether Open found that synced records are missing. A group that is not on the disk must be
// regarded as damaged then, too.
func (l *Log) HasLostData() bool { return l.hasLostData }

// Err returns the error that stopped the log; nil if there was none.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// Close stops the log. What was synced stays on disk.
func (l *Log) Close() { l.stopOnce.Do(func() { close(l.done) }) }
