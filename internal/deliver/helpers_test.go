package deliver

import (
	"context"
	"net/url"

	"caperwheel/internal/config"
	"caperwheel/internal/requesthead"
	"caperwheel/internal/wire"
)

// DeliverOnce delivers a passthrough request to a worker in a codec, for tests outside of the package.
func DeliverOnce(codec Codec, address string, head requesthead.Head) *wire.Outcome {
	a := newTestAdapter(address)
	a.codec = codec
	body := []byte("body")
	return a.deliver(context.Background(), &run{Run: wire.Run{Id: "0-x", Attempt: 1, Lane: "l", Pool: "p", Worker: "w", Body: body, Checksum: wire.Checksum(body),
		RequestHead: head.Encode(), Bound: 50}, permit: &permit{held: &heldWorker{worker: NewWorkerState(config.Pool{Concurrency: 8}, 0, 0)}}})
}

// SendNotification sends a notification in a codec while others are in flight to the same address.
func SendNotification(codec Codec, request *wire.Tell, others int) *wire.Told {
	a, send := newNotificationAdapter(codec)
	if u, err := url.Parse(request.Url); err == nil {
		for range others {
			a.notificationLimiter.start(u.Host, func() {})
		}
	}
	return send(request)
}

// NotificationSender returns a function that sends one notification after another in a codec.
func NotificationSender(codec Codec) func(word *wire.Tell) *wire.Told {
	_, send := newNotificationAdapter(codec)
	return send
}

// newNotificationAdapter returns an adapter and a function that sends a notification with it.
func newNotificationAdapter(codec Codec) (*Adapter, func(request *wire.Tell) *wire.Told) {
	a, replies := newTestAdapter("127.0.0.1:1"), make(chan *wire.Told, 1)
	a.codec = codec
	return a, func(request *wire.Tell) *wire.Told {
		a.handleTell(request, func(reply any) { replies <- reply.(*wire.Told) })
		return <-replies
	}
}

// MaxNotificationsInFlight is the number of notifications that may be in flight to one address.
const MaxNotificationsInFlight = maxNotificationsInFlight

// MaxNotifications is the number of notifications that may be in flight to one address or wait.
const MaxNotifications = maxNotificationsInFlight + maxNotificationsWaiting

// RawReply returns a handler that writes raw bytes and closes the connection.
var RawReply = rawReply

// Deliverer returns a function that delivers one run after another to a worker, either as a lane's own request or as a
// passthrough request.
func Deliverer(codec Codec, address string) func(id string, head requesthead.Head, isLane bool) *wire.Outcome {
	a := newTestAdapter(address)
	a.codec = codec
	longBound := []byte(`{"pools":{"p":{"bound":"1m","ease":"0s"}},"lanes":{"l":{"pools":["p"]}}}`)
	a.d.View.Update([]wire.PartNews{{From: 3, To: 4, Changes: []wire.Change{{Key: config.DocumentKey, Revision: 4, Value: longBound}}}}, a.d.Now())
	body := []byte("body")
	return func(id string, head requesthead.Head, isLane bool) *wire.Outcome {
		r := &run{Run: wire.Run{Id: id, Attempt: 1, Lane: "l", Pool: "p", Worker: "w", Body: body, Checksum: wire.Checksum(body)},
			permit: &permit{held: &heldWorker{worker: NewWorkerState(config.Pool{Concurrency: 8}, 0, 0)}}}
		if !isLane {
			r.RequestHead = head.Encode()
		}
		return a.deliver(context.Background(), r)
	}
}

// MaxAnswerBytes is the number of bytes of a reply that are kept as proof.
const MaxAnswerBytes = maxAnswerBytes

// DeliverToWorker delivers a passthrough request to a listed worker.
func DeliverToWorker(codec Codec, listed config.Worker, head requesthead.Head) *wire.Outcome {
	a := newTestAdapter(listed.Address)
	a.codec = codec
	list := config.Workers{Workers: []config.Worker{listed}}
	a.d.View.Update([]wire.PartNews{{From: 3, To: 5, Changes: []wire.Change{{Key: config.WorkersKey + "p", Revision: 4, Value: list.Encode()},
		{Key: config.DutyKey + "p/" + listed.Name, Revision: 5, Value: config.Duty{Holder: "a", Boot: "1"}.Encode()}}}}, a.d.Now())
	return a.deliver(context.Background(), &run{Run: wire.Run{Id: "0-x", Attempt: 1, Lane: "l", Pool: "p", Worker: listed.Name, Checksum: wire.Checksum(nil),
		RequestHead: head.Encode(), Bound: 50}, permit: &permit{held: &heldWorker{worker: NewWorkerState(config.Pool{Concurrency: 8}, 0, 0)}}})
}
