package corianderbay_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const module = "github.com/corianderbay/corianderbay"

// TestImportsFollowThePage holds the table in docs/ARCHITECTURE.md equal to
// the imports between the packages of the module, tests left out.
func TestImportsFollowThePage(t *testing.T) {
	want := importsOnPage(t)
	got := importsInCode(t)
	for _, pkg := range slices.Sorted(keysOf(got)) {
		must.MapContainsKey(t, want, pkg, must.Sprintf("docs/ARCHITECTURE.md lacks package %s", pkg))
		for _, imported := range got[pkg] {
			must.SliceContains(t, want[pkg], imported,
				must.Sprintf("docs/ARCHITECTURE.md does not let %s import %s", pkg, imported))
		}
	}
	for pkg := range want {
		must.MapContainsKey(t, got, pkg, must.Sprintf("docs/ARCHITECTURE.md names %s, which does not exist", pkg))
	}
}

// TestDecisionsImportNoEdges checks that packages that decide reach neither sockets nor the clock.
func TestDecisionsImportNoEdges(t *testing.T) {
	barred := []string{"net", "net/http", "os", "math/rand", "math/rand/v2", "crypto/rand", "syscall"}
	for _, dir := range []string{"flow", "route", "bundle"} {
		for _, imported := range importsOf(t, dir) {
			must.SliceNotContains(t, barred, imported, must.Sprintf("package %s", dir))
		}
	}
}

// importsOnPage reads rows of the form "| `pkg` | what it is | `a`, `b` |".
func importsOnPage(t *testing.T) map[string][]string {
	t.Helper()
	page, err := os.ReadFile("docs/ARCHITECTURE.md")
	must.NoError(t, err)
	_, table, ok := strings.Cut(string(page), "## What imports what")
	must.True(t, ok)
	rows := make(map[string][]string)
	for line := range strings.Lines(table) {
		cells := strings.Split(line, "|")
		if len(cells) != 5 || !strings.HasPrefix(strings.TrimSpace(cells[1]), "`") {
			continue
		}
		var imports []string
		for field := range strings.SplitSeq(cells[3], ",") {
			imports = append(imports, strings.Trim(strings.TrimSpace(field), "`"))
		}
		rows[strings.Trim(strings.TrimSpace(cells[1]), "`")] = imports
	}
	return rows
}

// importsInCode returns the packages of the module that each one imports.
func importsInCode(t *testing.T) map[string][]string {
	t.Helper()
	all := make(map[string][]string)
	err := filepath.WalkDir(".", func(p string, d fs.DirEntry, err error) error {
		if err != nil || !d.IsDir() || p == "." {
			return err
		}
		if strings.HasPrefix(d.Name(), ".") || d.Name() == "testdata" {
			return fs.SkipDir
		}
		if goFiles(t, p) == nil {
			return nil
		}
		all[p] = nil
		for _, imported := range importsOf(t, p) {
			if local, ok := strings.CutPrefix(imported, module+"/"); ok {
				all[p] = append(all[p], local)
			}
		}
		return nil
	})
	must.NoError(t, err)
	return all
}

// importsOf returns what the files of a directory import, tests left out.
func importsOf(t *testing.T, dir string) []string {
	t.Helper()
	var imports []string
	for _, name := range goFiles(t, dir) {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		must.NoError(t, err)
		for _, spec := range f.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			must.NoError(t, err)
			imports = append(imports, imported)
		}
	}
	slices.Sort(imports)
	return slices.Compact(imports)
}

func goFiles(t *testing.T, dir string) []string {
	t.Helper()
	names, err := filepath.Glob(path.Join(dir, "*.go"))
	must.NoError(t, err)
	return slices.DeleteFunc(names, func(n string) bool { return strings.HasSuffix(n, "_test.go") })
}

func keysOf(m map[string][]string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}
