package setting_test

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/corianderbay/corianderbay/bundle"
	"github.com/corianderbay/corianderbay/ctl"
	"github.com/corianderbay/corianderbay/daemon"
	"github.com/corianderbay/corianderbay/setting"
	"github.com/shoenig/test/must"
)

// TestConfigurationEqualsPage checks that docs/CONFIGURATION.md matches the
// declarations. To regenerate the page, run:
// CORIANDERBAY_UPDATE_PAGES=1 go test ./setting
func TestConfigurationEqualsPage(t *testing.T) {
	const page = "../docs/CONFIGURATION.md"
	want := renderPage()
	if os.Getenv("CORIANDERBAY_UPDATE_PAGES") != "" {
		must.NoError(t, os.WriteFile(page, []byte(want), 0o644))
	}
	got, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, want, string(got))
}

func renderPage() string {
	var b strings.Builder
	b.WriteString("# Configuration\n\n")
	b.WriteString("Each setting is a flag and an environment variable. The flag takes precedence over the variable, and the\n")
	b.WriteString("variable over the default. A command checks all settings when it starts, reports every fault and exits with 2.\n")
	b.WriteString("Source: the declarations in the code; a test keeps this page equal to them.\n\n")
	writePrograms(&b, "corianderbay", daemon.Settings())
	writePrograms(&b, "corianderctl", ctl.Settings())
	b.WriteString("## The bundle\n\n")
	b.WriteString("Fields of the YAML that operators write; `[]` stands for each entry of a list.\n\n")
	b.WriteString("| field | holds | default | unit | range | meaning |\n|---|---|---|---|---|---|\n")
	for _, f := range bundle.Fields() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", f.Path, f.Kind, f.Default, f.Unit, f.Range(), f.Help)
	}
	return b.String()
}

func writePrograms(b *strings.Builder, program string, all map[string][]setting.Declaration) {
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if len(all[name]) == 0 {
			continue
		}
		fmt.Fprintf(b, "## %s %s\n\n", program, name)
		b.WriteString("| flag | variable | holds | default | unit | range | meaning |\n|---|---|---|---|---|---|---|\n")
		for _, d := range all[name] {
			fmt.Fprintf(b, "| `--%s` | `%s` | %s | %s | %s | %s | %s |\n",
				d.Name, d.Variable(), d.Kind, defaultOf(d), d.Unit, d.Range, d.Help)
		}
		b.WriteString("\n")
	}
}

func defaultOf(d setting.Declaration) string {
	if d.Required && d.Default == "" {
		return "must be set"
	}
	return cmp.Or(d.Default, "none")
}
