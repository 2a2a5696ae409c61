package group

import (
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// testCluster simulates an owner and two followers over ordered links with a delay and a rate, and disks with a sync
// time. It counts the bytes of entries and snapshots that are sent.
type testCluster struct {
	delay, sync    time.Duration
	rate           int                                           // bytes per second of each link; 0 for no limit
	isLost         func(now time.Duration, m wire.GroupMsg) bool // which messages are lost
	jitter         func() time.Duration                          // added to the delay, so that messages overtake each other
	maxLinkBacklog int                                           // bytes that may wait on a link; 0 for no limit

	now             time.Duration
	events          map[time.Duration][]func() // pending work by time
	members         map[string]*Group
	snapshots       map[string]*Snapshot
	linkFreeAt      map[string]time.Duration // link -> when it will have sent everything that waits for it
	diskFreeAt      map[string]time.Duration // member -> when its disk will have synced everything
	sent            map[string]int           // bytes of entries and snapshots, by link
	longestLinkWait time.Duration            // the longest time that a message waited for its link
	applied         int                      // bytes of commands that trio[0] has applied
	accepted        int                      // bytes of commands that were proposed
}

func newTestCluster(delay, sync time.Duration) *testCluster {
	return &testCluster{delay: delay, sync: sync, events: map[time.Duration][]func(){}, members: map[string]*Group{}, snapshots: map[string]*Snapshot{},
		linkFreeAt: map[string]time.Duration{}, diskFreeAt: map[string]time.Duration{}, sent: map[string]int{}}
}

func (p *testCluster) start() {
	for _, name := range trio {
		opts := Options{Id: 1, Self: name, Roster: trio, Bounds: timing.Default, Seed: 7,
			PreferredOwner: func([]string) string { return trio[0] }}
		opts.HasRoom = func(to string) bool {
			return p.maxLinkBacklog == 0 || int((p.linkFreeAt[name+">"+to]-p.now)*time.Duration(p.rate)/time.Second) < p.maxLinkBacklog
		}
		p.members[name] = New(opts, HardState{}, nil, nil, 0)
	}
}

func (p *testCluster) after(wait time.Duration, work func()) {
	at := (p.now + wait + time.Millisecond - 1) / time.Millisecond * time.Millisecond
	p.events[at] = append(p.events[at], work)
}

func sizeOf(m wire.GroupMsg) int {
	size := len(m.State)
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size
}

func (p *testCluster) send(m wire.GroupMsg) {
	if m.Kind == MsgSnapshot {
		if p.snapshots[m.From].Index != m.Index {
			return // as a host does: a newer snapshot has been made meanwhile
		}
		m.State = p.snapshots[m.From].State
	}
	link, size := m.From+">"+m.To, sizeOf(m)
	p.sent[link] += size
	begin := max(p.now, p.linkFreeAt[link])
	if p.rate > 0 {
		p.linkFreeAt[link] = begin + time.Duration(size+80)*time.Second/time.Duration(p.rate)
		p.longestLinkWait = max(p.longestLinkWait, p.linkFreeAt[link]-p.now)
		begin = p.linkFreeAt[link]
	}
	if p.isLost != nil && p.isLost(p.now, m) {
		return
	}
	wait := begin - p.now + p.delay
	if p.jitter != nil {
		wait += p.jitter()
	}
	p.after(wait, func() { p.handle(m.To, p.members[m.To].Receive(m, p.now)) })
}

func (p *testCluster) handle(name string, out Output) {
	for _, m := range out.SendNow {
		p.send(m)
	}
	if out.Persist != nil || len(out.SendAfterSync) > 0 {
		done := max(p.now+p.sync, p.diskFreeAt[name])
		p.diskFreeAt[name] = done
		p.after(done-p.now, func() {
			for _, m := range out.SendAfterSync {
				p.send(m)
			}
			if out.Persist != nil && len(out.Persist.Entries) > 0 {
				last := out.Persist.Entries[len(out.Persist.Entries)-1]
				p.handle(name, p.members[name].Synced(last.Index, last.Term, p.now))
			}
		})
	}
	if out.Install != nil {
		p.snapshots[name] = out.Install
	}
	if name == trio[0] {
		for _, e := range out.Apply {
			p.applied += len(e.Data)
		}
	}
}

// run advances time and proposes a command of size bytes after each pause; none if pause is 0.
func (p *testCluster) run(until, pause time.Duration, size int) {
	for ; p.now < until; p.now += time.Millisecond {
		work := p.events[p.now]
		delete(p.events, p.now)
		for _, do := range work {
			do()
		}
		if p.now%(30*time.Millisecond) == 0 {
			for _, name := range trio {
				p.handle(name, p.members[name].Tick(p.now))
			}
		}
		for _, name := range trio {
			if pause == 0 || p.now%pause != 0 || p.members[name].View().Role != Owner {
				continue
			}
			if _, _, out, isOwner := p.members[name].Propose(make([]byte, size), p.now); isOwner {
				p.accepted += size
				p.handle(name, out)
			}
		}
	}
}

func (p *testCluster) compact(name string) {
	m := p.members[name]
	if snapshot := m.Compact(m.View().Commit, make([]byte, 700<<10)); snapshot != nil {
		p.snapshots[name] = snapshot
	}
}
