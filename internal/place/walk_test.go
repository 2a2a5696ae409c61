package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	walks     = 150
	walkSteps = 400
)

// placeWalk performs the operations of an owner in random order. Proposals are committed later than they are made, with
// other commands in between.
type placeWalk struct {
	m        *Machine
	random   *rand.Rand
	now      int64
	count    int
	proposed []Command
}

func newPlaceWalk(seed uint64) *placeWalk {
	w := &placeWalk{m: New(), random: rand.New(rand.NewPCG(seed, 7))}
	if seed%2 == 0 { // half of the walks at the newest feature level, half at none
		w.apply(RaiseLevel(NewestLevel))
	}
	return w
}

func (w *placeWalk) apply(c Command) Result {
	c.At = w.now
	return w.m.Apply(c)
}

// any returns one of the messages that are not archived, or nil.
func (w *placeWalk) any() *Message {
	for id := range w.m.messages {
		return w.m.messages[id]
	}
	return nil
}

func (w *placeWalk) take() {
	w.count++
	c := take(fmt.Sprint(w.count))
	c.Deadline, c.Delay = 50+w.random.Int64N(2000), w.random.Int64N(3)*w.random.Int64N(300)
	c.Ordered, c.Key = w.random.IntN(2) == 0, fmt.Sprint(w.random.IntN(4))
	c.Notify = []string{"", "http://10.0.0.1/"}[w.random.IntN(2)]
	w.apply(c)
}

// pickAndStart picks a message, and starts it or puts it back.
func (w *placeWalk) pickAndStart() {
	e := w.m.Pick("l", w.now)
	if e == nil {
		return
	}
	c := start(e.Id, e.Attempt+1)
	c.Deadline = w.random.Int64N(200)
	if w.random.IntN(6) == 0 || w.apply(c).Kind != "" {
		w.m.Unpick(e)
	}
}

// finishRun reports the outcome of the newest run of a message or of an older one.
func (w *placeWalk) finishRun() {
	e := w.any()
	if e == nil || e.Attempt == 0 {
		return
	}
	attempt := e.Attempt - w.random.Int64N(2)
	switch w.random.IntN(4) {
	case 0:
		w.apply(runSucceeded(e.Id, max(1, attempt)))
	case 1:
		w.apply(closedAs(e.Id, attempt, Failed))
	default:
		c := runFailed(e.Id, attempt)
		c.Deadline, c.HoldsKey = w.random.Int64N(200), w.random.IntN(2) == 0
		w.apply(c)
	}
}

func (w *placeWalk) step() {
	w.now += w.random.Int64N(40)
	switch w.random.IntN(10) {
	case 0, 1, 2:
		w.take()
	case 3, 4, 5:
		w.pickAndStart()
	case 6, 7:
		w.finishRun()
	case 8:
		for _, e := range w.m.TakeExpired(w.now) { // committed after other commands
			w.proposed = append(w.proposed, closedAs(e.Id, e.Attempt, Expired))
		}
		w.apply(Command{Kind: CmdTrim, Ids: w.m.TakeForgettable(w.now, 5)})
	case 9:
		for _, c := range w.proposed {
			w.apply(c)
		}
		w.proposed = nil
		if w.random.IntN(8) == 0 {
			w.m.RebuildQueue() // as after a change of owner
		}
	}
}

// stuck describes a message that would never make progress again; "" if there is none.
func (w *placeWalk) stuck() string {
	for key, list := range w.m.keys {
		if e := w.m.messages[list[0]]; e == nil || e.State.IsOver() && !e.IsHoldingKey {
			return fmt.Sprintf("key %q waits for %s, which is over", key, list[0])
		}
	}
	closing := map[string]bool{}
	for _, c := range w.proposed {
		closing[c.Id] = true
	}
	for id, e := range w.m.messages {
		sets := map[*sortedSet]bool{}
		for _, s := range w.m.queue.positions[id] {
			sets[s.set] = true
		}
		isReady := w.m.queue.ready[e.Lane] != nil && (sets[w.m.queue.ready[e.Lane].fresh] || sets[w.m.queue.ready[e.Lane].retries])
		isWatched := sets[w.m.queue.expiries] || closing[id]
		switch {
		case w.m.level >= LevelFreesKeys && e.State == Ended && e.IsHoldingKey && e.Due <= w.m.clock:
			return id + " holds its key though its last run must be over"
		case e.State == Started && !w.m.queue.running[id]:
			return id + " is started and not running"
		case e.State == Held && !isWatched:
			return id + " is held and never expires"
		case e.State == Held && w.m.isFirstOfKey(e) && !isReady && !sets[w.m.queue.delayed] && e.Deadline > w.now:
			return id + " is held, may run, and is not ready"
		}
	}
	return ""
}

// TestNothingIsForgotten checks that, in any order of events, each message that is not over is ready, delayed,
// running or blocked by another message of its key, and expires in the end.
func TestNothingIsForgotten(t *testing.T) {
	Convey("No message is stuck after any sequence of an owner's operations", t, func() {
		stuck := []string{}
		for seed := uint64(1); seed <= walks; seed++ {
			w := newPlaceWalk(seed)
			for range walkSteps {
				w.step()
				if text := w.stuck(); text != "" {
					stuck = append(stuck, fmt.Sprintf("seed %d at %d: %s", seed, w.now, text))
					break
				}
			}
		}
		So(stuck, ShouldBeEmpty)
	})
}

// TestKeyOfAnOlderSuccess checks that a key is released once the newest run of its message must be over, where the
// success of an older run ended the message before.
func TestKeyOfAnOlderSuccess(t *testing.T) {
	Convey("Given two messages of a key, the first with a run that may go on until 1500, at the level that releases keys", t, func() {
		m := New()
		m.Apply(RaiseLevel(LevelFreesKeys))
		for _, c := range []Command{ordered("0"), ordered("1"), start("0", 1), runFailed("0", 1), start("0", 2)} {
			m.Apply(c)
		}
		open := runFailed("0", 2)
		open.HoldsKey, open.Deadline = true, 1500
		m.Apply(open)
		older := runSucceeded("0", 1)
		older.Retain = 100_000
		m.Apply(older)
		So(m.Find("0").State, ShouldEqual, Ended)
		So(m.Ready(1499), ShouldBeEmpty)
		mark := TimeMark()
		mark.At = 1600
		m.Apply(mark)
		So(m.Ready(1600)["l"], ShouldEqual, 1)
	})
}
