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

// ownTenants is a configuration with a lane for tenants, an open one and an ordered one. Each tenant has one key.
func ownTenants(keys map[string]string) string {
	tenants := []string{}
	for name, key := range keys {
		tenants = append(tenants, fmt.Sprintf(`%q:{"keys":[%q]}`, name, config.HashApiKey(key)))
	}
	return `{"pools":{"p":{}},"lanes":{"l":{"pools":["p"],"host":"x.example","prefix":"/a/"},"open":{"pools":["p"],"public":true},
		"o":{"pools":["p"],"ordering":"key"}},"tenants":{` + strings.Join(tenants, ",") + `}}`
}

var twoTenants = ownTenants(map[string]string{"halls": "key-1", "growers": "key-3"})

// call has a request served by all that an adapter serves, for callers of ours and of the platform's.
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

// idOf sends a message and gives the id that it got.
func idOf(lane, key string) string {
	in, takes := intake.NewTestIntake(intake.TestSetup{Take: held, Most: 9, Rules: twoTenants})
	So(call(in, "POST", "/v1/lanes/"+lane+"/messages", key, strings.NewReader("b")).Code, ShouldEqual, 202)
	return takes()[0].Id
}

// TestAskersOfTenants is the table of who may ask for a message. It guards against a message that another
// tenant reads, also from an adapter that knows no configuration yet.
func TestAskersOfTenants(t *testing.T) {
	sight := &wire.Sight{State: "held", Body: []byte("b"), Checksum: wire.Checksum([]byte("b"))}
	known, stale := intake.TestSetup{Sight: sight, Most: 9, Rules: twoTenants}, intake.TestSetup{Sight: sight, Most: 9, Rules: twoTenants, IsStale: true}
	blank, none := intake.TestSetup{Sight: sight, Most: 9, Rules: `{}`, IsStale: true}, intake.TestSetup{Sight: sight, Most: 9}
	gone := intake.TestSetup{Sight: sight, Most: 9, Rules: ownTenants(map[string]string{"growers": "key-3"})}
	cases := []struct {
		name      string
		lane, own string // where the message came in, and with which key
		key       string // of the asker
		s         intake.TestSetup
		code      int
	}{
		{"with a key of its tenant", "l", "key-1", "key-1", known, 200},
		{"with a key of another tenant", "l", "key-1", "key-3", known, 404},
		{"with a key that nobody holds", "l", "key-1", "key-9", known, 401},
		{"without a key", "l", "key-1", "", known, 401},
		{"without a key, of an open lane's, which came with one", "open", "key-1", "", known, 401},
		{"without a key, of one that is nobody's", "open", "", "", known, 200},
		{"with a key, of one that is nobody's", "open", "", "key-3", known, 200},
		{"with a key of its tenant, where the view is stale", "l", "key-1", "key-1", stale, 503},
		{"with a key of another tenant, where the view is stale", "l", "key-1", "key-3", stale, 503},
		{"without a key, where the view is stale", "l", "key-1", "", stale, 503},
		{"without a key, of one that is nobody's, where the view is stale", "open", "", "", stale, 200},
		{"without a key, where no configuration is known yet", "l", "key-1", "", blank, 503},
		{"without a key, where tenants are no more", "l", "key-1", "", none, 401},
		{"with the key that its tenant had, which is gone", "l", "key-1", "key-1", gone, 401},
		{"with a key of another tenant, where its own is gone", "l", "key-1", "key-3", gone, 404},
	}
	Convey("Whoever asks for a message", t, func() {
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

// TestOwnSenders is the table of who may send on a lane. Once, an adapter that had lost touch refused a key
// that it had not heard of yet.
func TestOwnSenders(t *testing.T) {
	stale := intake.TestSetup{Take: held, Most: 9, Rules: twoTenants, IsStale: true}
	known := intake.TestSetup{Take: held, Most: 9, Rules: twoTenants}
	cases := []struct {
		name, lane, key string
		s               intake.TestSetup
		code            int
	}{
		{"a key", "l", "key-1", known, 202},
		{"a key that nobody holds", "l", "key-9", known, 401},
		{"no key", "l", "", known, 401},
		{"no key, on an open lane", "open", "", known, 202},
		{"no key, on no lane", "x", "", known, 404},
		{"a key, where the view is stale", "l", "key-1", stale, 503},
		{"a key that nobody holds, where the view is stale", "l", "key-9", stale, 503},
		{"no key, where there are no tenants", "l", "", intake.TestSetup{Take: held, Most: 9}, 202},
		{"a key, where there are no tenants", "l", "key-1", intake.TestSetup{Take: held, Most: 9}, 202},
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

// changingBody is a body whose reader first does what happens meanwhile.
type changingBody struct {
	meanwhile func()
	io.Reader
}

func (l *changingBody) Read(into []byte) (int, error) {
	if l.meanwhile != nil {
		l.meanwhile()
		l.meanwhile = nil
	}
	return l.Reader.Read(into)
}

// TestKeysThatChange guards against CONFIG: a key that was taken away was let in, or one that was given was
// refused, by an adapter that knew better.
func TestKeysThatChange(t *testing.T) {
	without, moved := ownTenants(map[string]string{"growers": "key-3"}), ownTenants(map[string]string{"growers": "key-1"})
	for _, target := range []string{"/v1/lanes/l/messages", "/a/b"} {
		Convey("On an adapter that hears of a change, at "+target, t, func() {
			in, takes := intake.NewTestIntake(intake.TestSetup{Take: held, Most: 9, Rules: twoTenants})
			send := func(key string, meanwhile func()) int {
				return call(in, "POST", target, key, &changingBody{meanwhile, strings.NewReader("b")}).Code
			}
			Convey("a key that is taken away is refused from then on", func() {
				So(send("key-1", nil), ShouldEqual, 202)
				intake.UpdateConfig(in, without)
				So(send("key-1", nil), ShouldEqual, 401)
				So(len(takes()), ShouldEqual, 1)
			})
			Convey("a key that is given, and one that stays, are taken from then on", func() {
				intake.UpdateConfig(in, without)
				intake.UpdateConfig(in, twoTenants)
				So(send("key-1", nil), ShouldEqual, 202)
				So(send("key-3", nil), ShouldEqual, 202)
			})
			Convey("a key that is taken away while the body comes is refused", func() {
				So(send("key-1", func() { intake.UpdateConfig(in, without) }), ShouldEqual, 401)
				So(takes(), ShouldBeEmpty)
			})
			Convey("a key that stays while the body and a change come is taken", func() {
				So(send("key-3", func() { intake.UpdateConfig(in, without) }), ShouldEqual, 202)
			})
			Convey("a key that passes to another tenant while the body comes is the other's, or the message is not taken", func() {
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

// TestOpenConnections: what a connection was once served does not bind what comes on it later.
func TestOpenConnections(t *testing.T) {
	Convey("On one connection that stays open", t, func() {
		in, _ := intake.NewTestIntake(intake.TestSetup{Take: held, Most: 9, Rules: twoTenants})
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
