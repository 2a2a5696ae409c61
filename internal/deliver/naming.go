package deliver

import (
	"net/http"
	"strconv"

	"caperwheel/internal/errs"
	"caperwheel/internal/web"
)

// Naming is what an answer says of the request that it belongs to.
type Naming int

// The namings. A worker may send a second answer late, when the next request is
// on the connection already; only its id then tells whose it is.
const (
	NamesNothing Naming = iota
	NamesThis
	NamesAnother
)

// NamingIn reads a field by which an answer repeats an id.
func NamingIn(answer *http.Response, field, id string) Naming {
	values := answer.Header.Values(field)
	for _, value := range values {
		if value != id {
			return NamesAnother
		}
	}
	if len(values) == 0 || id == "" {
		return NamesNothing
	}
	return NamesThis
}

// ownNaming reads the fields that our own interface asks workers to repeat. The
// attempt, which tells two runs of one message apart, may be left out.
func ownNaming(answer *http.Response, id string, attempt int64) Naming {
	naming := NamingIn(answer, messageId, id)
	if naming == NamesThis && NamingIn(answer, attemptNumber, strconv.FormatInt(attempt, 10)) == NamesAnother {
		return NamesAnother
	}
	return naming
}

// The fields of our own interface that tell runs apart.
const (
	messageId     = "X-Message-Id"
	attemptNumber = "X-Attempt"
)

// sole returns a judge of answers by what they name. An answer that names nothing
// can be told to be this request's only if no other went over the connection
// before, so that connection carries no other after it. Nor does that of a failure:
// its message runs again under the same id, and a second copy of the failure, come
// late, would be taken for the next attempt's.
func sole(naming func(*http.Response) Naming) (mayKeep func(*web.Reply) bool, check func(*web.Reply) error) {
	mayKeep = func(reply *web.Reply) bool {
		return naming(reply.Response) == NamesThis && !isFailure(reply.StatusCode)
	}
	check = func(reply *web.Reply) error {
		switch found := naming(reply.Response); {
		case found == NamesAnother:
			return errs.New(errs.Truncated, "the answer belongs to another message")
		case found == NamesNothing && !reply.IsFirst:
			return errs.New(errs.Truncated, "an answer that names no message, on a connection that had another")
		}
		return nil
	}
	return mayKeep, check
}

// isFailure reports whether a status says that an attempt failed. A worker that is
// full has not begun one.
func isFailure(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable
}
