package standin

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/tidwall/gjson"

	"caperwheel/internal/config"
	"caperwheel/internal/fleet"
	"caperwheel/internal/linearize"
)

// requestDigest identifies a configuration request by everything that is the same in a repetition.
func requestDigest(path, base string, body []byte) string {
	return fmt.Sprintf("%s on %s: %s", path, base, fleet.Checksum(body))
}

// outcomeOf classifies the last conclusive status of a call; 0 means there was none.
func outcomeOf(code int) linearize.Outcome {
	switch {
	case code == 0:
		return linearize.Indeterminate
	case code/100 == 2:
		return linearize.Confirmed
	}
	return linearize.Refused
}

// recordedCall makes a call and records it with all its retries as one operation.
func (o *operator) recordedCall(ctx context.Context, method, path, base string, body []byte, as linearize.Operation) (int, []byte) {
	as.CalledAt = o.site.Now()
	code, raw := o.call(ctx, method, path, base, body)
	as.ReturnedAt, as.Outcome = o.site.Now(), outcomeOf(code)
	if as.Kind == linearize.Read && code != http.StatusOK {
		return code, raw // no configuration was returned
	}
	o.site.History.WithLock(func() {
		if as.Kind == linearize.Read {
			as.ReadVersion, as.ReadDigest = gjson.GetBytes(raw, "version").Int(), o.site.History.requestDigestOf(raw)
		}
		o.site.History.Calls = append(o.site.History.Calls, as)
	})
	return code, raw
}

// requestDigestOf returns the digest of the request that resulted in a configuration, or "unknown request".
func (h *History) requestDigestOf(doc []byte) string {
	version := gjson.GetBytes(doc, "version").Int()
	for _, e := range h.Edits {
		if e.Revision != version || e.IsInvalid {
			continue
		}
		if differences, err := config.Diff(e.Document, doc); err == nil && len(differences) == 0 {
			return e.RequestDigest
		}
	}
	return "unknown request"
}

// sendConfiguration sends a configuration, complete or as an update.
func (o *operator) sendConfiguration(ctx context.Context, path string, base, version int64, body []byte, isInvalid bool) int {
	baseText := fmt.Sprint(base)
	kind := linearize.Replace
	if strings.HasSuffix(path, "update") {
		kind = linearize.Update
	}
	code, _ := o.recordedCall(ctx, http.MethodPost, path, baseText, body, linearize.Operation{Kind: kind, Version: version, Base: base,
		Digest: requestDigest(path, baseText, body), IsInvalid: isInvalid})
	return code
}

// readConfiguration reads the configuration in force.
func (o *operator) readConfiguration(ctx context.Context) (int, []byte) {
	return o.recordedCall(ctx, http.MethodGet, "/v1/configuration/read", "", nil, linearize.Operation{Kind: linearize.Read})
}

// changeEvacuation starts or finishes the evacuation of a zone.
func (o *operator) changeEvacuation(ctx context.Context, zone, action string) int {
	kind := map[string]linearize.Kind{"start": linearize.Evacuate, "finish": linearize.Finish}[action]
	code, _ := o.recordedCall(ctx, http.MethodPost, "/v1/evacuation/"+zone+"/"+action, "", nil, linearize.Operation{Kind: kind, Zone: zone})
	return code
}

// judgeCalls checks that the operators' calls are linearizable, for configurations and evacuations separately.
func (j *judge) judgeCalls() {
	rules := map[bool]string{false: RuleConfig, true: RuleEvac}
	for _, isZone := range []bool{false, true} {
		part := []linearize.Operation{}
		for _, o := range j.h.Calls {
			if (o.Zone != "") == isZone {
				part = append(part, o)
			}
		}
		if ok, text := linearize.Check(part); !ok {
			j.breach(rules[isZone], "the operators' calls are not linearizable: %s", text)
		}
	}
}
