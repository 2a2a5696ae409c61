package deploy

import (
	"crypto/x509"
	"encoding/pem"
	"iter"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Where Debian keeps what is installed.
const (
	statusFile = "/var/lib/dpkg/status"
	fileLists  = "/var/lib/dpkg/info/*.list"
)

// installedPackage is what Debian says of a package that is installed.
type installedPackage struct {
	isEssential bool
	depends     [][]string // each by alternatives
}

// installed is what Debian says of this machine.
type installed struct {
	byName map[string]installedPackage
	owners map[string][]string // packages by file, as fileKey has it
}

func readInstalled() installed {
	status, err := os.ReadFile(statusFile)
	So(err, ShouldBeNil) // these tests need a Debian machine
	system := installed{byName: readStatus(string(status)), owners: map[string][]string{}}
	lists, err := filepath.Glob(fileLists)
	So(err, ShouldBeNil)
	for _, list := range lists {
		name, _, _ := strings.Cut(strings.TrimSuffix(filepath.Base(list), ".list"), ":")
		text, err := os.ReadFile(list)
		So(err, ShouldBeNil)
		for file := range strings.Lines(string(text)) {
			key := fileKey(strings.TrimSpace(file))
			system.owners[key] = append(system.owners[key], name)
		}
	}
	return system
}

// readStatus reads Debian's list of packages. A package that another provides is that one.
func readStatus(status string) map[string]installedPackage {
	out := map[string]installedPackage{}
	for _, entry := range strings.Split(status, "\n\n") {
		fields := map[string]string{}
		for line := range strings.Lines(entry) {
			if key, value, isField := strings.Cut(line, ": "); isField && !strings.HasPrefix(line, " ") {
				fields[key] = strings.TrimSpace(value)
			}
		}
		if fields["Status"] != "install ok installed" {
			continue
		}
		p := installedPackage{isEssential: fields["Essential"] == "yes"}
		for _, group := range append(strings.Split(fields["Depends"], ","), strings.Split(fields["Pre-Depends"], ",")...) {
			if alternatives := namesOf(strings.Split(group, "|")); len(alternatives) > 0 {
				p.depends = append(p.depends, alternatives)
			}
		}
		out[fields["Package"]] = p
		for _, other := range namesOf(strings.Split(fields["Provides"], ",")) {
			if _, isKnown := out[other]; !isKnown {
				out[other] = installedPackage{depends: [][]string{{fields["Package"]}}}
			}
		}
	}
	return out
}

// namesOf returns names of packages without versions and architectures.
func namesOf(texts []string) []string {
	out := []string{}
	for _, text := range texts {
		name, _, _ := strings.Cut(strings.TrimSpace(text), " ")
		if name, _, _ = strings.Cut(name, ":"); name != "" {
			out = append(out, name)
		}
	}
	return out
}

// fileKey makes one of the names that a file has where /lib and /bin are links into /usr.
func fileKey(file string) string { return strings.TrimPrefix(file, "/usr") }

// with returns the packages that a machine has which was given these, with all that they depend on.
func (s installed) with(names []string) map[string]bool {
	out := map[string]bool{}
	var add func(name string)
	add = func(name string) {
		if out[name] {
			return
		}
		out[name] = true
		for _, alternatives := range s.byName[name].depends {
			for _, one := range alternatives {
				if _, isThere := s.byName[one]; isThere {
					add(one)
					break
				}
			}
		}
	}
	for name, p := range s.byName {
		if p.isEssential {
			add(name)
		}
	}
	for _, name := range names {
		add(name)
	}
	return out
}

// missing returns the files that no package of a machine has which was given these.
func (s installed) missing(files, names []string) []string {
	has := s.with(names)
	return slices.DeleteFunc(slices.Clone(files), func(file string) bool {
		target, err := filepath.EvalSymlinks(file)
		So(err, ShouldBeNil)
		isBrought := func(file string) bool {
			return slices.ContainsFunc(s.owners[fileKey(file)], func(owner string) bool { return has[owner] })
		}
		return isBrought(file) && isBrought(target)
	})
}

func keysOf(files map[string]bool) iter.Seq[string] { return maps.Keys(files) }

func pemOf(certificate *x509.Certificate) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate.Raw})
}

// TestMissing is the table of what a list of packages brings.
func TestMissing(t *testing.T) {
	status := `Package: base
Status: install ok installed
Essential: yes
Pre-Depends: libc (>= 2), other | libz:any

Package: libc
Status: install ok installed

Package: compiler
Status: install ok installed
Depends: compiler-12 (= 1), virtual

Package: compiler-12
Status: install ok installed
Recommends: headers

Package: real
Status: install ok installed
Provides: virtual (= 3)

Package: headers
Status: deinstall ok config-files

Package: libz
Status: install ok installed
`
	dir := t.TempDir()
	Convey("A list of packages brings", t, func() {
		file := func(name string) string {
			path := filepath.Join(dir, name)
			So(os.WriteFile(path, nil, 0o600), ShouldBeNil)
			return path
		}
		libc, cc, real, alone := file("libc"), file("cc"), file("real"), file("alone")
		s := installed{byName: readStatus(status), owners: map[string][]string{fileKey(libc): {"libc"}, fileKey(cc): {"compiler-12"}, fileKey(real): {"real"}}}
		cases := []struct {
			name    string
			listed  []string
			missing []string
		}{
			{"nothing: only what every machine has", nil, []string{cc, real, alone}},
			{"what it depends on, and who provides that", []string{"compiler"}, []string{alone}},
			{"a package that is not installed", []string{"headers", "nobody"}, []string{cc, real, alone}},
		}
		for _, c := range cases {
			Convey(c.name, func() { So(s.missing([]string{libc, cc, real, alone}, c.listed), ShouldResemble, c.missing) })
		}
		So(s.byName, ShouldNotContainKey, "headers")
	})
}
