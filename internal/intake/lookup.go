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

// Message is what a caller is told of a message.
type Message struct {
	Id       string `json:"id"`
	Lane     string `json:"lane,omitempty"`
	Key      string `json:"ordering_key,omitempty"`
	State    string `json:"state"`
	Attempts int64  `json:"attempts"`
	Cause    string `json:"cause,omitempty"` // of the newest error
	Sum      string `json:"sha256,omitempty"`
	Parent   string `json:"parent,omitempty"`
	Callback string `json:"callback,omitempty"`
	Proof    *Proof `json:"proof,omitempty"`
	Taken    any    `json:"taken,omitempty"`
}

// Proof is the record of the run that succeeded.
type Proof struct {
	Attempt int64  `json:"attempt"`
	Worker  string `json:"worker"`
	Adapter string `json:"adapter"`
	Status  int64  `json:"status"`
	Ctype   string `json:"content_type,omitempty"`
	Answer  []byte `json:"answer"` // base64
	Sum     string `json:"answer_sha256"`
}

const maxWait = 30 * time.Second

func isJson(body []byte) bool { return json.Valid(body) }

func waitOf(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, errs.New(errs.Invalid, "wait must be a duration up to %v", maxWait)
	}
	return wait, nil
}

// Lookup returns what is known of a message, with its bytes or without.
func (in *Intake) Lookup(ctx context.Context, id string, isWithBody bool) (*wire.Sight, error) {
	s, err := in.lookup(ctx, id, isWithBody, 0)
	if err == nil && isWithBody && isBodyDropped(s) {
		return nil, errs.New(errs.Unknown, "the bytes went with the success")
	}
	if err == nil && isWithBody && s.State == string(place.Tombstone) {
		return nil, errs.New(errs.Unknown, "the message was not taken")
	}
	if err == nil && isWithBody && wire.Checksum(s.Body) != s.Checksum {
		return nil, errs.New(errs.Corrupt, "the bytes do not match their checksum")
	}
	return s, err
}

// isBodyDropped: the lane does not keep the bytes of what succeeded.
func isBodyDropped(s *wire.Sight) bool {
	return s.State == string(place.Ended) && len(s.Body) == 0 && s.Checksum != wire.Checksum(nil)
}

// lookup asks the owner of the message's place.
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
		return nil, errs.New(errs.Lost, "the message's place cannot be reached")
	}
	s := reply.(*wire.Sight)
	if s.Kind != "" {
		return nil, errs.New(errs.Kind(s.Kind), "message %s", id)
	}
	return s, nil
}

func isOver(state string) bool { return place.State(state).IsOver() }

// maxOpenWaits is how many waits of one adapter owners may hold at a time, so that
// they leave room on the links for messages. Those beyond do not wait.
const maxOpenWaits = 1024

// await asks the owner to answer when the message is over, and again until the
// wait has passed; an owner of an older version answers at once. A daemon that
// stops does not wait, and tells what is known: its connections are cut in the end.
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

// settleById makes the fate of an undecided message definite: if its place has
// not held it by now, it never will.
func (in *Intake) settleById(ctx context.Context, id string) (*wire.Sight, error) {
	number, err := in.parsePlace(id)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, in.d.Bounds.ConfigApply)
	defer cancel()
	reply, err := in.owners.CallOwner(ctx, wire.FirstPlaceGroup+number, &wire.Settle{Place: number, Id: id}, isOwner)
	if err != nil {
		return nil, errs.New(errs.Lost, "the message's place cannot be reached")
	}
	if kind := errs.Kind(reply.(*wire.Taken).Kind); kind != "" && kind != errs.Rejected {
		return nil, errs.New(kind, "the message cannot be settled now")
	}
	return in.lookup(ctx, id, false, 0)
}

// parsePlace reads the place out of an id, which is place, dash, token.
func (in *Intake) parsePlace(id string) (int64, error) {
	text, rest, isWhole := strings.Cut(id, "-")
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || !isWhole || rest == "" || len(id) > maxKeyBytes || number < 0 || number >= int64(in.d.Settings.Places) {
		return 0, errs.New(errs.Unknown, "no message has such an id")
	}
	return number, nil
}

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
	_, _ = w.Write(s.Body) // a broken write breaks the connection, never closes it neatly
}
