package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/mishap"
)

const good = `{"name":"s","cell":"a","listen":"127.0.0.1:1000","http":"127.0.0.1:1001","seeds":["127.0.0.1:1002"],"data":"/d"}`

func write(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "settings.json")
	So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
	return file
}

// TestLoad is the table of settings that are refused, and why.
func TestLoad(t *testing.T) {
	cases := []struct {
		name, file string
		flags      []string
		says       string
	}{
		{"a good file", good, nil, ""},
		{"a flag over the file", good, []string{"--name=other"}, ""},
		{"no file at all", "", nil, "name: must be given"},
		{"half a file", good[:40], nil, "not a JSON object"},
		{"an unknown key", `{"nmae":"s"}`, nil, "nmae: is not known"},
		{"a wrong kind", `{"places":"many"}`, nil, "places: is of the wrong kind"},
		{"a host name", good, []string{"--listen=localhost:1"}, "listen: must be an IP number and a port"},
		{"a port out of range", good, []string{"--http=127.0.0.1:99999"}, "http: must have a port"},
		{"a store without a folder", strings.Replace(good, `,"data":"/d"`, "", 1), nil, "data: must be given"},
		{"two founders", good, []string{"--founders=2"}, "founders: must be 1, 3 or 5"},
		{"a name that rosters could not hold", good, []string{"--name=a/b"}, "name: must be given, without"},
		{"an address that nobody can reach", good, []string{"--advertise=0.0.0.0:1000"}, "advertise: must be an address"},
		{"a window below the batch", good, []string{"--window=3"}, "window: must be at least batch"},
		{"an unknown flag", good, []string{"--nmae=x"}, "nmae"},
	}
	Convey("Settings from", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				args := c.flags
				if c.file != "" {
					args = append([]string{"--settings", write(t, c.file)}, args...)
				}
				s, err := Load("store", args, nil)
				if c.says == "" {
					So(err, ShouldBeNil)
					So(s.Advertise, ShouldEqual, "127.0.0.1:1000")
					return
				}
				So(mishap.Is(err, mishap.Invalid), ShouldBeTrue)
				So(err.Error(), ShouldContainSubstring, c.says)
			})
		}
		Convey("a manager needs no seeds and no folder, a store needs both", func() {
			args := []string{"--name=m", "--cell=a", "--listen=127.0.0.1:1", "--http=127.0.0.1:2"}
			_, err := Load("manager", args, nil)
			So(err, ShouldBeNil)
			_, err = Load("store", args, nil)
			So(err.Error(), ShouldContainSubstring, "data")
			So(err.Error(), ShouldContainSubstring, "seeds")
		})
		Convey("several faults are told at once", func() {
			_, err := Load("store", []string{"--settings", write(t, `{"places":0,"parts":0}`)}, nil)
			So(err.Error(), ShouldContainSubstring, "places")
			So(err.Error(), ShouldContainSubstring, "parts")
		})
	})
}

func TestReread(t *testing.T) {
	cases := []struct {
		name, text string
		isUsed     bool
	}{
		{"another verbosity is used", good[:len(good)-1] + `,"verbosity":3}`, true},
		{"another cell is refused", good[:len(good)-1] + `,"cell":"z"}`, false},
		{"half a file is refused", good[:30], false},
		{"a value out of range is refused", good[:len(good)-1] + `,"verbosity":9}`, false},
	}
	Convey("When the file changes under a daemon,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				file := write(t, good)
				old, err := Load("store", []string{"--settings", file, "--most", "77"}, nil) // a flag that overrides the file
				So(err, ShouldBeNil)
				So(os.WriteFile(file, []byte(c.text), 0o600), ShouldBeNil)
				next, err := Reread("store", old)
				So(err == nil, ShouldEqual, c.isUsed)
				So(next.Verbosity == 3, ShouldEqual, c.isUsed)
				So(next.Cell, ShouldEqual, "a")
			})
		}
	})
}
