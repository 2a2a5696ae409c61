package host

import (
	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// An image that is larger than one message may be travels in parts: Commit has
// a part's offset, and Reject marks the last one. Parts may come in any order
// and be lost; the owner sends the whole image again until it is installed.
const (
	wholeImage = 8 << 20 // up to this an image is one message, as it was in wire version 1
	mostImage  = 1 << 30
)

// parts gathers one image. Invariant: all are of the same sender, term and
// index; size never passes mostImage.
type parts struct {
	of    wire.GroupMsg // without state
	held  map[int64][]byte
	size  int64
	total int64 // -1 while the last part has not come
}

// cut gives the messages that carry an image.
func cut(m wire.GroupMsg, state []byte, most int) []wire.GroupMsg {
	if len(state) <= most {
		m.State = state
		return []wire.GroupMsg{m}
	}
	out := []wire.GroupMsg{}
	for at := 0; at < len(state); at += most {
		part := m
		part.Kind, part.Commit = group.MsgPart, int64(at)
		part.State, part.Reject = state[at:min(at+most, len(state))], at+most >= len(state)
		out = append(out, part)
	}
	return out
}

// take adds a part. The image is whole when every byte of it is here.
func (p *parts) take(m wire.GroupMsg) (image wire.GroupMsg, isWhole bool) {
	if p.held == nil || p.of.From != m.From || p.of.Term != m.Term || p.of.Index != m.Index {
		*p = parts{of: m, held: map[int64][]byte{}, total: -1}
	}
	if m.Commit < 0 || p.held[m.Commit] != nil || p.size+int64(len(m.State)) > mostImage {
		return image, false
	}
	p.held[m.Commit] = m.State
	p.size += int64(len(m.State))
	if m.Reject {
		p.total = m.Commit + int64(len(m.State))
	}
	if p.size != p.total {
		return image, false
	}
	image = m
	image.Kind, image.Commit, image.Reject, image.State = group.MsgImage, 0, false, make([]byte, 0, p.total)
	for at := int64(0); at < p.total; {
		part := p.held[at]
		if len(part) == 0 { // parts of two cuts: begin anew
			*p = parts{}
			return image, false
		}
		image.State = append(image.State, part...)
		at += int64(len(part))
	}
	*p = parts{}
	return image, int64(len(image.State)) == int64(cap(image.State))
}
