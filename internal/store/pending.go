package store

import (
	"fmt"

	"caperwheel/internal/wire"
)

// underWay are the asks whose proposals are not decided yet, by what they ask,
// and who waits for each. An ask that is sent again meanwhile waits with the
// first: it must not go into the log once more, least of all when disks or
// links are slow, which is when asks are sent again.
//
// Invariant: whoever joined is answered when the proposal is decided, which each
// is once; the links' windows bound how many wait.
type pendingRequests map[string][]func(any)

// join has answer wait for the ask under way, if there is one.
func (u pendingRequests) join(key string, answer func(any)) bool {
	_, isUnderWay := u[key]
	if isUnderWay {
		u[key] = append(u[key], answer)
	}
	return isUnderWay
}

// begin notes an ask that is about to be proposed, and gives what answers
// everybody who waits for it.
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

// markRepeat tells whoever joined an ask that it was asked before.
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

func takeKey(t *wire.Take) string { return t.Id + "\x00" + t.Lane + "\x00" + t.Checksum }

// outcomeKey tells results of a run apart: only the same one again is the same.
func outcomeKey(o *wire.Outcome) string {
	f := &o.Proof
	return fmt.Sprintf("%s\x00%s\x00%s\x00%s\x00%s\x00%s\x00%s\x00%d %d %d %t %t", o.Id, o.Boot, o.Kind, f.Worker, f.Adapter, f.ContentType, f.Checksum,
		f.Attempt, f.Status, o.Wait, o.MayHaveStarted, o.Final)
}
