package scale

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"caperwheel/internal/errs"
)

// Pack is a process full of hollow daemons.
type Pack struct {
	Http    string   `json:"http"` // where it tells of itself
	Seeds   []string `json:"seeds"`
	Daemons int      `json:"daemons"` // half of them agents, half adapters
	Places  int      `json:"places"`
	Parts   int      `json:"parts"`
}

// pack runs it.
type pack struct {
	Pack
	ledger *ledger
	mu     sync.Mutex
	fronts []*front
}

// Held is what a pack's daemons hold together, and how many are fresh.
type Held struct {
	Fresh   int `json:"fresh"` // adapters whose view is fresh
	Keys    int `json:"keys"`
	Bytes   int `json:"bytes"`
	Members int `json:"members"`
}

// RunPack reads a pack's file and runs it until the process is ended.
func RunPack(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "pack")
	}
	p := &pack{ledger: newLedger()}
	if err := json.Unmarshal(raw, &p.Pack); err != nil {
		return errs.Wrap(err, errs.Invalid, "pack")
	}
	if err := p.check(); err != nil {
		return err
	}
	p.fronts = make([]*front, p.Daemons/2)
	group := pond.NewPool(16).NewGroup()
	for i := range p.fronts {
		group.SubmitErr(func() error { return p.start(i) })
	}
	if err := group.Wait(); err != nil {
		return errs.Wrap(err, errs.Internal, "hollow daemons")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.Handler())
	mux.HandleFunc("GET /held", func(w http.ResponseWriter, _ *http.Request) { tell(w, p.held()) })
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { tell(w, p.ledger.all()) })
	mux.HandleFunc("POST /begin", func(http.ResponseWriter, *http.Request) { p.ledger.begin() })
	mux.HandleFunc("POST /restart/{front}", func(w http.ResponseWriter, r *http.Request) {
		number, err := strconv.Atoi(r.PathValue("front"))
		if err == nil && number >= 0 && len(p.fronts) > 0 {
			err = p.start(number % len(p.fronts))
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	return errs.Wrap(http.ListenAndServe(p.Http, mux), errs.Internal, "serve HTTP")
}

func tell(w http.ResponseWriter, what any) {
	raw, err := json.Marshal(what)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fmt.Fprintln(w, string(raw))
}

// start begins a front's next life, and ends the one before. A port that
// another program took meanwhile is given up for another.
func (p *pack) start(number int) error {
	p.mu.Lock()
	was := p.fronts[number]
	p.mu.Unlock()
	if was != nil {
		was.stop()
	}
	var err error
	for range 5 {
		var next *front
		if next, err = startFront(number, p.Pack, p.ledger); err == nil {
			p.mu.Lock()
			p.fronts[number] = next
			p.mu.Unlock()
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return err
}

func (p *pack) held() Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := Held{}
	for _, f := range p.fronts {
		if f == nil {
			continue
		}
		if f.isLive.Load() {
			out.Fresh++
		}
		keys, bytes, members := f.size()
		out.Keys, out.Bytes, out.Members = out.Keys+keys, out.Bytes+bytes, out.Members+members
	}
	return out
}
