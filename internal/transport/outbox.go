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

// batchBytesLimit closes a batch before it is full: one of many large messages would
// pass the limit of a frame, and break the session each time it is tried.
const batchBytesLimit = 1 << 20

// outbox buffers the messages of one direction of one session, turns full
// buffers into byte arrays on the pool, and writes them.
//
// Invariants: sent - credited never passes window, so neither side holds more
// than window messages of the other; pending never passes batch, nor by more
// than one message batchBytesLimit.
type outbox struct {
	opts    *Options
	codec   *wire.Codec
	pool    pond.Pool
	conn    net.Conn
	window  int64
	metrics linkMetrics
	history *compressionHistory // of what was written; the writing goroutine's alone

	mu             sync.Mutex
	pending        []wire.Item
	pendingBytes   int // bytes that they carry, about
	unwrittenBytes int // the same, of all that is not written yet
	nextSeq        uint32
	sent           int64
	credited       int64
	flushTimer     *time.Timer
	isFlushArmed   bool
	closeCause     error

	ready    []frame // for the writing goroutine; the window bounds it
	consumed atomic.Uint64
	wakeup   chan struct{}
	done     chan struct{}
	fail     func(error)
}

func newOutbox(opts *Options, codec *wire.Codec, pool pond.Pool, conn net.Conn, window int64, metrics linkMetrics, history *compressionHistory, fail func(error)) *outbox {
	o := &outbox{opts: opts, codec: codec, pool: pool, conn: conn, window: window, metrics: metrics, history: history, fail: fail,
		wakeup: make(chan struct{}, 1), done: make(chan struct{})}
	o.flushTimer = time.AfterFunc(time.Hour, o.onFlushTimer)
	o.flushTimer.Stop()
	return o
}

// start begins to write. fail may be called from then on.
func (o *outbox) start() { go o.writeLoop() }

// put adds a message to the buffer; a full window is a definite reject.
func (o *outbox) enqueue(item wire.Item) error {
	o.mu.Lock()
	if o.closeCause != nil {
		o.mu.Unlock()
		return o.closeCause
	}
	if o.sent-o.credited >= o.window {
		o.mu.Unlock()
		counters.full.Inc()
		return errs.New(errs.Full, "session window of %d", o.window)
	}
	o.sent++
	o.pending = append(o.pending, item)
	size := wire.PayloadSize(item.Body)
	o.pendingBytes, o.unwrittenBytes = o.pendingBytes+size, o.unwrittenBytes+size
	if len(o.pending) >= o.opts.Batch || o.pendingBytes >= batchBytesLimit {
		o.submitBatch()
	} else if !o.isFlushArmed {
		o.isFlushArmed = true
		o.flushTimer.Reset(o.opts.Flush)
	}
	o.mu.Unlock()
	return nil
}

// onFlushTimer sends a partial buffer. It has a goroutine of its own, so the few
// messages are converted here and need no worker of the pool to be woken.
func (o *outbox) onFlushTimer() {
	o.mu.Lock()
	o.isFlushArmed = false
	if len(o.pending) == 0 || o.closeCause != nil {
		o.mu.Unlock()
		return
	}
	b := o.takeBatch()
	o.mu.Unlock()
	o.encodeBatch(b)
}

// submitBatch hands the buffer to the pool. Called with mu held.
func (o *outbox) submitBatch() {
	b := o.takeBatch()
	o.pool.Submit(func() { o.encodeBatch(b) })
}

// takeBatch gives the buffer and begins another. Called with mu held.
func (o *outbox) takeBatch() batch {
	b := batch{o.pending, o.nextSeq, o.pendingBytes}
	o.pendingBytes = 0
	o.pending, o.nextSeq = (*itemPool.Get().(*[]wire.Item))[:0], o.nextSeq+1
	counters.batches.Inc()
	counters.messages.Add(float64(len(b.items)))
	o.metrics.messages.Add(float64(len(b.items)))
	return b
}

func (o *outbox) wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

// writeLoop is the only goroutine that writes to the connection. Frames of an
// idle session carry no messages, only the credit.
func (o *outbox) writeLoop() {
	period := o.opts.Bounds.Of(keepAliveRatio)
	beat := time.NewTimer(untilTick(time.Since(processStart), period))
	defer beat.Stop()
	idle := keepAliveTracker{}
	for {
		isDue := true
		select {
		case <-o.wakeup:
		case <-beat.C:
			beat.Reset(untilTick(time.Since(processStart), period))
			isDue = idle.tick()
		case <-o.done:
			return
		}
		o.mu.Lock()
		frames := o.ready
		o.ready = nil
		o.mu.Unlock()
		if len(frames) == 0 && isDue {
			frames = []frame{{raw: make([]byte, frameHeaderSize+4)}}
		}
		for _, f := range frames {
			idle.frameWritten()
			if err := o.writeFrame(f); err != nil {
				o.fail(err)
				return
			}
		}
	}
}

func (o *outbox) writeFrame(f frame) error {
	raw, isCompressed := o.compress(f.raw)
	body := raw[frameHeaderSize:]
	frameHeader{length: uint32(len(body)), isCompressed: isCompressed, checksum: crc32.Checksum(body, castagnoli), seq: f.seq,
		consumed: o.consumed.Load()}.encode(raw)
	o.conn.SetWriteDeadline(time.Now().Add(o.opts.Bounds.Of(connectionTimeoutRatio)))
	if _, err := o.conn.Write(raw); err != nil {
		return errs.Wrap(err, errs.Lost, "write frame")
	}
	counters.bytes.Add(float64(len(raw)))
	o.metrics.bytes.Add(float64(len(raw)))
	rawPool.Put(&raw)
	o.mu.Lock()
	o.unwrittenBytes -= f.payloadBytes
	o.mu.Unlock()
	return nil
}

// compress returns a frame whose array is compressed, where the session's are and that is
// shorter.
func (o *outbox) compress(raw []byte) (frame []byte, isCompressed bool) {
	if o.history == nil {
		return raw, false
	}
	array := raw[frameHeaderSize:]
	buffer := rawPool.Get().(*[]byte)
	out, isCompressed := o.history.compress(append((*buffer)[:0], make([]byte, frameHeaderSize)...), array)
	o.history.add(array)
	if !isCompressed {
		rawPool.Put(&out)
		return raw, false
	}
	rawPool.Put(&raw)
	return out, true
}

// waiting is how many bytes have not been written yet, about.
func (o *outbox) queuedBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unwrittenBytes
}

// addCredit notes how many of our messages the peer has consumed.
func (o *outbox) addCredit(consumed uint64) {
	o.mu.Lock()
	o.credited = max(o.credited, int64(consumed))
	o.mu.Unlock()
}

// consume notes that we consumed n of the peer's messages, and tells the peer
// at once when half a window is owed.
func (o *outbox) addConsumed(n int) {
	total := o.consumed.Add(uint64(n))
	half := uint64(o.window / 2)
	if half > 0 && total/half != (total-uint64(n))/half {
		o.wake()
	}
}

func (o *outbox) close(cause error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closeCause == nil {
		o.closeCause = cause
		o.flushTimer.Stop()
		close(o.done)
	}
}
