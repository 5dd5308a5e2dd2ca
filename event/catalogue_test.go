package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/corianderbay/corianderbay/event"
	"github.com/shoenig/test/must"
)

// TestCatalogueEqualsPage checks that docs/EVENTS.md equals the catalogue. To
// regenerate the page, run: CORIANDERBAY_UPDATE_PAGES=1 go test ./event
func TestCatalogueEqualsPage(t *testing.T) {
	const page = "../docs/EVENTS.md"
	want := renderPage()
	if os.Getenv("CORIANDERBAY_UPDATE_PAGES") != "" {
		must.NoError(t, os.WriteFile(page, []byte(want), 0o644))
	}
	got, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, want, string(got))
}

func TestCatalogueOrderedAndUnique(t *testing.T) {
	names := make(map[string]event.Number)
	last := event.Number(0)
	for _, e := range event.Catalogue() {
		must.Greater(t, last, e.Number)
		last = e.Number
		must.MapNotContainsKey(t, names, e.Name)
		names[e.Name] = e.Number
		must.NotEq(t, "", e.Meaning)
		must.NotEq(t, "", e.Action)
	}
}

func renderPage() string {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Every process logs one JSON object per line. The field `event` holds the number, `msg` the name.\n")
	b.WriteString("Source: the package `event`; a test keeps this page equal to it.\n\n")
	b.WriteString("| number | name | level | meaning | what the operator does |\n|---|---|---|---|---|\n")
	for _, e := range event.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
	}
	return b.String()
}
