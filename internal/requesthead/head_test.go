package requesthead

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestUnchanged checks that the request sent is byte for byte the one received, whatever its target.
func TestUnchanged(t *testing.T) {
	cases := []struct{ name, text string }{
		{"a plain path", "POST /a/b HTTP/1.1\r\nHost: x.example\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{"a query", "PUT /a?b=c&d=%20e HTTP/1.1\r\nHost: x.example:80\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{"escapes and dots", "POST /a%2Fb/../c//d;e=f HTTP/1.1\r\nHost: x.example\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{"two leading slashes", "POST //a//b%2Fc?d HTTP/1.1\r\nHost: x.example\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{"two leading slashes and an empty query", "POST //a? HTTP/1.1\r\nHost: x.example\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{"no body", "POST /a HTTP/1.1\r\nHost: x.example\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"},
	}
	Convey("A decoded request is the same as the received one, with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				r, err := http.ReadRequest(bufio.NewReader(bytes.NewBufferString(c.text)))
				So(err, ShouldBeNil)
				var body bytes.Buffer
				_, err = body.ReadFrom(r.Body)
				So(err, ShouldBeNil)
				kept, err := Decode(FromRequest(r, "X-Id", "X-None").Encode())
				So(err, ShouldBeNil)
				So(kept.Field("X-Id"), ShouldEqual, "1")
				var out bytes.Buffer
				So(kept.NewRequest("127.0.0.1:1", body.Bytes()).Write(&out), ShouldBeNil)
				again, err := http.ReadRequest(bufio.NewReader(&out))
				So(err, ShouldBeNil)
				So([]string{again.Method, again.RequestURI, again.Host, again.Header.Get("X-Id")}, ShouldResemble,
					[]string{r.Method, r.RequestURI, r.Host, "1"})
				So(len(again.Header), ShouldBeLessThanOrEqualTo, 2)
			})
		}
	})
	Convey("An incomplete head is refused", t, func() {
		_, err := Decode([]byte("POST"))
		So(err, ShouldNotBeNil)
	})
}
