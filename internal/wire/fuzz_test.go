package wire

import (
	"testing"

	"caperwheel/internal/errs"
)

// FuzzParse guards against input on a link that is neither decoded completely nor rejected with a typed
// error. Decoded messages can be encoded again.
func FuzzParse(f *testing.F) {
	names := []string{"session", "peer", "part", "place", "run", "group"}
	requests, _ := Links["place"].Codecs(Version)
	w := requests.NewWriter(64)
	if err := requests.Append(w, Item{CorrelationId: 1, Body: &Take{Id: "1-x", Body: []byte("b")}}); err != nil {
		f.Fatal(err)
	}
	f.Add(append([]byte{}, w.Buffer()...), uint8(3), uint8(1))
	f.Add([]byte{2, 0, 0xfe, 0xff, 0xff, 0xff, 0x0f}, uint8(0), uint8(1)) // a list that declares a huge length
	f.Add([]byte{2, 4, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, uint8(5), uint8(2))
	f.Add([]byte{}, uint8(1), uint8(200))
	f.Fuzz(func(t *testing.T, raw []byte, link, count uint8) {
		for version := OldestVersion; version <= Version; version++ {
			requests, replies := Links[names[int(link)%len(names)]].Codecs(version)
			for _, codec := range []*Codec{requests, replies} {
				items, err := codec.Decode(raw, int(count))
				if err != nil {
					if !errs.Is(err, errs.Corrupt) {
						t.Fatal(err)
					}
					continue
				}
				w := codec.NewWriter(64)
				for _, item := range items {
					if err := codec.Append(w, item); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
	})
}
