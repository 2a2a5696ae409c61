package settings

import (
	"context"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWatch breaks the file under a daemon in every way and mends it again:
// only the mended one is ever used. Each mending has a verbosity of its own.
func TestWatch(t *testing.T) {
	with := func(verbosity string) []byte { return []byte(good[:len(good)-1] + `,"verbosity":` + verbosity + `}`) }
	breaks := map[string]func(file string) error{
		"half written":   func(file string) error { return os.WriteFile(file, with("4")[:40], 0o600) },
		"emptied":        func(file string) error { return os.WriteFile(file, nil, 0o600) },
		"removed":        os.Remove,
		"not to be read": func(file string) error { _ = os.Remove(file); return os.Mkdir(file, 0o700) },
		"of another daemon": func(file string) error {
			return os.WriteFile(file, []byte(good[:len(good)-1]+`,"cell":"z","verbosity":4}`), 0o600)
		},
	}
	Convey("Given a daemon that watches its settings file", t, func() {
		for name, hurt := range breaks {
			Convey("one that is "+name+" is not used, the mended one is", func() {
				file := write(t, good)
				s, err := Load("store", []string{"--settings", file, "--bound=500ms"}, nil)
				So(err, ShouldBeNil)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				used, began := make(chan int, 99), make(chan struct{})
				go Watch(ctx, "store", s, func(s Settings) { used <- s.Verbosity }, func() { close(began) })
				<-began
				So(hurt(file), ShouldBeNil)
				So(os.WriteFile(file+".new", with("2"), 0o600), ShouldBeNil)
				_ = os.Remove(file)
				So(os.Rename(file+".new", file), ShouldBeNil)
				So(<-used, ShouldEqual, 2)
			})
		}
	})
}
