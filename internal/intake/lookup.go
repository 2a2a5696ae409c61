package intake

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// Message is the JSON status of a message for its caller.
type Message struct {
	Id       string `json:"id"`
	Lane     string `json:"lane,omitempty"`
	Key      string `json:"ordering_key,omitempty"`
	State    string `json:"state"`
	Attempts int64  `json:"attempts"`
	Cause    string `json:"cause,omitempty"` // kind of the most recent error
	Sum      string `json:"sha256,omitempty"`
	Parent   string `json:"parent,omitempty"`
	Callback string `json:"callback,omitempty"`
	Proof    *Proof `json:"proof,omitempty"`
	Taken    any    `json:"taken,omitempty"`
}

// Proof is the JSON record of the run that succeeded.
type Proof struct {
	Attempt int64  `json:"attempt"`
	Worker  string `json:"worker"`
	Adapter string `json:"adapter"`
	Status  int64  `json:"status"`
	Ctype   string `json:"content_type,omitempty"`
	Answer  []byte `json:"answer"` // encoded as base64
	Sum     string `json:"answer_sha256"`
}

// maxWait bounds the wait parameter of a request.
const maxWait = 30 * time.Second

func isJson(body []byte) bool { return json.Valid(body) }

// waitOf parses the wait parameter; 0 if it is absent.
func waitOf(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, errs.New(errs.Invalid, "parameter wait must be a duration from 0 to %v", maxWait)
	}
	return wait, nil
}

// Lookup returns the state of a message from its place's owner, with the body if isWithBody is set.
func (in *Intake) Lookup(ctx context.Context, id string, isWithBody bool) (*wire.Sight, error) {
	s, err := in.lookup(ctx, id, isWithBody, 0)
	if err == nil && isWithBody && isBodyDropped(s) {
		return nil, errs.New(errs.Unknown, "the message's body was dropped when it succeeded")
	}
	if err == nil && isWithBody && s.State == string(place.Tombstone) {
		return nil, errs.New(errs.Unknown, "the message was never accepted, so it has no body")
	}
	if err == nil && isWithBody && wire.Checksum(s.Body) != s.Checksum {
		return nil, errs.New(errs.Corrupt, "the stored message body does not match its checksum")
	}
	return s, err
}

// isBodyDropped reports whether a message has succeeded on a lane that does not keep the bodies of such messages.
func isBodyDropped(s *wire.Sight) bool {
	return s.State == string(place.Ended) && len(s.Body) == 0 && s.Checksum != wire.Checksum(nil)
}

// lookup asks the owner of the message's place; wait is how long the owner may hold the request until the message ends.
func (in *Intake) lookup(ctx context.Context, id string, isWithBody bool, wait time.Duration) (*wire.Sight, error) {
	number, err := in.parsePlace(id)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, in.d.Bounds.ConfigApply)
	defer cancel()
	reply, err := in.owners.CallOwner(ctx, wire.FirstPlaceGroup+number, &wire.Look{Place: number, Id: id, Body: isWithBody,
		Wait: int64(wait / time.Millisecond)}, isOwner)
	if err != nil {
		return nil, errs.New(errs.Lost, "look up message: the owner of its place did not answer")
	}
	s := reply.(*wire.Sight)
	if s.Kind != "" {
		return nil, errs.New(errs.Kind(s.Kind), "look up message %s", id)
	}
	return s, nil
}

// isOver reports whether a message in this state will not run any more.
func isOver(state string) bool { return place.State(state).IsOver() }

// maxOpenWaits bounds the waiting requests that one adapter holds open at owners, so that room for messages remains on
// the links. Requests beyond it are answered without waiting.
const maxOpenWaits = 1024

// await asks the owner to answer when the message has ended, and repeats that until the wait has passed; an owner of an
// older version answers at once. A daemon that is stopping does not wait but answers with the current state, since its
// connections will be closed.
func (in *Intake) await(ctx context.Context, id string, wait time.Duration) (*wire.Sight, error) {
	if in.openWaits.Add(1) > maxOpenWaits {
		wait = 0
	}
	defer in.openWaits.Add(-1)
	until := time.Now().Add(wait)
	for {
		s, err := in.lookup(ctx, id, false, min(in.d.Bounds.Of(timing.LongPollTimeout), max(0, time.Until(until))))
		if err != nil || isOver(s.State) || time.Now().After(until) || in.d.IsDraining() {
			return s, err
		}
		select {
		case <-ctx.Done():
			return s, nil
		case <-time.After(min(in.d.Bounds.Of(timing.Poll)/4, time.Until(until)+time.Millisecond)):
		}
	}
}

// messageOf converts an owner's answer to the JSON status.
func messageOf(s *wire.Sight) Message {
	m := Message{Id: s.Id, Lane: s.Lane, Key: wire.CallerKey(s.Key), State: s.State, Attempts: s.Attempts, Cause: s.Cause, Sum: s.Checksum,
		Parent: s.Parent, Callback: s.Child}
	if s.State == "ended" {
		p := s.Proof
		m.Proof = &Proof{p.Attempt, p.Worker, p.Adapter, p.Status, p.ContentType, p.Answer, p.Checksum}
	}
	if s.State == "rejected" {
		m.Taken = false
	}
	return m
}

// replyAccepted answers a request whose message was accepted, after the wait that the request asks for.
func (in *Intake) replyAccepted(w http.ResponseWriter, r *http.Request, id, state string) {
	w.Header().Set("Location", "/v1/messages/"+id)
	wait, _ := waitOf(r)
	m := Message{Id: id, State: state, Taken: true}
	if wait > 0 {
		if s, err := in.await(r.Context(), id, wait); err == nil {
			m = messageOf(s)
			m.Taken = true
		}
	}
	code := 202
	if isOver(m.State) {
		code = 200
	}
	web.WriteJson(w, code, m)
}

// get serves the status of a message.
func (in *Intake) get(w http.ResponseWriter, r *http.Request) {
	wait, err := waitOf(r)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	s, err := in.await(r.Context(), r.PathValue("id"), wait)
	if errs.Is(err, errs.Unknown) && r.URL.Query().Get("settle") == "true" {
		s, err = in.settleById(r.Context(), r.PathValue("id"))
	}
	if errs.Is(err, errs.Unknown) {
		web.WriteProblem(w, 404, web.Problem{Error: errs.Unknown, Text: err.Error(), More: map[string]string{"state": "unknown"}}, 0)
		return
	}
	if err != nil {
		web.WriteError(w, err)
		return
	}
	web.WriteJson(w, 200, messageOf(s))
}

// settleById makes the fate of an undecided message definite: if its place does not hold it by now, the place will
// refuse it from then on.
func (in *Intake) settleById(ctx context.Context, id string) (*wire.Sight, error) {
	number, err := in.parsePlace(id)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, in.d.Bounds.ConfigApply)
	defer cancel()
	reply, err := in.owners.CallOwner(ctx, wire.FirstPlaceGroup+number, &wire.Settle{Place: number, Id: id}, isOwner)
	if err != nil {
		return nil, errs.New(errs.Lost, "settle message: the owner of its place did not answer")
	}
	if kind := errs.Kind(reply.(*wire.Taken).Kind); kind != "" && kind != errs.Rejected {
		return nil, errs.New(kind, "settle message: the owner of its place could not decide now")
	}
	return in.lookup(ctx, id, false, 0)
}

// parsePlace returns the place in a message id, which has the form place-token.
func (in *Intake) parsePlace(id string) (int64, error) {
	prefix, token, hasToken := strings.Cut(id, "-")
	number, err := strconv.ParseInt(prefix, 10, 64)
	if err != nil || !hasToken || token == "" || len(id) > maxKeyBytes || number < 0 || number >= int64(in.d.Settings.Places) {
		return 0, errs.New(errs.Unknown, "no message can have this id: it is malformed or names no place")
	}
	return number, nil
}

// getBody serves the body of a message.
func (in *Intake) getBody(w http.ResponseWriter, r *http.Request) {
	s, err := in.Lookup(r.Context(), r.PathValue("id"), true)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	if s.ContentType != "" {
		w.Header().Set("Content-Type", s.ContentType)
	}
	w.Header().Set("X-Content-SHA256", s.Checksum)
	w.Header().Set("Content-Length", strconv.Itoa(len(s.Body)))
	w.WriteHeader(200)
	_, _ = w.Write(s.Body) // on failure the connection is reset, so that no caller takes a part for the whole
}
