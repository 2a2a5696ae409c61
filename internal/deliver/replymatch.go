package deliver

import (
	"net/http"
	"strconv"

	"caperwheel/internal/errs"
	"caperwheel/internal/web"
)

// ReplyMatch tells whether a reply belongs to the request that it was read for.
type ReplyMatch int

// The possible matches. A worker may send a second reply late, when the next request is already on the connection; only
// the repeated id then tells which request it belongs to.
const (
	ReplyUnidentified ReplyMatch = iota
	ReplyMatches
	ReplyMismatch
)

// MatchHeader compares the header field by which a reply repeats the request's id.
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

// matchOwnHeaders compares the header fields that workers of the product's own interface repeat. The attempt number,
// which tells two runs of one message apart, is optional.
func matchOwnHeaders(answer *http.Response, id string, attempt int64) ReplyMatch {
	match := MatchHeader(answer, messageId, id)
	if match == ReplyMatches && MatchHeader(answer, attemptNumber, strconv.FormatInt(attempt, 10)) == ReplyMismatch {
		return ReplyMismatch
	}
	return match
}

// The header fields of the product's own interface that identify a run.
const (
	messageId     = "X-Message-Id"
	attemptNumber = "X-Attempt"
)

// replyChecks returns whether a connection may be reused after a reply, and a check of the reply itself. A reply
// without an id can be attributed only if it is the first on its connection, so that connection is not reused. Nor is
// it after a failure: the message is retried under the same id, and a late second copy of the failure would be taken
// for the reply to the retry.
func replyChecks(match func(*http.Response) ReplyMatch) (canReuse func(*web.Reply) bool, check func(*web.Reply) error) {
	canReuse = func(reply *web.Reply) bool {
		return match(reply.Response) == ReplyMatches && !isFailure(reply.StatusCode)
	}
	check = func(reply *web.Reply) error {
		switch found := match(reply.Response); {
		case found == ReplyMismatch:
			return errs.New(errs.Truncated, "reply rejected: it carries the id of another message")
		case found == ReplyUnidentified && !reply.IsFirstOnConnection:
			return errs.New(errs.Truncated, "reply rejected: it carries no message id, on a connection that was used before")
		}
		return nil
	}
	return canReuse, check
}

// isFailure reports whether a status means that an attempt failed. A worker that answers 503 has not begun one.
func isFailure(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable
}
