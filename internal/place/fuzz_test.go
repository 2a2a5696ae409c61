package place

import "testing"

// FuzzRestore checks that any bytes either decode completely or are refused, as a command and as a snapshot, and that a
// machine can continue from what was decoded.
func FuzzRestore(f *testing.F) {
	m := New()
	for _, c := range []Command{take("1"), ordered("2"), start("1", 1), runSucceeded("1", 1)} {
		m.Apply(c)
		f.Add(c.Encode())
	}
	f.Add(m.Snapshot())
	f.Add([]byte{0, 0, 0xfe, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := Decode(raw); err == nil {
			m := New()
			m.Apply(take("1"))
			m.Apply(c)
			m.Snapshot()
		}
		if m, err := Restore(raw); err == nil {
			m.Ready(m.Clock())
			m.TakeExpired(m.Clock())
			m.Snapshot()
		}
	})
}
