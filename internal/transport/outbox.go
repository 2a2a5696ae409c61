package transport

import (
	"hash/crc32"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// batchBytes closes a batch before it is full: one of many large messages would
// pass the limit of a frame, and break the session each time it is tried.
const batchBytes = 1 << 20

// outbox buffers the messages of one direction of one session, turns full
// buffers into byte arrays on the pool, and writes them.
//
// Invariants: sent - credited never passes window, so neither side holds more
// than window messages of the other; pending never passes batch, nor by more
// than one message batchBytes.
type outbox struct {
	opts   *Options
	codec  *wire.Codec
	pool   pond.Pool
	conn   net.Conn
	window int64
	flow   flow
	past   *history // of what was written; the writing goroutine's alone

	mu       sync.Mutex
	pending  []wire.Item
	weight   int // bytes that they carry, about
	queued   int // the same, of all that is not written yet
	seq      uint32
	sent     int64
	credited int64
	flush    *time.Timer
	armed    bool
	broken   error

	ready    []frame // for the writing goroutine; the window bounds it
	consumed atomic.Uint64
	nudge    chan struct{}
	done     chan struct{}
	fail     func(error)
}

func newOutbox(opts *Options, codec *wire.Codec, pool pond.Pool, conn net.Conn, window int64, flow flow, past *history, fail func(error)) *outbox {
	o := &outbox{opts: opts, codec: codec, pool: pool, conn: conn, window: window, flow: flow, past: past, fail: fail,
		nudge: make(chan struct{}, 1), done: make(chan struct{})}
	o.flush = time.AfterFunc(time.Hour, o.onTick)
	o.flush.Stop()
	return o
}

// start begins to write. fail may be called from then on.
func (o *outbox) start() { go o.write() }

// put adds a message to the buffer; a full window is a definite reject.
func (o *outbox) put(item wire.Item) error {
	o.mu.Lock()
	if o.broken != nil {
		o.mu.Unlock()
		return o.broken
	}
	if o.sent-o.credited >= o.window {
		o.mu.Unlock()
		counters.full.Inc()
		return errs.New(errs.Full, "session window of %d", o.window)
	}
	o.sent++
	o.pending = append(o.pending, item)
	size := wire.SizeOf(item.Body)
	o.weight, o.queued = o.weight+size, o.queued+size
	if len(o.pending) >= o.opts.Batch || o.weight >= batchBytes {
		o.cut()
	} else if !o.armed {
		o.armed = true
		o.flush.Reset(o.opts.Flush)
	}
	o.mu.Unlock()
	return nil
}

// onTick sends a partial buffer. It has a goroutine of its own, so the few
// messages are converted here and need no worker of the pool to be woken.
func (o *outbox) onTick() {
	o.mu.Lock()
	o.armed = false
	if len(o.pending) == 0 || o.broken != nil {
		o.mu.Unlock()
		return
	}
	b := o.take()
	o.mu.Unlock()
	o.convert(b)
}

// cut hands the buffer to the pool. Called with mu held.
func (o *outbox) cut() {
	b := o.take()
	o.pool.Submit(func() { o.convert(b) })
}

// take gives the buffer and begins another. Called with mu held.
func (o *outbox) take() batch {
	b := batch{o.pending, o.seq, o.weight}
	o.weight = 0
	o.pending, o.seq = (*itemPool.Get().(*[]wire.Item))[:0], o.seq+1
	counters.batches.Inc()
	counters.messages.Add(float64(len(b.items)))
	o.flow.messages.Add(float64(len(b.items)))
	return b
}

func (o *outbox) wake() {
	select {
	case o.nudge <- struct{}{}:
	default:
	}
}

// write is the only goroutine that writes to the connection. Frames of an
// idle session carry no messages, only the credit.
func (o *outbox) write() {
	period := o.opts.Bounds.Of(idleRatio)
	beat := time.NewTimer(untilBeat(time.Since(begun), period))
	defer beat.Stop()
	idle := idleness{}
	for {
		isDue := true
		select {
		case <-o.nudge:
		case <-beat.C:
			beat.Reset(untilBeat(time.Since(begun), period))
			isDue = idle.beat()
		case <-o.done:
			return
		}
		o.mu.Lock()
		frames := o.ready
		o.ready = nil
		o.mu.Unlock()
		if len(frames) == 0 && isDue {
			frames = []frame{{raw: make([]byte, headSize+4)}}
		}
		for _, f := range frames {
			idle.wrote()
			if err := o.send(f); err != nil {
				o.fail(err)
				return
			}
		}
	}
}

func (o *outbox) send(f frame) error {
	raw, isCompressed := o.compress(f.raw)
	body := raw[headSize:]
	head{length: uint32(len(body)), isCompressed: isCompressed, sum: crc32.Checksum(body, castagnoli), seq: f.seq,
		consumed: o.consumed.Load()}.put(raw)
	o.conn.SetWriteDeadline(time.Now().Add(o.opts.Bounds.Of(deadRatio)))
	if _, err := o.conn.Write(raw); err != nil {
		return errs.Wrap(err, errs.Lost, "write frame")
	}
	counters.bytes.Add(float64(len(raw)))
	o.flow.bytes.Add(float64(len(raw)))
	rawPool.Put(&raw)
	o.mu.Lock()
	o.queued -= f.weight
	o.mu.Unlock()
	return nil
}

// compress returns a frame whose array is compressed, where the session's are and that is
// shorter.
func (o *outbox) compress(raw []byte) (frame []byte, isCompressed bool) {
	if o.past == nil {
		return raw, false
	}
	array := raw[headSize:]
	buffer := rawPool.Get().(*[]byte)
	out, isCompressed := o.past.compress(append((*buffer)[:0], make([]byte, headSize)...), array)
	o.past.add(array)
	if !isCompressed {
		rawPool.Put(&out)
		return raw, false
	}
	rawPool.Put(&raw)
	return out, true
}

// waiting is how many bytes have not been written yet, about.
func (o *outbox) waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queued
}

// credit notes how many of our messages the peer has consumed.
func (o *outbox) credit(consumed uint64) {
	o.mu.Lock()
	o.credited = max(o.credited, int64(consumed))
	o.mu.Unlock()
}

// consume notes that we consumed n of the peer's messages, and tells the peer
// at once when half a window is owed.
func (o *outbox) consume(n int) {
	was := o.consumed.Add(uint64(n))
	half := uint64(o.window / 2)
	if half > 0 && was/half != (was-uint64(n))/half {
		o.wake()
	}
}

func (o *outbox) close(cause error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.broken == nil {
		o.broken = cause
		o.flush.Stop()
		close(o.done)
	}
}
