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

// batchBytesLimit closes a batch before it has its full count: a batch of many large messages would exceed
// the frame limit and break the session on every attempt.
const batchBytesLimit = 1 << 20

// outbox buffers the messages of one direction of one session, encodes full batches on the pool, and writes
// them.
//
// Invariants: sent - credited never exceeds window, so neither side holds more than window messages of the
// other; pending never exceeds the batch size, and its payload exceeds batchBytesLimit by at most one
// message.
type outbox struct {
	opts    *Options
	codec   *wire.Codec
	pool    pond.Pool
	conn    net.Conn
	window  int64
	metrics linkMetrics
	history *compressionHistory // of the written arrays; used by the writing goroutine only

	mu             sync.Mutex
	pending        []wire.Item
	pendingBytes   int // approximate payload of pending
	unwrittenBytes int // approximate payload of all messages not written yet
	nextSeq        uint32
	sent           int64
	credited       int64
	flushTimer     *time.Timer
	isFlushArmed   bool
	closeCause     error

	ready    []frame // for the writing goroutine; bounded by the window
	consumed atomic.Uint64
	wakeup   chan struct{}
	done     chan struct{}
	fail     func(error)
}

// newOutbox returns an outbox that does not write yet. fail is called with the cause when the session must
// close.
func newOutbox(opts *Options, codec *wire.Codec, pool pond.Pool, conn net.Conn, window int64, metrics linkMetrics, history *compressionHistory, fail func(error)) *outbox {
	o := &outbox{opts: opts, codec: codec, pool: pool, conn: conn, window: window, metrics: metrics, history: history, fail: fail,
		wakeup: make(chan struct{}, 1), done: make(chan struct{})}
	o.flushTimer = time.AfterFunc(time.Hour, o.onFlushTimer)
	o.flushTimer.Stop()
	return o
}

// start starts the writing goroutine. fail may be called from then on.
func (o *outbox) start() { go o.writeLoop() }

// enqueue adds a message to the pending batch. It rejects the message if the window is full; then nothing
// is sent.
func (o *outbox) enqueue(item wire.Item) error {
	o.mu.Lock()
	if o.closeCause != nil {
		o.mu.Unlock()
		return o.closeCause
	}
	if o.sent-o.credited >= o.window {
		o.mu.Unlock()
		counters.full.Inc()
		return errs.New(errs.Full, "session has %d unconsumed messages, the full window", o.window)
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

// onFlushTimer sends a partial batch. The timer has its own goroutine, so the few messages are encoded on
// it without waking a worker of the pool.
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

// submitBatch passes the pending batch to the pool. The caller holds mu.
func (o *outbox) submitBatch() {
	b := o.takeBatch()
	o.pool.Submit(func() { o.encodeBatch(b) })
}

// takeBatch returns the pending batch and starts another. The caller holds mu.
func (o *outbox) takeBatch() batch {
	b := batch{o.pending, o.nextSeq, o.pendingBytes}
	o.pendingBytes = 0
	o.pending, o.nextSeq = (*itemPool.Get().(*[]wire.Item))[:0], o.nextSeq+1
	counters.batches.Inc()
	counters.messages.Add(float64(len(b.items)))
	o.metrics.messages.Add(float64(len(b.items)))
	return b
}

// wake signals the writing goroutine that frames or credit are due.
func (o *outbox) wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

// writeLoop is the only goroutine that writes to the connection. On an idle session it writes frames
// without messages, which carry only the credit.
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

// writeFrame completes the header of a frame, compresses the array if it pays, and writes both to the
// connection.
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

// compress returns the frame with its array compressed, if the session compresses and that makes it
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

// queuedBytes returns the approximate payload bytes that have not been written yet.
func (o *outbox) queuedBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unwrittenBytes
}

// addCredit records the total number of messages that the peer has consumed.
func (o *outbox) addCredit(consumed uint64) {
	o.mu.Lock()
	o.credited = max(o.credited, int64(consumed))
	o.mu.Unlock()
}

// addConsumed records that n of the peer's messages were consumed, and sends the credit immediately each
// time that another half window has been consumed.
func (o *outbox) addConsumed(n int) {
	total := o.consumed.Add(uint64(n))
	half := uint64(o.window / 2)
	if half > 0 && total/half != (total-uint64(n))/half {
		o.wake()
	}
}

// close stops the writing goroutine and rejects further messages with cause.
func (o *outbox) close(cause error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closeCause == nil {
		o.closeCause = cause
		o.flushTimer.Stop()
		close(o.done)
	}
}
