package web

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"net/http"

	"caperwheel/internal/errs"
)

// Reply is a complete reply to a request.
type Reply struct {
	*http.Response
	Bytes               []byte // the body; nil if it is longer than MaxBodyBytes
	Size                int64  // of the body, in bytes
	Checksum            string // SHA-256 of the body in hex; empty unless WantsChecksum is set
	IsFirstOnConnection bool   // no other request was sent on its connection before
}

// HasWholeBody reports whether Bytes is the complete body.
func (r *Reply) HasWholeBody() bool { return int64(len(r.Bytes)) == r.Size }

// read reads the body to its end, however long it is: the meaning of a reply does not depend on its size.
// Memory is bounded by the options, time by the request's context.
func (r *Reply) read(t SendOptions) error {
	defer func() { _ = r.Body.Close() }()
	hasNoLength := r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Request.Method != http.MethodHead
	if r.StatusCode < 200 || hasNoLength {
		return errs.New(errs.Truncated, "reply has no length, so its end cannot be determined")
	}
	body, sum := io.Reader(r.Body), hash.Hash(nil)
	if t.WantsChecksum {
		sum = sha256.New()
		body = io.TeeReader(body, sum)
	}
	kept, err := io.ReadAll(io.LimitReader(body, t.MaxBodyBytes+1))
	r.Bytes, r.Size = kept, int64(len(kept))
	if err == nil && r.Size > t.MaxBodyBytes {
		rest, discardErr := io.Copy(io.Discard, body)
		r.Bytes, r.Size, err = nil, r.Size+rest, discardErr
	}
	if err != nil {
		return errs.Wrap(err, errs.Truncated, "reply was truncated")
	}
	if sum != nil {
		r.Checksum = hex.EncodeToString(sum.Sum(nil))
	}
	return nil
}
