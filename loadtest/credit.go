package loadtest

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hillknot/client"
	"hillknot/client/policy"
)

// What requests cost, in credits.
const (
	pagePrice  = 1
	orderPrice = 3
)

// Payers is a fleet whose routers share prepaid balances.
type CreditCluster struct {
	*FailoverCluster
	topups string
	lines  []string
	names  []string
	funded map[string]float64 // by account
	spent  map[string]float64 // as the clients were served
}

// NewPayers starts so many routers that share the balances of accounts, each funded with so much.
func NewCreditCluster(bin string, routers int, accounts map[string]float64, seed uint64) (*CreditCluster, error) {
	t, err := newTalkers(seed)
	if err != nil {
		return nil, err
	}
	dir := filepath.Dir(t.keys)
	p := &CreditCluster{FailoverCluster: &FailoverCluster{Cluster: t, book: &orderBook{asks: map[string]int{}, work: 10 * time.Millisecond, rnd: rand.New(rand.NewPCG(seed, 9))}},
		topups: filepath.Join(dir, "topups.hcl"), funded: map[string]float64{}, spent: map[string]float64{}}
	for i := range routers {
		p.names = append(p.names, fmt.Sprintf("lab-%d", i))
	}
	for name, amount := range accounts {
		p.line("first-"+name, name, amount)
	}
	err = p.write(p.topups, p.lines)
	if err == nil {
		block := func(i int) string {
			return fmt.Sprintf("  takeover {\n    strict = true\n  }\n  ledger = %q\n  credit {\n    topups = %q\n    rest_s = 2\n    chunk_ms = 250\n    prices {\n      part-page {\n        each = %d\n      }\n      new-arrange {\n        each = %d\n      }\n    }\n  }\n",
				filepath.Join(dir, fmt.Sprintf("%d.ledger", i)), p.topupsOf(i), pagePrice, orderPrice)
		}
		set := Setup{Routers: routers, RetryAfter: true, Caches: 4, KnownRouters: routers, OverloadFactor: 1000, Answer: p.book.answer}
		for i := range routers {
			if err = p.write(p.topupsOf(i), p.lines); err != nil {
				break
			}
		}
		if err == nil {
			err = t.start(bin, set, block)
		}
	}
	if err == nil {
		err = t.met()
	}
	if err != nil {
		t.Close()
		return nil, err
	}
	return p, nil
}

// topupsOf is the file of top-ups that a router reads.
func (p *CreditCluster) topupsOf(i int) string { return fmt.Sprintf("%s.%d", p.topups, i) }

func (p *CreditCluster) line(id, account string, amount float64) {
	p.lines = append(p.lines, fmt.Sprintf("topup %q {\n  account = %q\n  amount  = %g\n}\n", id, account, amount))
	p.funded[account] += amount
}

func (p *CreditCluster) write(path string, lines []string) error {
	names := make([]string, len(p.names))
	for i, n := range p.names {
		names[i] = strconv.Quote(n)
	}
	text := "among = [" + strings.Join(names, ", ") + "]\n" + strings.Join(lines, "")
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Fund tops an account up, as some routers read.
func (p *CreditCluster) TopUp(id, account string, amount float64, readers ...int) error {
	p.line(id, account, amount)
	for _, i := range readers {
		if err := p.write(p.topupsOf(i), p.lines); err != nil {
			return err
		}
		p.Routers[i].Signal(syscall.SIGHUP)
	}
	return nil
}

// payer asks on behalf of an account, as fast as it is let, and counts what it was served.
type payer struct {
	c                     *client.Client
	mu                    sync.Mutex
	spent                 float64 // served, or may have run
	served, refused, last int     // last: served since the latest look
	order                 bool
}

func (w *payer) run(stop <-chan struct{}, rnd *rand.Rand, pause time.Duration) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		q := client.Request{Class: "part-page", Item: rnd.Uint64N(4000), Limit: time.Second}
		price := float64(pagePrice)
		if w.order {
			q.Class, q.Item, q.Body, price = "new-arrange", rnd.Uint64(), []byte("order"), orderPrice
		}
		_, err := w.c.Do(context.Background(), q)
		w.mu.Lock()
		switch {
		case err == nil:
			w.spent += price
			w.served++
			w.last++
		default:
			w.refused++
		}
		w.mu.Unlock()
		time.Sleep(pause)
	}
}

// PayRow is what a fault did to balances.
type CreditResult struct {
	Fault            string
	Funded, Spent    float64 // of the account that ran out, since the fleet's start; spent is what clients were served
	MaxSpentRatio    float64 // the highest of spent over funded, of any account
	Served, Rejected int
	OrdersRunTwice   int     // orders that ran more than once
	ServedAfterEmpty int     // served in a second after half a second without any, of what was left
	Stranded         float64 // of what was funded, what nobody could spend in the end
	FundedRatio      float64 // what an account with funds was served, over what it was before the other ran out
}

// Broken tells whether more was spent than was funded, or an order ran twice.
func (r CreditResult) Broken() bool { return r.MaxSpentRatio > 1 || r.OrdersRunTwice > 0 }

// Under has clients of two accounts ask while something is done, one with plenty and one whose funds run out, until that
// one has been served nothing for a while.
func (p *CreditCluster) runUnderLoad(fault string, clients int, over time.Duration, do func() error) (row CreditResult, err error) {
	row.Fault = fault
	stop := make(chan struct{})
	var all sync.WaitGroup
	payers := map[string][]*payer{}
	for i := range clients + 4 {
		account := "poor"
		if i >= clients {
			account = "rich"
		}
		p.made++
		set := policy.Defaults()
		set.Seed, set.Claims = p.seed<<32+p.made, true
		w := &payer{order: i%3 == 0}
		if w.c, err = client.New(client.Config{Routers: p.addrs(), Account: account, Policy: &set}); err != nil {
			close(stop)
			return row, err
		}
		payers[account] = append(payers[account], w)
		all.Go(func() { w.run(stop, rand.New(rand.NewPCG(set.Seed, 6)), 10*time.Millisecond) })
	}
	took := func(account string, d time.Duration) (n int) {
		for _, w := range payers[account] {
			w.take()
		}
		time.Sleep(d)
		for _, w := range payers[account] {
			n += w.take()
		}
		return n
	}
	before := took("rich", over/4)
	if err = do(); err == nil {
		time.Sleep(over / 2)
		p.Network.Heal()
		for range 40 {
			if took("poor", 500*time.Millisecond) == 0 {
				break
			}
		}
		row.ServedAfterEmpty = took("poor", time.Second)
		row.FundedRatio = float64(took("rich", over/4)) / math.Max(float64(before), 1)
	}
	close(stop)
	all.Wait()
	for account, ws := range payers {
		for _, w := range ws {
			p.spent[account] += w.spent
			row.Served, row.Rejected = row.Served+w.served, row.Rejected+w.refused
			_ = w.c.Close(context.Background()) // all has ended
		}
		row.MaxSpentRatio = math.Max(row.MaxSpentRatio, p.spent[account]/p.funded[account])
	}
	p.book.mu.Lock()
	for _, n := range p.book.asks {
		row.OrdersRunTwice += one(n > 1)
	}
	p.book.mu.Unlock()
	row.Funded, row.Spent = p.funded["poor"], p.spent["poor"]
	row.Stranded = 1 - row.Spent/row.Funded
	return row, err
}

func (w *payer) take() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.last
	w.last = 0
	return n
}

// PayFaults runs the fleet through each fault that is named, or all, after a top-up for each.
func (p *CreditCluster) RunCreditFaults(each time.Duration, clients int, amount float64, only []string) (rows []CreditResult, err error) {
	n := len(p.Routers)
	everybody := make([]int, n)
	for i := range everybody {
		everybody[i] = i
	}
	nothing := func() error { return nil }
	for _, f := range []struct {
		name    string
		readers []int
		do      func() error
	}{
		{"none", everybody, nothing},
		{"two cut off from the rest", everybody, func() error { p.Network.Partition([]int{0, 1}); return nil }},
		{"one isolated", everybody, func() error { p.Network.Partition([]int{0}); return nil }},
		{"one not heard", everybody, func() error { p.Network.Block([]int{0}, everybody); return nil }},
		{"a third of the packets lost, others late", everybody, func() error { p.Network.Impair(0.33, 100*time.Millisecond); return nil }},
		{"top-up read by half of the fleet", everybody[:n/2], nothing},
		{"stopped (SIGSTOP)", everybody, func() error {
			p.Routers[0].Signal(syscall.SIGSTOP)
			time.Sleep(each / 4)
			p.Routers[0].Signal(syscall.SIGCONT)
			return nil
		}},
		{"killed again and again", everybody, func() error {
			for i := range 6 {
				r := p.Routers[i%2]
				r.Kill()
				if err := r.Start(); err != nil {
					return err
				}
				time.Sleep(each / 12)
			}
			return nil
		}},
		{"rolling restart (SIGTERM)", everybody, p.roll},
	} {
		if only != nil && !slices.Contains(only, f.name) {
			continue
		}
		if err := p.TopUp("for "+f.name, "poor", amount, f.readers...); err != nil {
			return rows, err
		}
		row, err := p.runUnderLoad(f.name, clients, each, f.do)
		if err != nil {
			return rows, fmt.Errorf("%s: %w", f.name, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// pages is how many pages a second some clients get from the fleet, one after the other, on an account or none.
func (o *FailoverCluster) pages(account string, clients int, over time.Duration) (float64, error) {
	stop := make(chan struct{})
	var all sync.WaitGroup
	var ws []*payer
	for i := range clients {
		set := policy.Defaults()
		set.Seed = uint64(i) + 1
		w := &payer{}
		var err error
		if w.c, err = client.New(client.Config{Routers: o.addrs(), Account: account, Policy: &set}); err != nil {
			close(stop)
			return 0, err
		}
		ws = append(ws, w)
		all.Go(func() { w.run(stop, rand.New(rand.NewPCG(set.Seed, 6)), 0) })
	}
	time.Sleep(over / 4)
	for _, w := range ws {
		w.take()
	}
	time.Sleep(over)
	n := 0
	for _, w := range ws {
		n += w.take()
	}
	close(stop)
	all.Wait()
	for _, w := range ws {
		_ = w.c.Close(context.Background()) // all has ended
	}
	return float64(n) / over.Seconds(), nil
}

// Credit measures prepaid balances, and writes the table.
func MeasureCredit(bin string, routers int, each time.Duration, seed uint64, to io.Writer) error {
	off, err := NewFailoverCluster(bin, routers, false, "", seed)
	if err != nil {
		return err
	}
	off.book.quick = true
	free, err := off.pages("", 64, each)
	off.Close()
	if err != nil {
		return err
	}
	on, err := NewCreditCluster(bin, routers, map[string]float64{"rich": 1e9}, seed)
	if err != nil {
		return err
	}
	on.book.quick = true
	time.Sleep(time.Second) // all are born
	paid, err := on.pages("rich", 64, each)
	on.Close()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(to, "pages a second of 64 clients, one after the other: %.0f free, %.0f paid for, %.3f\n", free, paid, paid/free)
	p, err := NewCreditCluster(bin, routers, map[string]float64{"poor": 100, "rich": 1e6}, seed)
	if err != nil {
		return err
	}
	defer p.Close()
	rows, err := p.RunCreditFaults(each, 12, 1500, nil)
	_, _ = fmt.Fprintf(to, "| fault | funded so far | spent so far | most of spent over funded | stranded | served in a second after half a second of none | the other account, over before | served | refused | orders twice |\n|%s\n", strings.Repeat("---|", 10))
	for _, r := range rows {
		_, _ = fmt.Fprintf(to, "| %s | %.0f | %.0f | %.4f | %.4f | %d | %.2f | %d | %d | %d |\n", r.Fault, r.Funded, r.Spent, r.MaxSpentRatio, r.Stranded, r.ServedAfterEmpty, r.FundedRatio, r.Served, r.Rejected, r.OrdersRunTwice)
	}
	return err
}
