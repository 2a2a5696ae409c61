package deliver

import (
	"caperwheel/internal/charter"
	"caperwheel/internal/head"
	"caperwheel/internal/store"
	"caperwheel/internal/wire"
)

// Meet puts a request that came as it is to a worker in a manner, for tables
// from outside of the package.
func Meet(manner Manner, address string, kept head.Head) *wire.Outcome {
	a := scenery(address)
	a.manner = manner
	body := []byte("body")
	return a.deliver(&run{Run: wire.Run{Id: "0-x", Attempt: 1, Lane: "l", Pool: "p", Worker: "w", Body: body, Sum: store.SumOf(body),
		Head: kept.Encode(), Bound: 50}, worker: NewWorker(charter.Pool{Concurrency: 8}, 0, 0)})
}

// Raw answers with bytes as they are and hangs up.
var Raw = raw
