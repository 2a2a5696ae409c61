package intake_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/intake"
	"caperwheel/internal/requesthead"
	"caperwheel/platform"
)

// slowBody is a body that calls meanwhile before it is first read.
type slowBody struct {
	io.Reader
	once      sync.Once
	meanwhile func()
}

func (b *slowBody) Read(p []byte) (int, error) {
	b.once.Do(b.meanwhile)
	return b.Reader.Read(p)
}

// sendMeanwhile sends a message with key-3 and changes the configuration while the body is read.
func sendMeanwhile(from, to string) (code int, tenant string, count int) {
	before, err := platform.TranslateConfig([]byte(tenantConfig), time.Minute)
	So(err, ShouldBeNil)
	So(strings.Contains(tenantConfig, from), ShouldBeTrue)
	next, err := platform.TranslateConfig([]byte(strings.Replace(tenantConfig, from, to, 1)), time.Minute)
	So(err, ShouldBeNil)
	in, takes := intake.NewTestIntake(intake.TestSetup{Take: held, MaxInFlight: 9, Rules: string(before)})
	body := &slowBody{Reader: strings.NewReader("body"), meanwhile: func() { intake.UpdateConfig(in, string(next)) }}
	r := httptest.NewRequest(http.MethodPost, "/a/b", body)
	r.Host = "x.example"
	r.Header.Set("Authorization", "Bearer key-3")
	w := httptest.NewRecorder()
	in.PassthroughHandler(platform.IntakeCodec)(w, r)
	for _, take := range takes() {
		kept, err := requesthead.Decode(take.RequestHead)
		So(err, ShouldBeNil)
		tenant = kept.Field("X-Tenant")
	}
	return w.Code, tenant, len(takes())
}

// TestKeysThatChangeMeanwhile guards against rules CONFIG and UNASKED: a key was removed, or passed to another tenant,
// while a body was read, and the message was accepted by the earlier state.
func TestKeysThatChangeMeanwhile(t *testing.T) {
	Convey("While a body is read", t, func() {
		Convey("its key is removed: 401", func() {
			code, _, count := sendMeanwhile(`"api_keys":["key-3"]`, `"api_keys":[]`)
			So([]int{code, count}, ShouldResemble, []int{401, 0})
		})
		Convey("its key passes to another tenant: the message is the other's", func() {
			code, tenant, count := sendMeanwhile(`"growers","api_keys":["key-3"]`, `"others","api_keys":["key-3"]`)
			So([]int{code, count}, ShouldResemble, []int{202, 1})
			So(tenant, ShouldEqual, "others")
		})
		Convey("the tenant gets another key: the message is accepted", func() {
			code, tenant, _ := sendMeanwhile(`["key-3"]`, `["key-4","key-3"]`)
			So(code, ShouldEqual, 202)
			So(tenant, ShouldEqual, "growers")
		})
	})
}
