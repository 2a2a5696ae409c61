package deliver

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/requesthead"
	"caperwheel/internal/wire"
)

// DefaultCodec is the product's own codec for passthrough requests.
var DefaultCodec = Codec{
	NewRequest: func(a RunRequest) (*http.Request, error) {
		kept, err := requesthead.Decode(a.Head)
		if err != nil {
			return nil, err
		}
		out := kept.NewRequest(a.Address, a.Body)
		out.Header[messageId], out.Header["Idempotency-Key"] = []string{a.Id}, []string{a.Id}
		return out, nil
	},
	MatchReply:     func(a RunRequest, answer *http.Response) ReplyMatch { return MatchHeader(answer, messageId, a.Id) },
	MaxAnswerBytes: maxAnswerBytes,
	Interpret: func(_ RunRequest, answer *http.Response, body []byte) RunResult {
		if answer.StatusCode >= 200 && answer.StatusCode <= 299 {
			return RunResult{Answer: body, IsBegun: true}
		}
		var o wire.Outcome
		err := statusError(&o, answer)
		return RunResult{Kind: errs.KindOf(err), Text: err.Error(), IsBegun: true, IsFinal: o.Final,
			RetryDelay: time.Duration(o.Wait) * time.Millisecond}
	},
	NewNotification: func(t *wire.Tell) (*http.Request, error) {
		raw, err := json.Marshal(map[string]any{"id": t.Id, "state": t.State, "answer": t.Answer})
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, "encode notification")
		}
		out, err := http.NewRequest(http.MethodPost, t.Url, bytes.NewReader(raw))
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "notification URL of message %s", t.Id)
		}
		out.Header.Set("Content-Type", "application/json")
		out.Header.Set(messageId, t.Id)
		return out, nil
	},
	MatchNotificationReply: func(t *wire.Tell, answer *http.Response) ReplyMatch { return MatchHeader(answer, messageId, t.Id) },
}
