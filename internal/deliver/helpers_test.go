package deliver

import (
	"context"
	"net/url"

	"caperwheel/internal/config"
	"caperwheel/internal/requesthead"
	"caperwheel/internal/wire"
)

// DeliverOnce puts a request that came as it is to a worker in a codec, for tables
// from outside of the package.
func DeliverOnce(codec Codec, address string, kept requesthead.Head) *wire.Outcome {
	a := newTestAdapter(address)
	a.codec = codec
	body := []byte("body")
	return a.deliver(context.Background(), &run{Run: wire.Run{Id: "0-x", Attempt: 1, Lane: "l", Pool: "p", Worker: "w", Body: body, Checksum: wire.Checksum(body),
		RequestHead: kept.Encode(), Bound: 50}, permit: &permit{held: &heldWorker{worker: NewWorkerState(config.Pool{Concurrency: 8}, 0, 0)}}})
}

// Tell tells a URL of an end in a codec, while others are under way to it.
func SendNotification(codec Codec, word *wire.Tell, others int) *wire.Told {
	a, tell := newNotificationAdapter(codec)
	if u, err := url.Parse(word.Url); err == nil {
		for range others {
			a.notificationLimiter.start(u.Host, func() {})
		}
	}
	return tell(word)
}

// NotificationSender gives what tells one end after another in a codec.
func NotificationSender(codec Codec) func(word *wire.Tell) *wire.Told {
	_, tell := newNotificationAdapter(codec)
	return tell
}

func newNotificationAdapter(codec Codec) (*Adapter, func(word *wire.Tell) *wire.Told) {
	a, told := newTestAdapter("127.0.0.1:1"), make(chan *wire.Told, 1)
	a.codec = codec
	return a, func(word *wire.Tell) *wire.Told {
		a.handleTell(word, func(reply any) { told <- reply.(*wire.Told) })
		return <-told
	}
}

// MaxNotificationsInFlight is how many words may be under way to one address.
const MaxNotificationsInFlight = maxNotificationsInFlight

// MaxNotifications is how many words may be under way to one address or wait for that.
const MaxNotifications = maxNotificationsInFlight + maxNotificationsWaiting

// RawReply answers with bytes as they are and hangs up.
var RawReply = rawReply

// Deliverer gives what puts one run after another to a worker, as a lane's own
// request or as one that came with a head.
func Deliverer(codec Codec, address string) func(id string, kept requesthead.Head, isLane bool) *wire.Outcome {
	a := newTestAdapter(address)
	a.codec = codec
	patient := []byte(`{"pools":{"p":{"bound":"1m","ease":"0s"}},"lanes":{"l":{"pools":["p"]}}}`)
	a.d.View.Update([]wire.PartNews{{From: 3, To: 4, Changes: []wire.Change{{Key: config.DocumentKey, Revision: 4, Value: patient}}}}, a.d.Now())
	body := []byte("body")
	return func(id string, kept requesthead.Head, isLane bool) *wire.Outcome {
		r := &run{Run: wire.Run{Id: id, Attempt: 1, Lane: "l", Pool: "p", Worker: "w", Body: body, Checksum: wire.Checksum(body)},
			permit: &permit{held: &heldWorker{worker: NewWorkerState(config.Pool{Concurrency: 8}, 0, 0)}}}
		if !isLane {
			r.RequestHead = kept.Encode()
		}
		return a.deliver(context.Background(), r)
	}
}

// MaxAnswerBytes is how many bytes of an answer are kept as proof.
const MaxAnswerBytes = maxAnswerBytes

// DeliverToWorker puts a request that came as it is to a listed worker.
func DeliverToWorker(codec Codec, listed config.Worker, kept requesthead.Head) *wire.Outcome {
	a := newTestAdapter(listed.Address)
	a.codec = codec
	list := config.Workers{Workers: []config.Worker{listed}}
	a.d.View.Update([]wire.PartNews{{From: 3, To: 5, Changes: []wire.Change{{Key: config.WorkersKey + "p", Revision: 4, Value: list.Encode()},
		{Key: config.DutyKey + "p/" + listed.Name, Revision: 5, Value: config.Duty{Holder: "a", Boot: "1"}.Encode()}}}}, a.d.Now())
	return a.deliver(context.Background(), &run{Run: wire.Run{Id: "0-x", Attempt: 1, Lane: "l", Pool: "p", Worker: listed.Name, Checksum: wire.Checksum(nil),
		RequestHead: kept.Encode(), Bound: 50}, permit: &permit{held: &heldWorker{worker: NewWorkerState(config.Pool{Concurrency: 8}, 0, 0)}}})
}
