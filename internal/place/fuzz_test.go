package place

import "testing"

// FuzzRestore: a command or an image is read whole or refused, and a machine
// that was read back can go on.
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
