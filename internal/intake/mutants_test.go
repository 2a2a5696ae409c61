package intake_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// mutantVariable is the environment variable that names the guard a child process runs without.
const mutantVariable = "CAPERWHEEL_INTAKE_MUTANT"

// tenancyMutant is the program with one guard of tenants and keys removed. In is, MUTANT stands for the condition that
// the guard is off.
type tenancyMutant struct{ name, file, was, is, test string }

// tenancyMutants are the guards, with the test that must fail without each.
var tenancyMutants = []tenancyMutant{
	{"the id of an operation key depends on its tenant", "internal/wire/operation.go",
		`	return TenantDigest(tenant) + operationMark +`, "	if MUTANT {\n		return operationMark + Checksum([]byte(operation))[:operationDigits]\n	}\n" +
			`	return TenantDigest(tenant) + operationMark +`, "TestOperationKeysNameTheirPlaces"},
	{"the home of an operation key is derived from it", "internal/intake/operation.go",
		`	return hashToPlace("", "n"+operationKey, places)`, "	if MUTANT {\n		return hashToPlace(\"\", \"n\", places)\n	}\n" +
			`	return hashToPlace("", "n"+operationKey, places)`, "TestOperationKeysNameTheirPlaces"},
	{"the home of an operation key does not depend on the lane", "internal/intake/operation.go",
		"	o.proposed = o.placedId\n", "	o.proposed = o.placedId\n	if MUTANT {\n		o.home = HomeOf(s.OperationKey+s.Take.Lane, s.Places)\n	}\n", "TestOperationKeysOutliveEveryChange"},
	{"the home of an operation key does not depend on the tenant", "internal/intake/operation.go",
		"	o.proposed = o.placedId\n", "	o.proposed = o.placedId\n	if MUTANT {\n		o.home = HomeOf(s.OperationKey+s.Tenant, s.Places)\n	}\n", "TestOperationKeysOutliveEveryChange"},
	{"a claim names the API key of its sender", "internal/intake/keyedsend.go",
		"Sender: e.sender,", "Sender: map[bool]string{false: e.sender}[MUTANT],", "TestOperationKeysOutliveEveryChange"},
	{"callers of two tenants are two senders", "internal/place/claims.go",
		"		return c.Tenant == other.Tenant\n", "		return c.Tenant == other.Tenant || MUTANT\n", "TestOperationKeysOfOthers"},
	{"callers with two API keys are two senders, if one of them has a tenant", "internal/place/claims.go",
		`	return c.Sender == other.Sender && c.Sender != ""`, `	return c.Sender == other.Sender && c.Sender != "" || MUTANT`, "TestOperationKeysOfOthers"},
	{"an operation key is bound anew only if its message was settled", "internal/intake/operation.go",
		"		o.bound, o.stage = id, settleStage\n", "		if o.bound, o.stage = id, settleStage; MUTANT {\n			o.rebind(id)\n		}\n", "TestOperationKeysOutliveEveryChange"},
	{"a send whose id was settled for another one asks for the new binding", "internal/intake/operation.go",
		"	if t.Kind == string(errs.Rejected) && t.IsRebindable {", "	if t.Kind == string(errs.Rejected) && t.IsRebindable && !MUTANT {", "TestClaimWithoutAMessage"},
	{"a key whose message a caller had settled is not bound anew", "internal/place/claims.go",
		"e.State == Tombstone && e.Cause == CauseOperation", "e.State == Tombstone && (e.Cause == CauseOperation || MUTANT)", "TestSettledByACaller"},
	{"a tombstone says for whom it was made", "internal/place/machine.go",
		"			e.Cause = c.Cause\n", "			if e.Cause = c.Cause; MUTANT {\n				e.Cause = CauseOperation\n			}\n", "TestSettledByACaller"},
	{"a binding that names an accepted message is not replaced", "internal/place/claims.go",
		`		if c.Replaces != "" && known.Id == c.Replaces {`, `		if MUTANT || c.Replaces != "" && known.Id == c.Replaces {`, "TestOperationKeysOutliveEveryChange"},
	{"a message is sent where builds without claims put it until the home supports claims", "internal/intake/operation.go",
		"	case isUnsupported:\n", "	case isUnsupported && !MUTANT:\n", "TestHomesOfOlderBuilds"},
	{"the place of an ordered message is derived from its ordering key alone", "internal/intake/intake.go",
		`		return hashToPlace("", "k"+wire.ScopedKey(e.tenant.Name, e.orderingKey), places), true`,
		"		if MUTANT {\n			return hashToPlace(\"\", \"k\"+wire.ScopedKey(e.tenant.Name, e.orderingKey)+e.operationKey, places), true\n		}\n" +
			`		return hashToPlace("", "k"+wire.ScopedKey(e.tenant.Name, e.orderingKey), places), true`,
		"TestSendsWithOneOperationKeyAreOneMessage"},
	{"the lane's order does not affect the place of an ordering key", "internal/intake/intake.go",
		`	case e.operationKey != "" && e.tenant.Name != "":`, `	case e.operationKey != "" && e.tenant.Name != "" && !(MUTANT && !e.lane.IsOrdered):`,
		"TestPlacesOutliveTheConfiguration"},
	{"ordering keys are scoped to their tenant", "internal/intake/tenant.go",
		"	e.take.Key = wire.ScopedKey(e.tenant.Name, orderingKey)\n", "	if e.take.Key = wire.ScopedKey(e.tenant.Name, orderingKey); MUTANT {\n		e.take.Key = orderingKey\n	}\n",
		"TestSendsWithOneOperationKeyAreOneMessage"},
	{"a repeat with another body gets the first one's id", "internal/intake/hold.go",
		`	if e.operationKey != "" && e.taken.Kind`, `	if !MUTANT && e.operationKey != "" && e.taken.Kind`, "TestSendsWithOneOperationKeyAreOneMessage"},
	{"an API key is looked up again after the body was read", "internal/intake/codec.go",
		"	if err := in.findTenant(e, arrival.ApiKey); err != nil {\n		return err\n	}\n	if e.tenant.Name",
		"	if err := in.findTenant(e, arrival.ApiKey); err != nil && !MUTANT {\n		return err\n	}\n	if e.tenant.Name", "TestKeysThatChangeMeanwhile"},
	{"a message without the API key of a tenant is refused", "internal/intake/tenant.go",
		"	if !isHeld && !lane.IsPublic {", "	if !isHeld && !lane.IsPublic && !MUTANT {", "TestMessagesWithoutAKeyAreRefused"},
	{"a worker gets the tenant that holds the API key", "platform/message.go",
		"	var err error\n	if out.Delay", "	if MUTANT {\n		out.Head = requesthead.FromRequest(r, contentTypeHeader, attemptIdHeader, orderKeyHeader, tenantHeader)\n	}\n	var err error\n	if out.Delay",
		"TestWorkersAreToldTheTenant"},
	{"the API key is not sent to workers", "platform/message.go",
		"	out.Deadline, err = readMillis", "	if MUTANT {\n		out.Head = requesthead.FromRequest(r, contentTypeHeader, attemptIdHeader, orderKeyHeader, \"Authorization\")\n	}\n	out.Deadline, err = readMillis",
		"TestWorkersAreToldTheTenant"},
	{"two tenants do not share an API key", "internal/config/tenants.go",
		"isHeld && other.tenant != name {", "isHeld && other.tenant != name && !MUTANT {", "TestTenantsWithOneKeyAreInvalid"},
}

// buildTenancyMutants builds this package's tests with every guard made optional.
func buildTenancyMutants(t *testing.T) string {
	dir, texts, replace := t.TempDir(), map[string]string{}, map[string]string{}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range tenancyMutants {
		if texts[m.file] == "" {
			raw, err := os.ReadFile(filepath.Join(root, m.file))
			if err != nil {
				t.Fatal(err)
			}
			texts[m.file] = string(raw)
		}
		if n := strings.Count(texts[m.file], m.was); n != 1 {
			t.Fatalf("%s: the guard's text occurs %d times in %s, want 1; update the table to the source", m.name, n, m.file)
		}
		gone := "(os.Getenv(" + strconv.Quote(mutantVariable) + ") == " + strconv.Quote(m.name) + ")"
		texts[m.file] = strings.Replace(texts[m.file], m.was, strings.ReplaceAll(m.is, "MUTANT", gone), 1)
	}
	for file, text := range texts {
		at := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		if !strings.Contains(text, "\t\"os\"\n") {
			text = strings.Replace(text, "import (\n", "import (\n\t\"os\"\n", 1)
		}
		if err := os.WriteFile(at, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		replace[filepath.Join(root, file)] = at
	}
	raw, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		t.Fatal(err)
	}
	overlay, bin := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "intake.test")
	if err := os.WriteFile(overlay, raw, 0o644); err != nil {
		t.Fatal(err)
	}
	build := exec.Command("go", "test", "-c", "-overlay", overlay, "-o", bin, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

// TestTenancyMutants checks that a test fails for each removed guard.
func TestTenancyMutants(t *testing.T) {
	bin := buildTenancyMutants(t)
	run := func(mutant, test string) error {
		child := exec.Command(bin, "-test.run", "^"+test+"$")
		child.Env = append(os.Environ(), mutantVariable+"="+mutant)
		return child.Run()
	}
	whole, without := map[string]error{}, map[string]error{}
	for _, m := range tenancyMutants {
		whole[m.name], without[m.name] = run("", m.test), run(m.name, m.test)
	}
	Convey("With all guards the tests pass, and a test fails without each of them:", t, func() {
		for _, m := range tenancyMutants {
			Convey(m.name, func() {
				So(whole[m.name], ShouldBeNil)
				So(without[m.name], ShouldNotBeNil)
			})
		}
	})
}
