package quota

import (
	"time"
)

// longestGap is after how long the time of the next message is drawn anew, in seconds.
const longestGap = 0.2

// arriveAgain plans the next message of all fronts.
func (w *world) arriveAgain() {
	sum := 0.0
	for _, rate := range w.rates {
		sum += rate
	}
	span := w.rand.ExpFloat64() / sum
	if span > longestGap { // rates may be others by then
		w.after(time.Duration(longestGap*float64(time.Second)), w.arriveAgain)
		return
	}
	w.after(time.Duration(span*float64(time.Second)), func() {
		at, left := 0, w.rand.Float64()*sum
		for at < len(w.rates)-1 && left > w.rates[at] {
			left -= w.rates[at]
			at++
		}
		if w.jumps {
			at = w.rand.IntN(len(w.fronts))
		}
		w.fronts[at].message()
		w.arriveAgain()
	})
}

// trouble has one thing go wrong, and plans the next.
func (w *world) trouble() {
	f := w.fronts[w.rand.IntN(len(w.fronts))]
	switch w.rand.IntN(5) {
	case 0:
		f.frozenUntil = w.now + w.between(10*time.Millisecond, 4*time.Second)
	case 1:
		f.restart()
	case 2, 3:
		w.changeOwner()
	case 4:
		w.calm()
	}
	w.after(w.between(0, w.pace), w.trouble)
}

// calm has one front, or all, get few messages for a while: they go on holding what they hold, or lose it.
func (w *world) calm() {
	first, last, part := 0, len(w.rates)-1, []float64{10, 1000}[w.rand.IntN(2)]
	if w.rand.IntN(2) == 0 {
		first = w.rand.IntN(len(w.rates))
		last = first
	}
	w.calmOf(first, last, part, w.between(0, 6*time.Second))
}

func (w *world) calmOf(first, last int, part float64, span time.Duration) {
	for i := first; i <= last; i++ {
		w.rates[i] = w.usual[i] / part
	}
	w.after(span, func() {
		for i := first; i <= last; i++ {
			w.rates[i] = w.usual[i]
		}
	})
}

// travel brings a message to its receiver after a while, or not, or twice.
func (w *world) travel(arrive func()) {
	if !w.isRough {
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
