// Package manifest translates HTTPRoute manifests of the Kubernetes Gateway API into changes of the configuration. It
// holds no state; the command-line tool (internal/cli) calls it. Whatever has no equivalent in the configuration is
// reported with its path, and then the whole manifest is refused.
package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	gateway "sigs.k8s.io/gateway-api/apis/v1"
	"sigs.k8s.io/yaml"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
)

// ParentName is the only name that a route's parentRefs may have.
const ParentName = "caperwheel"

// The form of a route's path, and the bound on a manifest's size in bytes.
const (
	lanePathPrefix, lanePathSuffix = "/v1/lanes/", "/messages"
	maxManifestBytes               = 1 << 20
)

// Translate returns the configuration with the routes of a manifest merged in, or the faults of the manifest.
func Translate(doc, manifest []byte) ([]byte, []config.Fault) {
	faults := []config.Fault{}
	if len(manifest) > maxManifestBytes {
		return nil, []config.Fault{{Path: "", Text: "the manifest is too large"}}
	}
	for i, document := range bytes.Split(manifest, []byte("\n---")) {
		if len(bytes.TrimSpace(bytes.TrimPrefix(document, []byte("---")))) == 0 {
			continue
		}
		t := translator{at: fmt.Sprintf("documents.%d", i)}
		patch, err := t.route(document)
		if err == nil && len(t.faults) == 0 {
			doc, err = config.Merge(doc, patch)
		}
		if err != nil {
			t.fault("", err.Error())
		}
		faults = append(faults, t.faults...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return doc, nil
}

// translator translates one document of a manifest and collects its faults.
type translator struct {
	at     string
	faults []config.Fault
}

// fault records what is wrong at a path.
func (t *translator) fault(path, text string) {
	t.faults = append(t.faults, config.Fault{Path: strings.TrimSuffix(t.at+"."+path, "."), Text: text})
}

// route translates one HTTPRoute into a merge patch of the configuration.
func (t *translator) route(raw []byte) ([]byte, error) {
	var r gateway.HTTPRoute
	if err := yaml.UnmarshalStrict(raw, &r); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "parse manifest document as HTTPRoute")
	}
	if r.Kind != "HTTPRoute" || r.APIVersion != gateway.GroupVersion.String() {
		t.fault("kind", "must be HTTPRoute of "+gateway.GroupVersion.String())
		return nil, nil
	}
	for i, parent := range r.Spec.ParentRefs {
		if parent.Name != ParentName {
			t.fault(fmt.Sprintf("spec.parentRefs.%d.name", i), "must be "+ParentName)
		}
		r.Spec.ParentRefs[i].Name = ""
	}
	patch := map[string]any{}
	for i := range r.Spec.Rules {
		t.rule(fmt.Sprintf("spec.rules.%d", i), &r.Spec.Rules[i], patch)
	}
	r.Name, r.Namespace, r.Labels, r.Annotations = "", "", nil, nil
	r.Kind, r.APIVersion = "", ""
	t.rejectUntranslated(r)
	out, err := json.Marshal(map[string]any{"lanes": patch})
	return out, errs.Wrap(err, errs.Internal, "encode configuration patch")
}

// rule translates one rule: its paths name lanes, its back ends pools. Translated fields are cleared, so that
// rejectUntranslated finds the rest.
func (t *translator) rule(at string, r *gateway.HTTPRouteRule, patch map[string]any) {
	set := map[string]any{}
	pools := []string{}
	for i := range r.BackendRefs {
		pools = append(pools, string(r.BackendRefs[i].Name))
		r.BackendRefs[i].Name = ""
	}
	if len(pools) == 0 {
		t.fault(at+".backendRefs", "must name at least one pool")
	}
	set["pools"] = pools
	if r.Timeouts != nil && r.Timeouts.Request != nil {
		set["patience"] = string(*r.Timeouts.Request)
		r.Timeouts.Request = nil
	}
	if r.Retry != nil && r.Retry.Attempts != nil {
		set["attempts"] = *r.Retry.Attempts + 1 // the configuration counts the first attempt too
		r.Retry.Attempts = nil
	}
	if r.Retry != nil && r.Retry.Backoff != nil {
		set["backoff"] = string(*r.Retry.Backoff)
		r.Retry.Backoff = nil
	}
	if len(r.Matches) == 0 {
		t.fault(at+".matches", "must name a lane by its path")
	}
	for i := range r.Matches {
		m := &r.Matches[i]
		lane, isLane := laneOf(m.Path)
		if !isLane {
			t.fault(fmt.Sprintf("%s.matches.%d.path", at, i), "must be Exact and "+lanePathPrefix+"LANE"+lanePathSuffix)
			continue
		}
		m.Path = nil
		setLane(patch, strings.Split(lane, "."), set)
	}
}

// laneOf returns the lane that a path match names.
func laneOf(match *gateway.HTTPPathMatch) (string, bool) {
	if match == nil || match.Type == nil || *match.Type != gateway.PathMatchExact || match.Value == nil {
		return "", false
	}
	lane, isBefore := strings.CutPrefix(*match.Value, lanePathPrefix)
	lane, isBehind := strings.CutSuffix(lane, lanePathSuffix)
	return lane, isBefore && isBehind && lane != "" && !strings.Contains(lane, "/")
}

// setLane adds a lane's settings to the tree of lanes.
func setLane(tree map[string]any, names []string, set map[string]any) {
	node, isKnown := tree[names[0]].(map[string]any)
	if !isKnown {
		node = map[string]any{}
		tree[names[0]] = node
	}
	if len(names) == 1 {
		maps.Copy(node, set)
		return
	}
	children, isKnown := node["children"].(map[string]any)
	if !isKnown {
		children = map[string]any{}
		node["children"] = children
	}
	setLane(children, names[1:], set)
}

// rejectUntranslated records a fault for each field that is left.
func (t *translator) rejectUntranslated(r gateway.HTTPRoute) {
	raw, err := json.Marshal(r)
	var remaining any
	if err == nil {
		err = json.Unmarshal(raw, &remaining)
	}
	if err != nil {
		t.fault("", err.Error())
		return
	}
	t.walk("", remaining)
}

// walk records a fault for each non-empty value below a path.
func (t *translator) walk(path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			t.walk(strings.TrimPrefix(path+"."+key, "."), v[key])
		}
	case []any:
		for i, item := range v {
			t.walk(fmt.Sprintf("%s.%d", path, i), item)
		}
	case nil:
	case string:
		if v != "" {
			t.fault(path, "has no equivalent in the configuration")
		}
	default:
		t.fault(path, "has no equivalent in the configuration")
	}
}
