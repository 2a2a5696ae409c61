package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
)

const validFile = `{"name":"s","cell":"a","listen":"127.0.0.1:1000","http":"127.0.0.1:1001","seeds":["127.0.0.1:1002"],"data":"/d"}`

// writeFile writes a settings file and returns its path.
func writeFile(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "settings.json")
	So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
	return file
}

// TestLoad checks which settings are refused, and with which fault.
func TestLoad(t *testing.T) {
	cases := []struct {
		name, file string
		flags      []string
		says       string
	}{
		{"a good file", validFile, nil, ""},
		{"a flag over the file", validFile, []string{"--name=other"}, ""},
		{"no file at all", "", nil, "name: must be given"},
		{"half a file", validFile[:40], nil, "not a JSON object"},
		{"an unknown key", `{"nmae":"s"}`, nil, "nmae: is not known"},
		{"a value of the wrong type", `{"places":"many"}`, nil, "places: is of the wrong kind"},
		{"a host name", validFile, []string{"--listen=localhost:1"}, "listen: must be an IP number and a port"},
		{"a port out of range", validFile, []string{"--http=127.0.0.1:99999"}, "http: must have a port"},
		{"a store without a data folder", strings.Replace(validFile, `,"data":"/d"`, "", 1), nil, "data: must be given"},
		{"two founders", validFile, []string{"--founders=2"}, "founders: must be 1, 3 or 5"},
		{"a name that is not valid in a roster", validFile, []string{"--name=a/b"}, "name: must be given, without"},
		{"an advertised address that others cannot reach", validFile, []string{"--advertise=0.0.0.0:1000"}, "advertise: must be an address"},
		{"a window below the batch", validFile, []string{"--window=3"}, "window: must be at least batch"},
		{"a bool", validFile[:len(validFile)-1] + `,"founds":false}`, nil, ""},
		{"a bool as a flag", validFile, []string{"--founds=false"}, ""},
		{"a bool as a string", `{"founds":"false"}`, nil, "founds: is of the wrong kind"},
		{"six copies", validFile, []string{"--copies=6"}, "copies: must be from 0 to 5"},
		{"a probe address with a host name", validFile, []string{"--probe=here:1"}, "probe: must be an IP number and a port"},
		{"a front address without a port", validFile, []string{"--front=127.0.0.1"}, "front: must be"},
		{"an operators' port out of range", validFile, []string{"--operators=127.0.0.1:99999"}, "operators: must have a port"},
		{"a list without an address", validFile, []string{"--list=/file"}, "list: must be"},
		{"a negative list rate", validFile, []string{"--list_rate=-1"}, "list_rate: must not be below 0"},
		{"a negative resend window", validFile, []string{"--resend=-1s"}, "resend: must not be below 0"},
		{"a negative list lag", validFile, []string{"--list_lag=-1s"}, "list_lag: must not be below 0"},
		{"a negative memory limit", validFile, []string{"--memory=-1"}, "memory: must not be below 0"},
		{"a negative retention of results", validFile, []string{"--keep=-1s"}, "keep: must not be below 0"},
		{"a linger time equal to the grace period", validFile, []string{"--grace=2s", "--linger=2s"}, "linger: must be below grace"},
		{"a linger time above twice the bound, the default grace period", validFile, []string{"--linger=7s"}, "linger: must be below grace"},
		{"a crash peer with a host name", validFile, []string{"--crash_peer=agent"}, "crash_peer: must be an IP number and a port"},
		{"a crash listen address without a port", validFile, []string{"--crash_listen=127.0.0.1"}, "crash_listen: must be"},
		{"a crash peer that is the process itself", validFile, []string{"--crash_listen=127.0.0.1:7", "--crash_peer=127.0.0.1:7"}, "crash_peer: must be another's"},
		{"an unknown flag", validFile, []string{"--nmae=x"}, "nmae"},
	}
	Convey("Settings from", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				args := c.flags
				if c.file != "" {
					args = append([]string{"--settings", writeFile(t, c.file)}, args...)
				}
				s, err := Load("store", args, nil)
				if c.says == "" {
					So(err, ShouldBeNil)
					So(s.Advertise, ShouldEqual, "127.0.0.1:1000")
					return
				}
				So(errs.Is(err, errs.Invalid), ShouldBeTrue)
				So(err.Error(), ShouldContainSubstring, c.says)
			})
		}
		Convey("a manager needs no seeds and no data folder, a store needs both", func() {
			args := []string{"--name=m", "--cell=a", "--listen=127.0.0.1:1", "--http=127.0.0.1:2"}
			_, err := Load("manager", args, nil)
			So(err, ShouldBeNil)
			_, err = Load("store", args, nil)
			So(err.Error(), ShouldContainSubstring, "data")
			So(err.Error(), ShouldContainSubstring, "seeds")
		})
		Convey("several faults are reported at once", func() {
			_, err := Load("store", []string{"--settings", writeFile(t, `{"places":0,"parts":0}`)}, nil)
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
		{"another verbosity is applied", validFile[:len(validFile)-1] + `,"verbosity":3}`, true},
		{"another zone is refused", validFile[:len(validFile)-1] + `,"cell":"z"}`, false},
		{"other seeds and another list are applied", strings.Replace(validFile, ":1002", ":1003", 1)[:len(validFile)-1] + `,"verbosity":3,"list":"127.0.0.1:7"}`, true},
		{"a change of founds is ignored", validFile[:len(validFile)-1] + `,"verbosity":3,"founds":false}`, true},
		{"a change of first is ignored", validFile[:len(validFile)-1] + `,"verbosity":3,"first":true}`, true},
		{"another seed together with another zone is refused", strings.Replace(validFile, ":1002", ":1003", 1)[:len(validFile)-1] + `,"verbosity":3,"cell":"z"}`, false},
		{"half a file is refused", validFile[:30], false},
		{"a value out of range is refused", validFile[:len(validFile)-1] + `,"verbosity":9}`, false},
	}
	Convey("When the file changes while a daemon runs,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				file := writeFile(t, validFile)
				old, err := Load("store", []string{"--settings", file, "--most", "77"}, nil) // a flag that overrides the file
				So(err, ShouldBeNil)
				So(os.WriteFile(file, []byte(c.text), 0o600), ShouldBeNil)
				next, err := Reload("store", old)
				So(err == nil, ShouldEqual, c.isUsed)
				So(next.Verbosity == 3, ShouldEqual, c.isUsed)
				So(next.Zone, ShouldEqual, "a")
				So(next.MayBootstrap, ShouldBeTrue)
				So(next.IsFirstStart, ShouldBeFalse)
				isOther := strings.Contains(c.text, ":1003")
				So(next.Seeds[0] == "127.0.0.1:1003", ShouldEqual, c.isUsed && isOther)
			})
		}
	})
}

// TestSource checks that a file in another format is read through its source, at the start and at a
// reload, unless a flag names a settings file.
func TestSource(t *testing.T) {
	Convey("Given a file in another format", t, func() {
		file := writeFile(t, "cell=a")
		source := &Source{File: file, Read: func(raw []byte) ([]byte, error) {
			zone, isOne := strings.CutPrefix(string(raw), "cell=")
			if !isOne {
				return nil, errs.New(errs.Invalid, "no cell")
			}
			return []byte(strings.Replace(validFile, `"cell":"a"`, `"cell":"`+zone+`"`, 1)), nil
		}}
		s, err := Load("store", []string{"--verbosity=2"}, source)
		So(err, ShouldBeNil)
		So(s.Zone+s.File, ShouldEqual, "a"+file)
		So(s.Verbosity, ShouldEqual, 2)
		Convey("it is reloaded in the same way", func() {
			So(os.WriteFile(file, []byte("cell=b"), 0o600), ShouldBeNil)
			_, err := Reload("store", s)
			So(errs.Is(err, errs.Rejected), ShouldBeTrue)
			So(os.WriteFile(file, []byte("nothing"), 0o600), ShouldBeNil)
			_, err = Reload("store", s)
			So(err.Error(), ShouldContainSubstring, "no cell")
		})
		Convey("a flag that names a settings file overrides it", func() {
			s, err := Load("store", []string{"--settings", writeFile(t, strings.Replace(validFile, `"a"`, `"c"`, 1))}, source)
			So(err, ShouldBeNil)
			So(s.Zone, ShouldEqual, "c")
		})
	})
}

func TestSparse(t *testing.T) {
	Convey("The settings that differ from the defaults, as JSON, load as the same settings", t, func() {
		s, err := Load("store", []string{"--settings", writeFile(t, validFile)}, nil)
		So(err, ShouldBeNil)
		So(string(s.NonDefaultJson()), ShouldNotContainSubstring, "founds")
		again, err := Load("store", []string{"--settings", writeFile(t, string(s.NonDefaultJson()))}, nil)
		So(err, ShouldBeNil)
		So(string(again.encode()), ShouldEqual, string(s.encode()))
	})
}
