// Package docs holds the documents; its tests hold them to the sources.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	boundName = regexp.MustCompile(`^(max|min|Max|Min|most|least|Most|Least)[A-Z]`)
	boundRow  = regexp.MustCompile("(?m)^\\| `([a-z]+\\.[A-Za-z]+)` \\| `([^`]+)` \\|")
	// Packages of stand-ins, simulations and judges bound nothing that anybody sends to the product.
	isForTests = regexp.MustCompile(`internal/(sim|standin|fleet|check|linearize|explore|verdict)/`)
)

// bounds returns the constants of the product's sources whose names say that they bound something, with their values as written.
func bounds(t *testing.T) map[string]string {
	out := map[string]string{}
	for _, root := range []string{"../internal", "../platform", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") || isForTests.MatchString(path) {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err == nil {
				noteBounds(file, out)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}

func noteBounds(file *ast.File, out map[string]string) {
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isValue := node.(*ast.ValueSpec)
		if !isValue {
			return true
		}
		for i, name := range spec.Names {
			if boundName.MatchString(name.Name) && i < len(spec.Values) && isConstant(spec.Values[i]) {
				out[file.Name.Name+"."+name.Name] = types.ExprString(spec.Values[i])
			}
		}
		return true
	})
}

// isConstant reports whether an expression has no call but a conversion to int64, as a constant's has.
func isConstant(value ast.Expr) bool {
	is := true
	ast.Inspect(value, func(node ast.Node) bool {
		if call, isCall := node.(*ast.CallExpr); isCall {
			name, isName := call.Fun.(*ast.Ident)
			is = is && isName && name.Name == "int64"
		}
		return is
	})
	return is
}

// TestLimits guards against a new bound, or a changed one, of which docs/limits.md says nothing: what lies past it would
// be an accident again.
func TestLimits(t *testing.T) {
	text, err := os.ReadFile("limits.md")
	if err != nil {
		t.Fatal(err)
	}
	written, twice := map[string]string{}, []string{}
	for _, row := range boundRow.FindAllStringSubmatch(string(text), -1) {
		if written[row[1]] != "" {
			twice = append(twice, row[1])
		}
		written[row[1]] = row[2]
	}
	found := bounds(t)
	missing, stale := []string{}, []string{}
	for name, value := range found {
		if written[name] != value {
			missing = append(missing, name+" = "+value)
		}
	}
	for name := range written {
		if found[name] == "" {
			stale = append(stale, name)
		}
	}
	slices.Sort(missing)
	Convey("Each bound in the sources has its row with its value, once, and each row its bound", t, func() {
		So(len(found), ShouldBeGreaterThan, 50)
		So(missing, ShouldBeEmpty)
		So(stale, ShouldBeEmpty)
		So(twice, ShouldBeEmpty)
	})
	Convey("Each test that a row names is there", t, func() {
		for _, name := range regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z]+)`").FindAllStringSubmatch(string(text), -1) {
			So(name[1], ShouldBeIn, testNames(t))
		}
	})
}

// testNames lists the tests of the sources.
func testNames(t *testing.T) []any {
	out, declared := []any{}, regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z]+)\(`)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, name := range declared.FindAllStringSubmatch(string(raw), -1) {
			out = append(out, name[1])
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}
