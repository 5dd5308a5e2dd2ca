package corianderbay_test

import (
	"context"
	"io/fs"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/corianderbay/corianderbay/event"
)

const (
	// sessionTimeout limits the commands of one page, including the build of the programs.
	sessionTimeout = 2 * time.Minute
	// stopTimeout limits the wait for processes that are still running after a session.
	stopTimeout = 5 * time.Second
)

// runMark is the info string of fenced blocks that the tests run unchanged.
const runMark = "sh run"

// pagesOf returns the Markdown pages of the module.
func pagesOf(t *testing.T) []string {
	t.Helper()
	var pages []string
	err := filepath.WalkDir(".", func(p string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && p != "." && strings.HasPrefix(d.Name(), ".") {
			return fs.SkipDir
		}
		if filepath.Ext(p) == ".md" {
			pages = append(pages, p)
		}
		return nil
	})
	must.NoError(t, err)
	must.SliceNotEmpty(t, pages)
	return pages
}

// page is a Markdown file, split into text and fenced blocks.
type page struct {
	text   string   // without fenced blocks
	blocks []string // the blocks with info string runMark, in order
}

func readPage(t *testing.T, name string) page {
	t.Helper()
	raw, err := os.ReadFile(name)
	must.NoError(t, err)
	var p page
	var text, block strings.Builder
	inside, marked := false, false
	for line := range strings.Lines(string(raw)) {
		info, fence := strings.CutPrefix(line, "```")
		switch {
		case fence && inside && marked:
			p.blocks = append(p.blocks, block.String())
			block.Reset()
			inside = false
		case fence:
			inside = !inside
			marked = inside && strings.TrimSpace(info) == runMark
		case inside && marked:
			block.WriteString(line)
		case !inside:
			text.WriteString(line)
		}
	}
	must.False(t, inside, must.Sprintf("%s: unterminated fenced block", name))
	p.text = text.String()
	return p
}

// TestLinksResolve checks that each relative link of each page refers to an
// existing file, and each anchor to a heading of that file.
func TestLinksResolve(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)\s]+)\)`)
	for _, name := range pagesOf(t) {
		t.Run(name, func(t *testing.T) {
			for _, m := range link.FindAllStringSubmatch(readPage(t, name).text, -1) {
				checkLink(t, name, m[1])
			}
		})
	}
}

func checkLink(t *testing.T, from, target string) {
	t.Helper()
	if strings.Contains(target, "://") {
		return
	}
	file, anchor, _ := strings.Cut(target, "#")
	to := from
	if file != "" {
		to = filepath.Join(filepath.Dir(from), file)
	}
	if _, err := os.Stat(to); err != nil {
		t.Errorf("%s: target of link %s does not exist", from, target)
		return
	}
	if anchor != "" && !anchorsOf(t, to)[anchor] {
		t.Errorf("%s: anchor of link %s does not exist", from, target)
	}
}

// anchorsOf returns the anchors of a page's headings: the heading in lower case
// with hyphens for spaces and only letters, digits, hyphens and underscores.
func anchorsOf(t *testing.T, name string) map[string]bool {
	t.Helper()
	heading := regexp.MustCompile(`(?m)^#+ +(.*)$`)
	dropped := regexp.MustCompile(`[^\p{L}\p{N}_\- ]`)
	anchors := make(map[string]bool)
	for _, m := range heading.FindAllStringSubmatch(readPage(t, name).text, -1) {
		a := dropped.ReplaceAllString(strings.ToLower(m[1]), "")
		anchors[strings.ReplaceAll(strings.TrimSpace(a), " ", "-")] = true
	}
	return anchors
}

// TestEventsOnPagesExist checks that each event number on a page, as in
// "bundle-accepted (4001)" or "(4002)", is in the catalogue and belongs to the
// event named before it.
func TestEventsOnPagesExist(t *testing.T) {
	names := make(map[int]string)
	for _, e := range event.Catalogue() {
		names[int(e.Number)] = e.Name
	}
	mention := regexp.MustCompile(`([a-z]+(?:-[a-z]+)*)? ?\(([1-9]\d{3})\)`)
	logged := regexp.MustCompile(`"event":(\d+)`)
	for _, file := range pagesOf(t) {
		raw, err := os.ReadFile(file)
		must.NoError(t, err)
		for _, m := range mention.FindAllStringSubmatch(string(raw), -1) {
			n, _ := strconv.Atoi(m[2])
			must.MapContainsKey(t, names, n, must.Sprintf("%s: %q", file, m[0]))
			if strings.Contains(m[1], "-") {
				must.Eq(t, names[n], m[1], must.Sprintf("%s: %q", file, m[0]))
			}
		}
		for _, m := range logged.FindAllStringSubmatch(string(raw), -1) {
			n, _ := strconv.Atoi(m[1])
			must.MapContainsKey(t, names, n, must.Sprintf("%s: %q", file, m[0]))
		}
	}
}

// TestCommandsRun runs the marked blocks of each page as one bash session, in the
// root of the module and with free ports.
func TestCommandsRun(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, name := range pagesOf(t) {
		blocks := readPage(t, name).blocks
		if len(blocks) == 0 {
			continue
		}
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithTimeout(t.Context(), sessionTimeout)
			defer stop()
			cmd := exec.CommandContext(ctx, "bash", "-eu", "-o", "pipefail", "-c", strings.Join(blocks, "\n"))
			cmd.Env = append(os.Environ(), "port="+strconv.Itoa(freePorts(t)), "TMPDIR="+t.TempDir())
			cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
			cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGTERM) }
			cmd.WaitDelay = stopTimeout
			out, err := cmd.CombinedOutput()
			must.NoError(t, err, must.Sprintf("%s", out))
			t.Logf("%s", out)
		})
	}
}

const (
	// portsNeeded is the number of consecutive ports that a session uses.
	portsNeeded = 6
	// The range is below the ephemeral ports that the system assigns to outgoing connections.
	firstPort, lastPort = 10_000, 19_990
)

// freePorts returns the first of portsNeeded consecutive free ports.
func freePorts(t *testing.T) int {
	t.Helper()
	const attempts = 100
	for range attempts {
		first := firstPort + rand.IntN(lastPort-firstPort)
		if allFree(first) {
			return first
		}
	}
	t.Fatal("no consecutive free ports found")
	return 0
}

// allFree reports whether portsNeeded consecutive ports from first on are free.
func allFree(first int) bool {
	for i := range portsNeeded {
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(first+i)))
		if err != nil {
			return false
		}
		defer l.Close()
	}
	return true
}

// TestExamplesHavePages checks that each example has a page that is linked from
// examples/README.md, and that the pages of Go programs run them.
func TestExamplesHavePages(t *testing.T) {
	index, err := os.ReadFile("examples/README.md")
	must.NoError(t, err)
	entries, err := os.ReadDir("examples")
	must.NoError(t, err)
	for _, entry := range entries {
		if !entry.IsDir() {
			continue
		}
		folder := filepath.Join("examples", entry.Name())
		p := readPage(t, filepath.Join(folder, "README.md"))
		must.StrContains(t, string(index), "("+entry.Name()+"/README.md)")
		if goFiles(t, folder) != nil {
			must.StrContains(t, strings.Join(p.blocks, ""), "go run ./"+folder)
		}
	}
}
