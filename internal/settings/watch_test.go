package settings

import (
	"context"
	"os"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWatch breaks the file under a daemon in every way and mends it again:
// only the mended one is ever used. Each mending has a verbosity of its own.
func TestWatch(t *testing.T) {
	with := func(verbosity string) []byte {
		return []byte(validFile[:len(validFile)-1] + `,"verbosity":` + verbosity + `}`)
	}
	breaks := map[string]func(file string) error{
		"half written":   func(file string) error { return os.WriteFile(file, with("4")[:40], 0o600) },
		"emptied":        func(file string) error { return os.WriteFile(file, nil, 0o600) },
		"removed":        os.Remove,
		"not to be read": func(file string) error { _ = os.Remove(file); return os.Mkdir(file, 0o700) },
		"of another daemon": func(file string) error {
			return os.WriteFile(file, []byte(validFile[:len(validFile)-1]+`,"cell":"z","verbosity":4}`), 0o600)
		},
	}
	Convey("Given a daemon that watches its settings file", t, func() {
		for name, hurt := range breaks {
			Convey("one that is "+name+" is not used, the mended one is", func() {
				file := writeFile(t, validFile)
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

// TestLook is the table of what the polls of a file find: a change is seen
// once, and one that keeps the size and even the time is seen when asked for.
func TestLook(t *testing.T) {
	with := func(verbosity string) []byte {
		return []byte(validFile[:len(validFile)-1] + `,"verbosity":` + verbosity + `}`)
	}
	Convey("Given a file that was looked at", t, func() {
		file := writeFile(t, string(with("1")))
		s, err := Load("store", []string{"--settings", file}, nil)
		So(err, ShouldBeNil)
		used := []int{}
		w := &watcher{kind: "store", current: s, apply: func(s Settings) { used = append(used, s.Verbosity) }}
		w.poll(false)
		So(used, ShouldBeEmpty)
		info, err := os.Stat(file)
		So(err, ShouldBeNil)
		Convey("what is the same is not read", func() {
			So(os.WriteFile(file, with("2"), 0o600), ShouldBeNil)
			So(os.Chtimes(file, info.ModTime(), info.ModTime()), ShouldBeNil)
			w.poll(false)
			So(used, ShouldBeEmpty)
			Convey("but when asked to", func() {
				w.poll(true)
				So(used, ShouldResemble, []int{2})
			})
		})
		Convey("another file in its place is read, though of the same size and time", func() {
			So(os.WriteFile(file+".new", with("3"), 0o600), ShouldBeNil)
			So(os.Chtimes(file+".new", info.ModTime(), info.ModTime()), ShouldBeNil)
			So(os.Rename(file+".new", file), ShouldBeNil)
			w.poll(false)
			w.poll(false)
			So(used, ShouldResemble, []int{3})
		})
		Convey("a broken one is looked at until it is whole", func() {
			whole := with("4")
			So(os.WriteFile(file, whole[:40], 0o600), ShouldBeNil)
			w.poll(false)
			w.poll(false)
			So(used, ShouldBeEmpty)
			So(os.WriteFile(file, whole, 0o600), ShouldBeNil)
			w.poll(false)
			So(used, ShouldResemble, []int{4})
		})
	})
}

// TestHangup: a SIGHUP ends no daemon; it has the file read at once.
func TestHangup(t *testing.T) {
	Convey("Given daemons that watch, one of them without a file", t, func() {
		file := writeFile(t, validFile)
		s, err := Load("store", []string{"--settings", file, "--bound=1m"}, nil)
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		used, began := make(chan int, 1), make(chan struct{}, 2)
		go Watch(ctx, "store", s, func(s Settings) { used <- s.Verbosity }, func() { began <- struct{}{} })
		go Watch(ctx, "store", Settings{}, func(Settings) {}, func() { began <- struct{}{} })
		<-began
		<-began
		So(os.WriteFile(file, []byte(validFile[:len(validFile)-1]+`,"verbosity":2}`), 0o600), ShouldBeNil)
		So(syscall.Kill(os.Getpid(), syscall.SIGHUP), ShouldBeNil)
		So(<-used, ShouldEqual, 2)
	})
}
