package deliver

import (
	"context"
	"net/url"

	"caperwheel/internal/config"
	"caperwheel/internal/head"
	"caperwheel/internal/wire"
)

// Meet puts a request that came as it is to a worker in a codec, for tables
// from outside of the package.
func Meet(codec Codec, address string, kept head.Head) *wire.Outcome {
	a := scenery(address)
	a.codec = codec
	body := []byte("body")
	return a.deliver(context.Background(), &run{Run: wire.Run{Id: "0-x", Attempt: 1, Lane: "l", Pool: "p", Worker: "w", Body: body, Sum: wire.SumOf(body),
		Head: kept.Encode(), Bound: 50}, permit: &permit{held: &held{worker: NewWorker(config.Pool{Concurrency: 8}, 0, 0)}}})
}

// Tell tells a URL of an end in a codec, while others are under way to it.
func Tell(codec Codec, word *wire.Tell, others int) *wire.Told {
	a, tell := telling(codec)
	if u, err := url.Parse(word.Url); err == nil {
		for range others {
			a.tellers.enter(u.Host, func() {})
		}
	}
	return tell(word)
}

// Telling gives what tells one end after another in a codec.
func Telling(codec Codec) func(word *wire.Tell) *wire.Told {
	_, tell := telling(codec)
	return tell
}

func telling(codec Codec) (*Adapter, func(word *wire.Tell) *wire.Told) {
	a, told := scenery("127.0.0.1:1"), make(chan *wire.Told, 1)
	a.codec = codec
	return a, func(word *wire.Tell) *wire.Told {
		a.tell(word, func(reply any) { told <- reply.(*wire.Told) })
		return <-told
	}
}

// MostTellers is how many words may be under way to one address.
const MostTellers = mostTellers

// MostTold is how many words may be under way to one address or wait for that.
const MostTold = mostTellers + mostWaitingTell

// Raw answers with bytes as they are and hangs up.
var Raw = raw

// Meeting gives what puts one run after another to a worker, as a lane's own
// request or as one that came with a head.
func Meeting(codec Codec, address string) func(id string, kept head.Head, isLane bool) *wire.Outcome {
	a := scenery(address)
	a.codec = codec
	patient := []byte(`{"pools":{"p":{"bound":"1m","ease":"0s"}},"lanes":{"l":{"pools":["p"]}}}`)
	a.d.View.Take([]wire.PartNews{{From: 3, To: 4, Changes: []wire.Change{{Key: config.Key, Revision: 4, Value: patient}}}}, a.d.Now())
	body := []byte("body")
	return func(id string, kept head.Head, isLane bool) *wire.Outcome {
		r := &run{Run: wire.Run{Id: id, Attempt: 1, Lane: "l", Pool: "p", Worker: "w", Body: body, Sum: wire.SumOf(body)},
			permit: &permit{held: &held{worker: NewWorker(config.Pool{Concurrency: 8}, 0, 0)}}}
		if !isLane {
			r.Head = kept.Encode()
		}
		return a.deliver(context.Background(), r)
	}
}

// MostKept is how many bytes of an answer are kept as proof.
const MostKept = mostAnswer

// MeetWorker puts a request that came as it is to a listed worker.
func MeetWorker(codec Codec, listed config.Worker, kept head.Head) *wire.Outcome {
	a := scenery(listed.Address)
	a.codec = codec
	list := config.Workers{Workers: []config.Worker{listed}}
	a.d.View.Take([]wire.PartNews{{From: 3, To: 5, Changes: []wire.Change{{Key: config.WorkersKey + "p", Revision: 4, Value: list.Encode()},
		{Key: config.DutyKey + "p/" + listed.Name, Revision: 5, Value: config.Duty{Holder: "a", Boot: "1"}.Encode()}}}}, a.d.Now())
	return a.deliver(context.Background(), &run{Run: wire.Run{Id: "0-x", Attempt: 1, Lane: "l", Pool: "p", Worker: listed.Name, Sum: wire.SumOf(nil),
		Head: kept.Encode(), Bound: 50}, permit: &permit{held: &held{worker: NewWorker(config.Pool{Concurrency: 8}, 0, 0)}}})
}
