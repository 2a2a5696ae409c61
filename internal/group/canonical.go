package group

import (
	"encoding/binary"
	"reflect"
	"slices"
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Canonical appends a canonical encoding of a replica's state to raw: two replicas whose future behaviour is the same
// have the same bytes. State-space searches use it to recognize states. All fields are encoded, including any that are
// added later, except for those in excludedFields. Times are encoded only by what they decide as of now: their age in
// heartbeats, and whether an owner was heard from recently. Rosters are encoded as sets. rename maps every member id,
// so that a caller can treat interchangeable members alike.
func (g *Group) Canonical(raw []byte, now time.Duration, rename func(member string) string) []byte {
	w := canonicalWriter{raw, now, g.opts.Bounds.Of(timing.Heartbeat), rename}
	w.member(g.opts.Self)
	w.flag(g.hasOwner(now))
	for _, r := range g.rounds {
		w.number(r.round)
	}
	for _, r := range g.rosters {
		w.number(r.index)
		w.set(r.members)
	}
	w.raw = AppendEntries(w.raw, g.log)
	w.value(reflect.ValueOf(g).Elem())
	return w.raw
}

// excludedFields are the fields that Canonical encodes in another way or not at all. The latter only decide when a
// replica starts an election or sends a heartbeat, which a search chooses itself, and which member is asked first to
// start an election.
var excludedFields = map[string]bool{"opts": true, "rand": true, "rounds": true, "rosters": true, "log": true,
	"heardAt": true, "electionAt": true, "campaignPause": true, "heartbeatAt": true, "ackedAt": true, "preferredSince": true}

// heartbeatsAgoLimit caps encoded ages: all ages of this many heartbeats or more are equivalent.
const heartbeatsAgoLimit = 16

// AppendEntries appends an encoding of log entries. Of rosters it encodes only the kind; their members are encoded by
// the caller.
func AppendEntries(raw []byte, entries []wire.Entry) []byte {
	raw = binary.AppendVarint(raw, int64(len(entries)))
	for _, e := range entries {
		raw = binary.AppendVarint(raw, e.Term)
		raw = append(raw, byte(e.Kind))
		if e.Kind == EntryData {
			raw = binary.AppendVarint(raw, int64(len(e.Data)))
			raw = append(raw, e.Data[:min(len(e.Data), commandPrefixBytes)]...)
		}
	}
	return raw
}

// commandPrefixBytes is the length of the prefix by which AppendEntries distinguishes commands.
const commandPrefixBytes = 16

// canonicalWriter encodes values one after the other, so that the end of each is unambiguous.
type canonicalWriter struct {
	raw       []byte
	now       time.Duration
	heartbeat time.Duration
	rename    func(member string) string
}

func (w *canonicalWriter) number(n int64) { w.raw = binary.AppendVarint(w.raw, n) }

func (w *canonicalWriter) flag(is bool) {
	if is {
		w.raw = append(w.raw, 1)
	} else {
		w.raw = append(w.raw, 0)
	}
}

// member writes the mapped name of a member id.
func (w *canonicalWriter) member(m string) {
	if m != "" {
		m = w.rename(m)
	}
	w.raw = append(append(w.raw, m...), 0)
}

// age writes the age of a time in heartbeats; -1 for a time that is not set.
func (w *canonicalWriter) age(at time.Duration) {
	if at == 0 {
		w.number(-1)
	} else {
		w.number(min(heartbeatsAgoLimit, int64((w.now-at)/w.heartbeat)))
	}
}

// value writes a field of a replica of any kind: numbers, flags, times, member ids, and maps keyed by member id.
func (w *canonicalWriter) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		w.flag(v.Bool())
	case reflect.Int, reflect.Int32, reflect.Int64:
		if v.Type() == reflect.TypeFor[time.Duration]() {
			w.age(time.Duration(v.Int()))
		} else {
			w.number(v.Int())
		}
	case reflect.String:
		w.member(v.String())
	case reflect.Pointer:
		w.flag(!v.IsNil())
		if !v.IsNil() {
			w.value(v.Elem())
		}
	case reflect.Slice:
		w.number(int64(v.Len()))
		for i := range v.Len() {
			w.value(v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if !excludedFields[v.Type().Field(i).Name] {
				w.value(v.Field(i))
			}
		}
	case reflect.Map:
		w.byMember(v)
	}
}

// byMember writes a map that is keyed by member id.
func (w *canonicalWriter) byMember(v reflect.Value) {
	members, held := []string{}, map[string]reflect.Value{}
	for i := v.MapRange(); i.Next(); {
		members = append(members, i.Key().String())
		held[i.Key().String()] = i.Value()
	}
	w.sortedMembers(members, func(m string) { w.value(held[m]) })
}

func (w *canonicalWriter) set(list []string) { w.sortedMembers(list, func(string) {}) }

// sortedMembers writes members in the order of their mapped names, and calls more after each one for its further data.
func (w *canonicalWriter) sortedMembers(list []string, more func(member string)) {
	sorted := make([][2]string, 0, len(list)) // new name, old name
	for _, m := range list {
		sorted = append(sorted, [2]string{w.rename(m), m})
	}
	slices.SortFunc(sorted, func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	w.number(int64(len(sorted)))
	for _, m := range sorted {
		w.member(m[1])
		more(m[1])
	}
}
