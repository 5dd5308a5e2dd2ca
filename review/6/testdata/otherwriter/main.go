// Command otherwriter plays clients and backends around a small deployment, lets a backend
// drain while an entry of another writer names its address, and checks the rule DRAIN.
package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/corianderbay/corianderbay/review/6/testdata/lab"
)

const (
	service = "taller-link"
	drain   = 3 * time.Second
	rate    = 200 // requests per second
)

var route = netip.MustParseAddrPort("198.18.0.1:8443")

func main() {
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for the record")
	entry := flag.String("entry", "names", "entry of the other writer: none, names or bytes")
	flag.Parse()
	broken, err := run(*root, *record, *entry)
	if err != nil {
		lab.Fail(err)
	}
	if broken {
		os.Exit(lab.Broken)
	}
}

func run(root, record, entry string) (broken bool, err error) {
	l, err := lab.New(root, record, lab.Config{
		Zones: []string{"sanjose", "heredia"}, Balancers: 2, Backends: []string{service, service, service, service},
		HeartbeatMillis: 770, Bounds: lab.SmallBounds(), Work: 50 * time.Millisecond, Slots: 4, WarmupSeconds: 2,
	})
	if err != nil {
		return false, err
	}
	defer l.Close()
	l.PutConfig(1, service, 0, lab.Route{Address: route, Service: service, Unsafe: true})
	ctx, stop := lab.Context()
	defer stop()
	go l.Router.Run(ctx)
	if err := l.StartAll(20 * time.Second); err != nil {
		return false, err
	}
	client, err := l.NewClient("sanjose")
	if err != nil {
		return false, err
	}
	defer client.Close()
	time.Sleep(5 * time.Second) // all machines are in touch
	var wg sync.WaitGroup
	var unanswered []string
	wg.Add(1)
	go func() {
		defer wg.Done()
		unanswered = l.FreshLoad(client, route, rate, 14*time.Second)
	}()
	time.Sleep(2 * time.Second)
	b := l.Backends[0]
	writeOther(l, b, entry)
	time.Sleep(2 * time.Second)
	b.Drain()
	time.Sleep(8 * time.Second)
	b.Crash() // it leaves
	wg.Wait()
	recordLost(l, b, unanswered)
	return judge(l, client, b), nil
}

// recordLost records the requests that the backend began and did not answer before its exit.
func recordLost(l *lab.Lab, b *lab.Backend, unanswered []string) {
	runs, lost := b.Runs(), 0
	for _, id := range unanswered {
		if runs[id] > 0 {
			lost++
			l.Record("request %s was begun by %s and never answered", id, b.ID)
		}
	}
	fmt.Printf("%d requests that must not be repeated were begun by the backend and never answered\n", lost)
}

// writeOther writes an entry that names no backend to use: its bytes cannot be read, or the
// fields that the page names are missing. Otherwise it is a copy of the backend's entry.
func writeOther(l *lab.Lab, b *lab.Backend, entry string) {
	address := b.Host.AddrPort(b.Host.Ports.Upstream).String()
	format := ""
	switch entry {
	case "names":
		format = `{"SERVICE":%q,"ADDRESS":%q,"ZONE":%q,"VERSION":"v1","SLOTS":2,"STATE":"ready","WARMUP_LEFT_MS":0,"SEQ":1,"BORN":%d}`
	case "bytes":
		format = `{"service":%q,"address":%q,"zone":%q,"version":"v1` + "\xe9" + `","slots":2,"state":"ready","warmup_left_ms":0,"seq":1,"born":%d}`
	default:
		return
	}
	value := fmt.Sprintf(format, service, address, b.Host.DataCentre, b.Born().UnixMilli())
	l.Store.Put("servers/inventory-1", []byte(value))
	l.Record("another writer wrote servers/inventory-1: %q", value)
}

func judge(l *lab.Lab, c *lab.Client, b *lab.Backend) (broken bool) {
	acknowledged := b.DrainedAt()
	late, last := 0, time.Duration(0)
	for _, o := range b.Openings() {
		sent, _ := c.SentAt(o.Key)
		l.Record("backend %s took a flow at %.3f, sent at %.3f, %.3f s after the store accepted draining", b.ID, o.At.Seconds(), sent.Seconds(), (o.At - acknowledged).Seconds())
		if o.At > acknowledged+drain {
			late++
		}
		last = o.At
	}
	l.Record("draining accepted at %.3f; %d flows reached the backend later than drain_ms, the last %.3f s after it", acknowledged.Seconds(), late, (last - acknowledged).Seconds())
	if late > 0 {
		fmt.Printf("DRAIN: %d flows reached the draining backend later than drain_ms, the last %.3f s after the store accepted draining\n", late, (last - acknowledged).Seconds())
	}
	return late > 0
}
