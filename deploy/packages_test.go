// Package deploy holds the deploy file and what checks it.
package deploy

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	. "github.com/smartystreets/goconvey/convey"
)

// deployFile is what these tests read of system.toml.
type deployFile struct {
	Build    string   `toml:"build"`
	Packages []string `toml:"packages"`
}

// rootStore is a file of the package from which Go's certificate pool on Debian,
// /etc/ssl/certs/ca-certificates.crt, is made. No package owns the pool itself.
const rootStore = "/usr/sbin/update-ca-certificates"

// compilerPrograms are what the C compiler runs for the build.
var compilerPrograms = []string{"cc1", "as", "collect2", "ld"}

func readDeployFile() deployFile {
	file := deployFile{}
	_, err := toml.DecodeFile("system.toml", &file)
	So(err, ShouldBeNil)
	return file
}

// run returns what a command prints; env is added to this process's.
func run(ctx context.Context, env []string, name string, args ...string) string {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir, cmd.Env = "..", append(os.Environ(), env...)
	out, err := cmd.CombinedOutput()
	So(fmt.Sprint(err, " ", string(out)), ShouldStartWith, "<nil> ")
	return string(out)
}

// targets returns the Go packages that a build command names.
func targets(build string) []string {
	words := strings.Fields(build)
	So(words[:2], ShouldResemble, []string{"go", "build"}) // no shell, no other program
	So(build, ShouldContainSubstring, "-linkmode=external")
	So(build, ShouldContainSubstring, "-buildvcs=false") // else git is asked, where there is one
	return slices.DeleteFunc(words[2:], func(word string) bool { return !strings.HasPrefix(word, "./cmd/") })
}

// compiledFrom returns the headers that the C compiler opens as it compiles the packages that use it.
func compiledFrom(ctx context.Context, dir string, packages []string) []string {
	listed := run(ctx, nil, "go", append([]string{"list", "-deps", "-f",
		"{{if or .CgoFiles .CFiles .CXXFiles .CgoPkgConfig}}{{.ImportPath}} {{len .CXXFiles}} {{len .CgoPkgConfig}}{{end}}"}, packages...)...)
	using := []string{}
	for line := range strings.Lines(listed) {
		words := strings.Fields(line)
		So(words[1:], ShouldResemble, []string{"0", "0"}) // a C++ compiler or pkg-config would be needed besides
		using = append(using, words[0])
	}
	opened := filepath.Join(dir, "opened")
	run(ctx, []string{"GOCACHE=" + filepath.Join(dir, "cache"), "SUNPRO_DEPENDENCIES=" + opened}, "go", append([]string{"build"}, using...)...)
	text, err := os.ReadFile(opened)
	So(err, ShouldBeNil)
	return systemFiles(strings.ReplaceAll(string(text), "\\\n", " "))
}

// linkedFrom returns the files that the linker opens.
func linkedFrom(ctx context.Context, dir string, packages []string) []string {
	args := append([]string{"build", "-o", dir, "-ldflags=-linkmode=external -v -extldflags=-Wl,--trace"}, packages...)
	return systemFiles(run(ctx, nil, "go", args...))
}

// systemFiles returns the files of a text that lie where packages put theirs.
func systemFiles(text string) []string {
	goRoot := filepath.Clean(strings.TrimSpace(run(context.Background(), nil, "go", "env", "GOROOT"))) + "/"
	files := map[string]bool{}
	for _, word := range strings.Fields(text) {
		word = filepath.Clean(strings.Trim(word, "()"))
		isSystem := strings.HasPrefix(word, "/usr/") || strings.HasPrefix(word, "/lib")
		if info, err := os.Stat(word); isSystem && err == nil && !info.IsDir() && !strings.HasPrefix(word, goRoot) {
			files[word] = true
		}
	}
	return slices.Sorted(keysOf(files))
}

// programs returns the C compiler and what it runs.
func programs(ctx context.Context) []string {
	compiler, err := exec.LookPath(strings.TrimSpace(run(ctx, nil, "go", "env", "CC")))
	So(err, ShouldBeNil)
	files := []string{compiler}
	for _, name := range compilerPrograms {
		path := strings.TrimSpace(run(ctx, nil, compiler, "-print-prog-name="+name))
		path, err := exec.LookPath(path)
		So(err, ShouldBeNil)
		files = append(files, filepath.Clean(path))
	}
	return files
}

// TestPackages: the users' machines have Go and what is listed, and nothing else.
func TestPackages(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	Convey("The packages of the deploy file", t, func() {
		file, system, dir := readDeployFile(), readInstalled(), t.TempDir()
		packages := targets(file.Build)
		needed := append(programs(ctx), rootStore)
		needed = append(needed, compiledFrom(ctx, dir, packages)...)
		needed = append(needed, linkedFrom(ctx, dir+"/", packages)...)
		So(len(needed), ShouldBeGreaterThan, 100) // headers and start files were seen
		So(needed, ShouldContain, "/usr/include/pthread.h")
		Convey("are a clean name each, once", func() {
			So(slices.Compact(slices.Sorted(slices.Values(file.Packages))), ShouldHaveLength, len(file.Packages))
			for _, name := range file.Packages {
				So(system.byName, ShouldContainKey, name)
			}
		})
		Convey("bring all that the build opens and runs", func() {
			So(system.missing(needed, file.Packages), ShouldBeEmpty)
		})
		Convey("are each needed", func() {
			for i, name := range file.Packages {
				others := slices.Delete(slices.Clone(file.Packages), i, i+1)
				So(fmt.Sprint(name, " ", len(system.missing(needed, others)) > 0), ShouldEqual, name+" true")
			}
		})
	})
}

// TestModulesNeedCertificates: a machine without certificates fetches no module.
func TestModulesNeedCertificates(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	Convey("Given modules to fetch over an encrypted connection", t, func() {
		asked := false
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			asked = true
			http.NotFound(w, nil)
		}))
		defer server.Close()
		fetch := func(roots string) string {
			cmd := exec.CommandContext(ctx, "go", "mod", "download", "example.com/any@v1.0.0")
			cmd.Dir = ".."
			cmd.Env = append(os.Environ(), "GOPROXY="+server.URL, "GONOSUMDB=*", "GOMODCACHE="+t.TempDir(), "GOFLAGS=-modcacherw",
				"SSL_CERT_FILE="+roots, "SSL_CERT_DIR="+t.TempDir())
			out, err := cmd.CombinedOutput()
			So(err, ShouldNotBeNil)
			return string(out)
		}
		Convey("without certificates the server is not trusted, and not asked", func() {
			So(fetch("/dev/null"), ShouldContainSubstring, "x509: ")
			So(asked, ShouldBeFalse)
		})
		Convey("with its certificate it is asked", func() {
			roots := filepath.Join(t.TempDir(), "roots.pem")
			So(os.WriteFile(roots, pemOf(server.Certificate()), 0o600), ShouldBeNil)
			So(fetch(roots), ShouldNotContainSubstring, "x509: ")
			So(asked, ShouldBeTrue)
		})
	})
}
