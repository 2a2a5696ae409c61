package deliver

import (
	"net/http"
	"strconv"

	"caperwheel/internal/errs"
	"caperwheel/internal/web"
)

// ReplyMatch is what an answer says of the request that it belongs to.
type ReplyMatch int

// The namings. A worker may send a second answer late, when the next request is
// on the connection already; only its id then tells whose it is.
const (
	ReplyUnidentified ReplyMatch = iota
	ReplyMatches
	ReplyMismatch
)

// MatchHeader reads a field by which an answer repeats an id.
func MatchHeader(answer *http.Response, field, id string) ReplyMatch {
	values := answer.Header.Values(field)
	for _, value := range values {
		if value != id {
			return ReplyMismatch
		}
	}
	if len(values) == 0 || id == "" {
		return ReplyUnidentified
	}
	return ReplyMatches
}

// matchOwnHeaders reads the fields that our own interface asks workers to repeat. The
// attempt, which tells two runs of one message apart, may be left out.
func matchOwnHeaders(answer *http.Response, id string, attempt int64) ReplyMatch {
	naming := MatchHeader(answer, messageId, id)
	if naming == ReplyMatches && MatchHeader(answer, attemptNumber, strconv.FormatInt(attempt, 10)) == ReplyMismatch {
		return ReplyMismatch
	}
	return naming
}

// The fields of our own interface that tell runs apart.
const (
	messageId     = "X-Message-Id"
	attemptNumber = "X-Attempt"
)

// replyChecks returns a judge of answers by what they name. An answer that names nothing
// can be told to be this request's only if no other went over the connection
// before, so that connection carries no other after it. Nor does that of a failure:
// its message runs again under the same id, and a second copy of the failure, come
// late, would be taken for the next attempt's.
func replyChecks(naming func(*http.Response) ReplyMatch) (mayKeep func(*web.Reply) bool, check func(*web.Reply) error) {
	mayKeep = func(reply *web.Reply) bool {
		return naming(reply.Response) == ReplyMatches && !isFailure(reply.StatusCode)
	}
	check = func(reply *web.Reply) error {
		switch found := naming(reply.Response); {
		case found == ReplyMismatch:
			return errs.New(errs.Truncated, "the answer belongs to another message")
		case found == ReplyUnidentified && !reply.IsFirstOnConnection:
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
