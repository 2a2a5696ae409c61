package intake_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/intake"
	"caperwheel/internal/wire"
	"caperwheel/platform"
)

// ownTenants returns a configuration with a lane for tenants, a public lane and an ordered one. Each tenant has one
// key.
func ownTenants(keys map[string]string) string {
	tenants := []string{}
	for name, key := range keys {
		tenants = append(tenants, fmt.Sprintf(`%q:{"keys":[%q]}`, name, config.HashApiKey(key)))
	}
	return `{"pools":{"p":{}},"lanes":{"l":{"pools":["p"],"host":"x.example","prefix":"/a/"},"open":{"pools":["p"],"public":true},
		"o":{"pools":["p"],"ordering":"key"}},"tenants":{` + strings.Join(tenants, ",") + `}}`
}

// twoTenants is a configuration with two tenants.
var twoTenants = ownTenants(map[string]string{"halls": "key-1", "growers": "key-3"})

// call serves a request with all routes of an adapter, those of the platform's callers included.
func call(in *intake.Intake, method, target, key string, body io.Reader) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	mux.Handle("/v1/", intake.Handler(in))
	platform.ServeCallers(mux, in)
	mux.HandleFunc("GET /v1/messages/{id}/story", in.RequireAccess(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }))
	r := httptest.NewRequest(method, target, body)
	r.Host = "x.example"
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	return w
}

// idOf sends a message and returns the id that it got.
func idOf(lane, key string) string {
	in, takes := intake.NewTestIntake(intake.TestSetup{Take: held, MaxInFlight: 9, Rules: twoTenants})
	So(call(in, "POST", "/v1/lanes/"+lane+"/messages", key, strings.NewReader("b")).Code, ShouldEqual, 202)
	return takes()[0].Id
}

// TestAskersOfTenants checks who may access a message. It guards against a message that another tenant reads, also from
// an adapter that has no configuration yet.
func TestAskersOfTenants(t *testing.T) {
	sight := &wire.Sight{State: "held", Body: []byte("b"), Checksum: wire.Checksum([]byte("b"))}
	known, stale := intake.TestSetup{Sight: sight, MaxInFlight: 9, Rules: twoTenants}, intake.TestSetup{Sight: sight, MaxInFlight: 9, Rules: twoTenants, IsStale: true}
	blank, none := intake.TestSetup{Sight: sight, MaxInFlight: 9, Rules: `{}`, IsStale: true}, intake.TestSetup{Sight: sight, MaxInFlight: 9}
	gone := intake.TestSetup{Sight: sight, MaxInFlight: 9, Rules: ownTenants(map[string]string{"growers": "key-3"})}
	cases := []struct {
		name      string
		lane, own string // lane and key by which the message was sent
		key       string // of the request for it
		s         intake.TestSetup
		code      int
	}{
		{"with a key of its tenant", "l", "key-1", "key-1", known, 200},
		{"with a key of another tenant", "l", "key-1", "key-3", known, 404},
		{"with an unknown key", "l", "key-1", "key-9", known, 401},
		{"without a key", "l", "key-1", "", known, 401},
		{"without a key, for a message sent with one on a public lane", "open", "key-1", "", known, 401},
		{"without a key, for a message without a tenant", "open", "", "", known, 200},
		{"with a key, for a message without a tenant", "open", "", "key-3", known, 200},
		{"with a key of its tenant, while the view is stale", "l", "key-1", "key-1", stale, 503},
		{"with a key of another tenant, while the view is stale", "l", "key-1", "key-3", stale, 503},
		{"without a key, while the view is stale", "l", "key-1", "", stale, 503},
		{"without a key, for a message without a tenant, while the view is stale", "open", "", "", stale, 200},
		{"without a key, before a configuration is known", "l", "key-1", "", blank, 503},
		{"without a key, after all tenants were removed", "l", "key-1", "", none, 401},
		{"with the former key of its tenant, which was removed", "l", "key-1", "key-1", gone, 401},
		{"with a key of another tenant, after its own was removed", "l", "key-1", "key-3", gone, 404},
	}
	Convey("A request for a message", t, func() {
		for _, c := range cases {
			for _, form := range []string{"/v1/messages/%s", "/v1/messages/%s/body", "/v1/messages/%s/story", "/v1/message/%s", "/v1/message-body/%s"} {
				Convey(c.name+", at "+form, func() {
					in, _ := intake.NewTestIntake(c.s)
					w := call(in, "GET", fmt.Sprintf(form, idOf(c.lane, c.own)), c.key, nil)
					So(w.Code, ShouldEqual, c.code)
					So(w.Header().Get("WWW-Authenticate") != "", ShouldEqual, c.code == 401)
				})
			}
		}
	})
}

// TestOwnSenders checks who may send on a lane. It guards against an adapter without contact to the control plane that
// refuses a key because it has not been updated yet.
func TestOwnSenders(t *testing.T) {
	stale := intake.TestSetup{Take: held, MaxInFlight: 9, Rules: twoTenants, IsStale: true}
	known := intake.TestSetup{Take: held, MaxInFlight: 9, Rules: twoTenants}
	cases := []struct {
		name, lane, key string
		s               intake.TestSetup
		code            int
	}{
		{"a key", "l", "key-1", known, 202},
		{"an unknown key", "l", "key-9", known, 401},
		{"no key", "l", "", known, 401},
		{"no key, on a public lane", "open", "", known, 202},
		{"no key, on an unknown lane", "x", "", known, 404},
		{"a key, while the view is stale", "l", "key-1", stale, 503},
		{"an unknown key, while the view is stale", "l", "key-9", stale, 503},
		{"no key, without tenants in the configuration", "l", "", intake.TestSetup{Take: held, MaxInFlight: 9}, 202},
		{"a key, without tenants in the configuration", "l", "key-1", intake.TestSetup{Take: held, MaxInFlight: 9}, 202},
	}
	Convey("A caller with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				in, takes := intake.NewTestIntake(c.s)
				w := call(in, "POST", "/v1/lanes/"+c.lane+"/messages", c.key, strings.NewReader("b"))
				So(w.Code, ShouldEqual, c.code)
				So(len(takes()), ShouldEqual, map[bool]int{true: 1}[c.code == 202])
				So(w.Header().Get("WWW-Authenticate") != "", ShouldEqual, c.code == 401)
				So(w.Body.String(), ShouldNotContainSubstring, "key-")
			})
		}
	})
}

// changingBody is a body that calls meanwhile when it is first read.
type changingBody struct {
	meanwhile func()
	io.Reader
}

func (l *changingBody) Read(p []byte) (int, error) {
	if l.meanwhile != nil {
		l.meanwhile()
		l.meanwhile = nil
	}
	return l.Reader.Read(p)
}

// TestKeysThatChange guards against rule CONFIG: an adapter that knew the newer configuration accepted a removed key or
// refused an added one.
func TestKeysThatChange(t *testing.T) {
	without, moved := ownTenants(map[string]string{"growers": "key-3"}), ownTenants(map[string]string{"growers": "key-1"})
	for _, target := range []string{"/v1/lanes/l/messages", "/a/b"} {
		Convey("On an adapter that receives a change, at "+target, t, func() {
			in, takes := intake.NewTestIntake(intake.TestSetup{Take: held, MaxInFlight: 9, Rules: twoTenants})
			send := func(key string, meanwhile func()) int {
				return call(in, "POST", target, key, &changingBody{meanwhile, strings.NewReader("b")}).Code
			}
			Convey("a removed key is refused from then on", func() {
				So(send("key-1", nil), ShouldEqual, 202)
				intake.UpdateConfig(in, without)
				So(send("key-1", nil), ShouldEqual, 401)
				So(len(takes()), ShouldEqual, 1)
			})
			Convey("an added key, and one that stays, are accepted from then on", func() {
				intake.UpdateConfig(in, without)
				intake.UpdateConfig(in, twoTenants)
				So(send("key-1", nil), ShouldEqual, 202)
				So(send("key-3", nil), ShouldEqual, 202)
			})
			Convey("a key that is removed while the body is read is refused", func() {
				So(send("key-1", func() { intake.UpdateConfig(in, without) }), ShouldEqual, 401)
				So(takes(), ShouldBeEmpty)
			})
			Convey("a key that stays is accepted, although a change arrives while the body is read", func() {
				So(send("key-3", func() { intake.UpdateConfig(in, without) }), ShouldEqual, 202)
			})
			Convey("a key that passes to another tenant while the body is read counts as the other's, or the message is refused", func() {
				code := send("key-1", func() { intake.UpdateConfig(in, moved) })
				if code == 202 {
					So(takes()[0].Id, ShouldContainSubstring, "-t"+wire.Checksum([]byte("growers"))[:16])
					return
				}
				So(code, ShouldEqual, 503)
				So(takes(), ShouldBeEmpty)
			})
		})
	}
}

// TestOpenConnections checks that an earlier answer on a connection has no effect on later requests on it.
func TestOpenConnections(t *testing.T) {
	Convey("On one kept connection", t, func() {
		in, _ := intake.NewTestIntake(intake.TestSetup{Take: held, MaxInFlight: 9, Rules: twoTenants})
		connections := atomic.Int64{}
		server := httptest.NewUnstartedServer(intake.Handler(in))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections.Add(1)
			}
		}
		server.Start()
		Reset(server.Close)
		send := func(key string) int {
			r, err := http.NewRequest("POST", server.URL+"/v1/lanes/l/messages", strings.NewReader("b"))
			So(err, ShouldBeNil)
			r.Header.Set("Authorization", "Bearer "+key)
			answer, err := server.Client().Do(r)
			So(err, ShouldBeNil)
			_, err = io.Copy(io.Discard, answer.Body)
			So(err, ShouldBeNil)
			So(answer.Body.Close(), ShouldBeNil)
			return answer.StatusCode
		}
		codes := []int{send("key-1"), send("key-9")}
		intake.UpdateConfig(in, ownTenants(map[string]string{"halls": "key-9"}))
		codes = append(codes, send("key-1"), send("key-9"))
		intake.UpdateConfig(in, twoTenants)
		codes = append(codes, send("key-1"), send("key-9"))
		So(codes, ShouldResemble, []int{202, 401, 401, 202, 202, 401})
		So(connections.Load(), ShouldEqual, 1)
	})
}
