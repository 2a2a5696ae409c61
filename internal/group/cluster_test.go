package group

import (
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// testCluster is an owner and two followers over ordered links with a delay and a
// rate, and disks that take a while. It counts the bytes of entries and images
// that the owner sends.
type testCluster struct {
	delay, sync    time.Duration
	rate           int                                           // bytes a second of each link; 0 for no bound
	isLost         func(now time.Duration, m wire.GroupMsg) bool // which messages are lost
	jitter         func() time.Duration                          // added to a delay, so that messages pass each other
	maxLinkBacklog int                                           // bytes that may wait on a link; 0 for no bound

	now             time.Duration
	events          map[time.Duration][]func()
	members         map[string]*Group
	images          map[string]*Snapshot
	linkFreeAt      map[string]time.Duration // link -> when it has sent all that waits
	diskFreeAt      map[string]time.Duration
	sent            map[string]int // bytes of entries and images, by link
	longestLinkWait time.Duration  // the longest that a message waited for its link
	applied         int
	accepted        int
}

func newTestCluster(delay, sync time.Duration) *testCluster {
	return &testCluster{delay: delay, sync: sync, events: map[time.Duration][]func(){}, members: map[string]*Group{}, images: map[string]*Snapshot{},
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
		if p.images[m.From].Index != m.Index {
			return // as a host does: the next one has been made meanwhile
		}
		m.State = p.images[m.From].State
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
		p.images[name] = out.Install
	}
	if name == trio[0] {
		for _, e := range out.Apply {
			p.applied += len(e.Data)
		}
	}
}

// run lets time pass and proposes size bytes each pause until then; none if pause is 0.
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
	if image := m.Compact(m.View().Commit, make([]byte, 700<<10)); image != nil {
		p.images[name] = image
	}
}
