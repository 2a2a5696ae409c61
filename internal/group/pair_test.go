package group

import (
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// pair is an owner and two followers over ordered links with a delay and a
// rate, and disks that take a while. It counts the bytes of entries and images
// that the owner sends.
type pair struct {
	delay, sync time.Duration
	rate        int                                           // bytes a second of each link; 0 for no bound
	lose        func(now time.Duration, m wire.GroupMsg) bool // which messages are lost
	jitter      func() time.Duration                          // added to a delay, so that messages pass each other
	room        int                                           // bytes that may wait on a link; 0 for no bound

	now      time.Duration
	at       map[time.Duration][]func()
	members  map[string]*Group
	images   map[string]*Image
	busy     map[string]time.Duration // link -> when it has sent all that waits
	diskFree map[string]time.Duration
	sent     map[string]int // bytes of entries and images, by link
	waits    time.Duration  // the longest that a message waited for its link
	applied  int
	accepted int
}

func newPair(delay, sync time.Duration) *pair {
	return &pair{delay: delay, sync: sync, at: map[time.Duration][]func(){}, members: map[string]*Group{}, images: map[string]*Image{},
		busy: map[string]time.Duration{}, diskFree: map[string]time.Duration{}, sent: map[string]int{}}
}

func (p *pair) found() {
	for _, name := range trio {
		opts := Options{Id: 1, Self: name, Roster: trio, Bounds: timing.Default, Seed: 7,
			Prefer: func([]string) string { return trio[0] }}
		opts.Room = func(to string) bool {
			return p.room == 0 || int((p.busy[name+">"+to]-p.now)*time.Duration(p.rate)/time.Second) < p.room
		}
		p.members[name] = New(opts, HardState{}, nil, nil, 0)
	}
}

func (p *pair) after(wait time.Duration, work func()) {
	at := (p.now + wait + time.Millisecond - 1) / time.Millisecond * time.Millisecond
	p.at[at] = append(p.at[at], work)
}

func sizeOf(m wire.GroupMsg) int {
	size := len(m.State)
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size
}

func (p *pair) send(m wire.GroupMsg) {
	if m.Kind == MsgImage {
		if p.images[m.From].Index != m.Index {
			return // as a host does: the next one has been made meanwhile
		}
		m.State = p.images[m.From].State
	}
	link, size := m.From+">"+m.To, sizeOf(m)
	p.sent[link] += size
	begin := max(p.now, p.busy[link])
	if p.rate > 0 {
		p.busy[link] = begin + time.Duration(size+80)*time.Second/time.Duration(p.rate)
		p.waits = max(p.waits, p.busy[link]-p.now)
		begin = p.busy[link]
	}
	if p.lose != nil && p.lose(p.now, m) {
		return
	}
	wait := begin - p.now + p.delay
	if p.jitter != nil {
		wait += p.jitter()
	}
	p.after(wait, func() { p.do(m.To, p.members[m.To].Receive(m, p.now)) })
}

func (p *pair) do(name string, out Out) {
	for _, m := range out.Now {
		p.send(m)
	}
	if out.Persist != nil || len(out.After) > 0 {
		done := max(p.now+p.sync, p.diskFree[name])
		p.diskFree[name] = done
		p.after(done-p.now, func() {
			for _, m := range out.After {
				p.send(m)
			}
			if out.Persist != nil && len(out.Persist.Entries) > 0 {
				last := out.Persist.Entries[len(out.Persist.Entries)-1]
				p.do(name, p.members[name].Synced(last.Index, last.Term, p.now))
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
func (p *pair) run(until, pause time.Duration, size int) {
	for ; p.now < until; p.now += time.Millisecond {
		work := p.at[p.now]
		delete(p.at, p.now)
		for _, do := range work {
			do()
		}
		if p.now%(30*time.Millisecond) == 0 {
			for _, name := range trio {
				p.do(name, p.members[name].Tick(p.now))
			}
		}
		for _, name := range trio {
			if pause == 0 || p.now%pause != 0 || p.members[name].View().Role != Owner {
				continue
			}
			if _, _, out, isOwner := p.members[name].Propose(make([]byte, size), p.now); isOwner {
				p.accepted += size
				p.do(name, out)
			}
		}
	}
}

func (p *pair) compact(name string) {
	m := p.members[name]
	if image := m.Compact(m.View().Commit, make([]byte, 700<<10)); image != nil {
		p.images[name] = image
	}
}
