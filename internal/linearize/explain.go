package linearize

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// explain explains why a part of a history is not linearizable. It names two calls that contradict each other, if there
// are such, or the first call that does not fit into the longest partial linearization that was found.
func explain(part []Operation, info porcupine.LinearizationInfo) string {
	for i, a := range part {
		for _, b := range part[i+1:] {
			if reason := contradiction(a, b); reason != "" {
				return reason
			}
			if reason := contradiction(b, a); reason != "" {
				return reason
			}
		}
	}
	for _, o := range part {
		if o.IsInvalid && o.Outcome == Confirmed {
			return "an invalid change was confirmed: " + o.String()
		}
		if o.Zone != "" && o.Outcome == Refused {
			return "a zone call was refused: " + o.String()
		}
	}
	placed, longest := map[int]bool{}, 0
	for _, linearizations := range info.PartialLinearizations() {
		for _, sequence := range linearizations {
			if len(sequence) <= longest {
				continue
			}
			placed, longest = map[int]bool{}, len(sequence)
			for _, i := range sequence {
				placed[i] = true
			}
		}
	}
	for i, o := range part {
		if !placed[i] && o.Outcome != Indeterminate {
			return fmt.Sprintf("the longest linearization has %d of %d calls and has no place for %v", longest, len(part), o)
		}
	}
	return fmt.Sprintf("no linearization of %d calls explains their answers", len(part))
}

// contradiction explains how the two calls contradict each other without regard to any others. It returns an empty
// string if they do not.
func contradiction(a, b Operation) string {
	isOther := a.Digest != b.Digest
	switch {
	case !a.isChange() || a.Outcome != Confirmed:
		return ""
	case b.isChange() && b.Outcome == Confirmed && isOther && a.Version == b.Version:
		return fmt.Sprintf("two changes confirmed with one version: %v and %v", a, b)
	case b.isChange() && b.Outcome == Confirmed && isOther && a.Base == b.Base:
		return fmt.Sprintf("two changes confirmed on one base version: %v and %v", a, b)
	case b.isChange() && b.Outcome == Refused && !isOther && a.CalledAt <= b.ReturnedAt:
		return fmt.Sprintf("a confirmed change was refused when sent again: %v and %v", a, b)
	case b.Kind == Read && b.CalledAt > a.ReturnedAt && b.ReadVersion < a.Version:
		return fmt.Sprintf("a stale read: %v after %v", b, a)
	case b.Kind == Read && b.ReadVersion == a.Version && b.ReadDigest != "" && b.ReadDigest != a.Digest:
		return fmt.Sprintf("a read of another change with a confirmed version: %v and %v", b, a)
	}
	return ""
}

// String describes the call in one line.
func (o Operation) String() string {
	description := fmt.Sprintf("%s %d on %d (%s)", o.Kind, o.Version, o.Base, o.Digest)
	switch {
	case o.Kind == Read:
		description = fmt.Sprintf("read of %d (%s)", o.ReadVersion, o.ReadDigest)
	case o.Kind == ReadZone:
		description = fmt.Sprintf("read of %s (evacuated: %t)", o.Zone, o.IsEvacuated)
	case o.Zone != "":
		description = fmt.Sprintf("%s of %s", o.Kind, o.Zone)
	}
	return fmt.Sprintf("client %d: %s, %s, %v to %v", o.Client, description, o.Outcome, o.CalledAt, o.ReturnedAt)
}
