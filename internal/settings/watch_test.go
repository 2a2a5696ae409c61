package settings

import (
	"context"
	"os"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWatch replaces the file of a running daemon by a broken one in several ways, and then by a valid
// one: only the valid one may be applied, recognised by its verbosity.
func TestWatch(t *testing.T) {
	with := func(verbosity string) []byte {
		return []byte(validFile[:len(validFile)-1] + `,"verbosity":` + verbosity + `}`)
	}
	breakages := map[string]func(file string) error{
		"half written":   func(file string) error { return os.WriteFile(file, with("4")[:40], 0o600) },
		"emptied":        func(file string) error { return os.WriteFile(file, nil, 0o600) },
		"removed":        os.Remove,
		"not to be read": func(file string) error { _ = os.Remove(file); return os.Mkdir(file, 0o700) },
		"of another daemon": func(file string) error {
			return os.WriteFile(file, []byte(validFile[:len(validFile)-1]+`,"cell":"z","verbosity":4}`), 0o600)
		},
	}
	Convey("Given a daemon that watches its settings file", t, func() {
		for name, breakFile := range breakages {
			Convey("one that is "+name+" is not applied, the valid one after it is", func() {
				file := writeFile(t, validFile)
				s, err := Load("store", []string{"--settings", file, "--bound=500ms"}, nil)
				So(err, ShouldBeNil)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				used, began := make(chan int, 99), make(chan struct{})
				go Watch(ctx, "store", s, func(s Settings) { used <- s.Verbosity }, func() { close(began) })
				<-began
				So(breakFile(file), ShouldBeNil)
				So(os.WriteFile(file+".new", with("2"), 0o600), ShouldBeNil)
				_ = os.Remove(file)
				So(os.Rename(file+".new", file), ShouldBeNil)
				So(<-used, ShouldEqual, 2)
			})
		}
	})
}

// TestLook checks what polls of the file find: a change is applied once, and a change that keeps the size
// and the modification time is found by a forced poll.
func TestLook(t *testing.T) {
	with := func(verbosity string) []byte {
		return []byte(validFile[:len(validFile)-1] + `,"verbosity":` + verbosity + `}`)
	}
	Convey("Given a file that was polled", t, func() {
		file := writeFile(t, string(with("1")))
		s, err := Load("store", []string{"--settings", file}, nil)
		So(err, ShouldBeNil)
		used := []int{}
		w := &watcher{kind: "store", current: s, apply: func(s Settings) { used = append(used, s.Verbosity) }}
		w.poll(false)
		So(used, ShouldBeEmpty)
		info, err := os.Stat(file)
		So(err, ShouldBeNil)
		Convey("a change that keeps the size and time is not read", func() {
			So(os.WriteFile(file, with("2"), 0o600), ShouldBeNil)
			So(os.Chtimes(file, info.ModTime(), info.ModTime()), ShouldBeNil)
			w.poll(false)
			So(used, ShouldBeEmpty)
			Convey("unless the poll is forced", func() {
				w.poll(true)
				So(used, ShouldResemble, []int{2})
			})
		})
		Convey("another file in its place is read, even with the same size and time", func() {
			So(os.WriteFile(file+".new", with("3"), 0o600), ShouldBeNil)
			So(os.Chtimes(file+".new", info.ModTime(), info.ModTime()), ShouldBeNil)
			So(os.Rename(file+".new", file), ShouldBeNil)
			w.poll(false)
			w.poll(false)
			So(used, ShouldResemble, []int{3})
		})
		Convey("a broken file is polled until it is valid", func() {
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

// TestHangup checks that a SIGHUP makes a daemon reload its file at once, and ends no daemon.
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
