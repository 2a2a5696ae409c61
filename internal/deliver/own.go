package deliver

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/head"
	"caperwheel/internal/wire"
)

// Own is the product's own codec for requests that are given on as they came.
var Own = Codec{
	Ask: func(a Asking) (*http.Request, error) {
		kept, err := head.Decode(a.Head)
		if err != nil {
			return nil, err
		}
		out := kept.To(a.Address, a.Body)
		out.Header[messageId], out.Header["Idempotency-Key"] = []string{a.Id}, []string{a.Id}
		return out, nil
	},
	Names:    func(a Asking, answer *http.Response) Naming { return NamingIn(answer, messageId, a.Id) },
	MostKept: mostAnswer,
	Judge: func(_ Asking, answer *http.Response, body []byte) Judgement {
		if answer.StatusCode >= 200 && answer.StatusCode <= 299 {
			return Judgement{Answer: body, IsBegun: true}
		}
		var o wire.Outcome
		err := refused(&o, answer)
		return Judgement{Kind: errs.KindOf(err), Text: err.Error(), IsBegun: true, IsFinal: o.Final,
			Wait: time.Duration(o.Wait) * time.Millisecond}
	},
	Tell: func(t *wire.Tell) (*http.Request, error) {
		raw, err := json.Marshal(map[string]any{"id": t.Id, "state": t.State, "answer": t.Answer})
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, "word")
		}
		out, err := http.NewRequest(http.MethodPost, t.Url, bytes.NewReader(raw))
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "URL of %s", t.Id)
		}
		out.Header.Set("Content-Type", "application/json")
		out.Header.Set(messageId, t.Id)
		return out, nil
	},
	ToldNames: func(t *wire.Tell, answer *http.Response) Naming { return NamingIn(answer, messageId, t.Id) },
}
