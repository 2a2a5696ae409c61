package requesthead

import (
	"reflect"
	"testing"
)

// FuzzDecode checks that a decoded head is the same after it was encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add(Head{Method: "POST", Target: "/a?b", Host: "x.example", Fields: [][2]string{{"X-Attempt-Id", "m-1"}}}.Encode())
	f.Add([]byte("GET /\n\nX:"))
	f.Add([]byte(" \n"))
	f.Add([]byte("POST /\nh\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		one, err := Decode(raw)
		if err != nil {
			return
		}
		two, err := Decode(one.Encode())
		if err != nil || !reflect.DeepEqual(one, two) {
			t.Fatalf("decoding %q gave %+v; encoding and decoding that gave %+v, %v", raw, one, two, err)
		}
		one.NewRequest("10.0.0.9:1", nil)
	})
}
