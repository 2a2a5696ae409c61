package quota

import (
	"time"
)

// maxGapSeconds is the longest wait before the time of the next message is drawn again.
const maxGapSeconds = 0.2

// scheduleMessage schedules the next message of any adapter.
func (w *simulation) scheduleMessage() {
	sum := 0.0
	for _, rate := range w.rates {
		sum += rate
	}
	span := w.rand.ExpFloat64() / sum
	if span > maxGapSeconds { // the rates may have changed by then
		w.after(time.Duration(maxGapSeconds*float64(time.Second)), w.scheduleMessage)
		return
	}
	w.after(time.Duration(span*float64(time.Second)), func() {
		at, left := 0, w.rand.Float64()*sum
		for at < len(w.rates)-1 && left > w.rates[at] {
			left -= w.rates[at]
			at++
		}
		if w.spreadsMessages {
			at = w.rand.IntN(len(w.adapters))
		}
		w.adapters[at].receiveMessage()
		w.scheduleMessage()
	})
}

// injectFault injects one random fault, and schedules the next.
func (w *simulation) injectFault() {
	f := w.adapters[w.rand.IntN(len(w.adapters))]
	switch w.rand.IntN(5) {
	case 0:
		f.frozenUntil = w.now + w.between(10*time.Millisecond, 4*time.Second)
	case 1:
		f.restart()
	case 2, 3:
		w.changeOwner()
	case 4:
		w.reduceLoad()
	}
	w.after(w.between(0, w.maxFaultInterval), w.injectFault)
}

// reduceLoad lowers the rate of messages at one adapter, or at all, for a while, so that they keep their tokens unused
// or lose them.
func (w *simulation) reduceLoad() {
	first, last, part := 0, len(w.rates)-1, []float64{10, 1000}[w.rand.IntN(2)]
	if w.rand.IntN(2) == 0 {
		first = w.rand.IntN(len(w.rates))
		last = first
	}
	w.reduceLoadOf(first, last, part, w.between(0, 6*time.Second))
}

func (w *simulation) reduceLoadOf(first, last int, part float64, span time.Duration) {
	for i := first; i <= last; i++ {
		w.rates[i] = w.baseRates[i] / part
	}
	w.after(span, func() {
		for i := first; i <= last; i++ {
			w.rates[i] = w.baseRates[i]
		}
	})
}

// transmit delivers a message after a random delay; with faults it may be lost or delivered twice.
func (w *simulation) transmit(arrive func()) {
	if !w.hasFaults {
		w.after(w.between(time.Millisecond, 4*time.Millisecond), arrive)
		return
	}
	copies := 1
	switch w.rand.IntN(12) {
	case 0:
		copies = 0
	case 1:
		copies = 2
	}
	for range copies {
		late := 30 * time.Millisecond
		if w.rand.IntN(10) == 0 {
			late = 5 * time.Second
		}
		w.after(w.between(time.Millisecond, late), arrive)
	}
}
