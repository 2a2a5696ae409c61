package store

import (
	"fmt"

	"caperwheel/internal/wire"
)

// pendingRequests holds, by content, the requests whose proposals are not decided yet, and who waits for each. A
// repeated request waits together with the first one. It must not be appended to the log a second time, least of all
// while disks or links are slow, which is when requests are repeated.
//
// Invariant: everyone who joined is answered when the proposal is decided, which happens once for each proposal; the
// windows of the links limit how many wait.
type pendingRequests map[string][]func(any)

// join has answer called with the result of the pending request, and reports whether there is one.
func (u pendingRequests) join(key string, answer func(any)) bool {
	_, isPending := u[key]
	if isPending {
		u[key] = append(u[key], answer)
	}
	return isPending
}

// begin records a request that is about to be proposed, and returns a function that answers everyone who waits for it.
func (u pendingRequests) begin(key string, answer func(any)) (answerAll func(any)) {
	u[key] = []func(any){answer}
	return func(reply any) {
		waiting := u[key]
		delete(u, key)
		for _, answer := range waiting {
			answer(reply)
		}
	}
}

// markRepeat wraps answer so that the reply to an accepted message says that the request was a repeat.
func markRepeat(answer func(any)) func(any) {
	return func(reply any) {
		if taken, isTaken := reply.(*wire.Taken); isTaken {
			copied := *taken
			copied.IsRepeat = taken.Kind == "" || taken.IsRepeat
			reply = &copied
		}
		answer(reply)
	}
}

// takeKey identifies the content of a message.
func takeKey(t *wire.Take) string { return t.Id + "\x00" + t.Lane + "\x00" + t.Checksum }

// outcomeKey identifies the content of a result; only an identical result is a repeat.
func outcomeKey(o *wire.Outcome) string {
	f := &o.Proof
	return fmt.Sprintf("%s\x00%s\x00%s\x00%s\x00%s\x00%s\x00%s\x00%d %d %d %t %t", o.Id, o.Boot, o.Kind, f.Worker, f.Adapter, f.ContentType, f.Checksum,
		f.Attempt, f.Status, o.Wait, o.MayHaveStarted, o.Final)
}
