package linearize

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// explain names what speaks against a history that no order of its calls
// explains: two calls that contradict each other, if any do, or the first call
// that has no place behind the longest order that was found.
func explain(part []Operation, info porcupine.LinearizationInfo) string {
	for i, a := range part {
		for _, b := range part[i+1:] {
			if text := contradiction(a, b); text != "" {
				return text
			}
			if text := contradiction(b, a); text != "" {
				return text
			}
		}
	}
	for _, o := range part {
		if o.IsInvalid && o.Outcome == Confirmed {
			return "an invalid order was confirmed: " + o.String()
		}
		if o.Zone != "" && o.Outcome == Refused {
			return "an order about a zone was refused: " + o.String()
		}
	}
	placed, longest := map[int]bool{}, 0
	for _, orders := range info.PartialLinearizations() {
		for _, found := range orders {
			if len(found) <= longest {
				continue
			}
			placed, longest = map[int]bool{}, len(found)
			for _, i := range found {
				placed[i] = true
			}
		}
	}
	for i, o := range part {
		if !placed[i] && o.Outcome != Indeterminate {
			return fmt.Sprintf("%d of %d calls have an order, and then there is no place for %v", longest, len(part), o)
		}
	}
	return fmt.Sprintf("no order of %d calls explains their answers", len(part))
}

// contradiction reports how a contradicts b, where two calls are enough for it.
func contradiction(a, b Operation) string {
	isOther := a.Digest != b.Digest
	switch {
	case !a.isChange() || a.Outcome != Confirmed:
		return ""
	case b.isChange() && b.Outcome == Confirmed && isOther && a.Version == b.Version:
		return fmt.Sprintf("two confirmed under one number: %v and %v", a, b)
	case b.isChange() && b.Outcome == Confirmed && isOther && a.Base == b.Base:
		return fmt.Sprintf("two confirmed on one base: %v and %v", a, b)
	case b.isChange() && b.Outcome == Refused && !isOther && a.CalledAt <= b.ReturnedAt:
		return fmt.Sprintf("an order that was taken was refused: %v and %v", a, b)
	case b.Kind == Read && b.CalledAt > a.ReturnedAt && b.ReadVersion < a.Version:
		return fmt.Sprintf("a stale read: %v after %v", b, a)
	case b.Kind == Read && b.ReadVersion == a.Version && b.ReadDigest != "" && b.ReadDigest != a.Digest:
		return fmt.Sprintf("a read of another order under a confirmed number: %v and %v", b, a)
	}
	return ""
}

// String gives a call in one line.
func (o Operation) String() string {
	what := fmt.Sprintf("%s %d on %d (%s)", o.Kind, o.Version, o.Base, o.Digest)
	switch {
	case o.Kind == Read:
		what = fmt.Sprintf("read of %d (%s)", o.ReadVersion, o.ReadDigest)
	case o.Kind == ReadZone:
		what = fmt.Sprintf("read of %s (evacuated: %t)", o.Zone, o.IsEvacuated)
	case o.Zone != "":
		what = fmt.Sprintf("%s of %s", o.Kind, o.Zone)
	}
	return fmt.Sprintf("client %d: %s, %s, %v to %v", o.Client, what, o.Outcome, o.CalledAt, o.ReturnedAt)
}
