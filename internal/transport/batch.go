package transport

import (
	"encoding/binary"
	"sync"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// frame is an encoded batch, ready to be written.
type frame struct {
	raw          []byte // header and array; reused
	seq          uint32
	payloadBytes int // of its messages
}

// batch is a full buffer that is to be encoded into a frame.
type batch struct {
	items        []wire.Item
	seq          uint32
	payloadBytes int
}

// Pools of reusable buffers for arrays and for batches.
var (
	rawPool  = sync.Pool{New: func() any { raw := make([]byte, 0, 4<<10); return &raw }}
	itemPool = sync.Pool{New: func() any { items := make([]wire.Item, 0, 8); return &items }}
)

// encodeBatch encodes a batch into a frame and hands it to the writing goroutine.
func (o *outbox) encodeBatch(b batch) {
	raw := rawPool.Get().(*[]byte)
	w := o.codec.AcquireWriter()
	defer o.codec.ReleaseWriter(w)
	for _, item := range b.items {
		before := w.Buffered()
		if err := o.codec.Append(w, item); err != nil {
			o.fail(err)
			return
		}
		o.metrics.countSent(item.Body, w.Buffered()-before)
	}
	count := len(b.items)
	clear(b.items) // drops the references to what was sent
	itemPool.Put(&b.items)
	out := append((*raw)[:0], make([]byte, frameHeaderSize+4)...)
	binary.BigEndian.PutUint32(out[frameHeaderSize:], uint32(count))
	out = append(out, w.Buffer()...)
	if len(out)-frameHeaderSize > o.opts.FrameLimit {
		o.fail(errs.New(errs.TooLarge, "encoded batch of %d bytes exceeds the frame limit", len(out)))
		return
	}
	o.mu.Lock()
	o.ready = append(o.ready, frame{raw: out, seq: b.seq, payloadBytes: b.payloadBytes})
	o.mu.Unlock()
	o.wake()
}
