package corianderbay_test

import (
	"fmt"
	"go/doc"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const module = "github.com/corianderbay/corianderbay"

const importsHeading = "## What imports what"

// TestImportsFollowThePage checks that the table in docs/ARCHITECTURE.md lists
// the packages of the module with their synopses and their imports, without
// tests. To regenerate the table, run:
// CORIANDERBAY_UPDATE_PAGES=1 go test -run TestImportsFollowThePage .
func TestImportsFollowThePage(t *testing.T) {
	const name = "docs/ARCHITECTURE.md"
	page, err := os.ReadFile(name)
	must.NoError(t, err)
	head, _, ok := strings.Cut(string(page), importsHeading)
	must.True(t, ok)
	want := head + importsHeading + "\n\n" + importsTable(t)
	if os.Getenv("CORIANDERBAY_UPDATE_PAGES") != "" {
		must.NoError(t, os.WriteFile(name, []byte(want), 0o644))
		return
	}
	must.Eq(t, want, string(page))
}

// importsTable renders the table of packages and their imports.
func importsTable(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	b.WriteString("A test holds this table equal to the code; a new row or import is seen in review.\n\n")
	b.WriteString("| package | what it is | imports from the module |\n|---|---|---|\n")
	imports := importsInCode(t)
	for _, pkg := range slices.Sorted(maps.Keys(imports)) {
		var quoted []string
		for _, imported := range imports[pkg] {
			quoted = append(quoted, "`"+imported+"`")
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", pkg, synopsisOf(t, pkg), strings.Join(quoted, ", "))
	}
	return b.String()
}

// synopsisOf returns the first sentence of the package comment.
func synopsisOf(t *testing.T, dir string) string {
	t.Helper()
	for _, name := range goFiles(t, dir) {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments|parser.PackageClauseOnly)
		must.NoError(t, err)
		if f.Doc != nil {
			return new(doc.Package).Synopsis(f.Doc.Text())
		}
	}
	t.Fatalf("package %s has no comment", dir)
	return ""
}

// TestDecisionPackagesImportNoIO checks that the packages that make decisions import no packages
// for I/O, system calls or randomness, so that they stay deterministic.
func TestDecisionPackagesImportNoIO(t *testing.T) {
	forbidden := []string{"net", "net/http", "os", "math/rand", "math/rand/v2", "crypto/rand", "syscall"}
	for _, dir := range []string{"flow", "route", "bundle", "load", "limit", "admit", "steer", "registry", "membership", "pace", "rotation", "lint"} {
		for _, imported := range importsOf(t, dir) {
			must.SliceNotContains(t, forbidden, imported, must.Sprintf("package %s", dir))
		}
	}
}

// TestPlatformNamesStayInAdapter checks that only package platform, the adapter
// to the users' platform, contains names of that platform, and that no package
// but daemon imports the adapter.
func TestPlatformNamesStayInAdapter(t *testing.T) {
	names := []string{"datagram_addr", "op/config", "kv-range", "kv-watch", "BOUNCED", "forwarding_mode", "internal_ports", "warmup_left_ms", "max_conns", "Corianderbay-"}
	for dir, imports := range importsInCode(t) {
		if dir == "platform" || strings.HasPrefix(dir, "platform/") {
			continue
		}
		if dir != "daemon" {
			must.SliceNotContains(t, imports, "platform", must.Sprintf("package %s", dir))
			must.SliceNotContains(t, imports, "platform/standin", must.Sprintf("package %s", dir))
		}
		for _, name := range goFiles(t, dir) {
			code, err := os.ReadFile(name)
			must.NoError(t, err)
			for _, word := range names {
				must.StrNotContains(t, string(code), word, must.Sprint(name))
			}
		}
	}
}

// importsInCode returns the imports from the module by package, without tests.
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

// TestNoDeploymentNamesInCode checks that the code contains no names of users'
// deployments or of recorded days. The code must depend only on what it observes.
func TestNoDeploymentNamesInCode(t *testing.T) {
	names := regexp.MustCompile(`langkah|jateng|rg-central|cr-central|sprm|gt-centro|\b(quiet|trouble|scale)-[0-9]|fleetbench`)
	for pkg := range importsInCode(t) {
		for _, name := range goFiles(t, pkg) {
			raw, err := os.ReadFile(name)
			must.NoError(t, err)
			must.Eq(t, "", names.FindString(string(raw)), must.Sprint(name))
		}
	}
}

// importsOf returns the imports of the files of a directory, without tests.
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
