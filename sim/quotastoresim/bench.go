package quotastoresim

// This file owns load on the counter's protocol, in open loop: calls begin when they are due, whether or not those before
// them are answered, and their time counts from then.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load is what is asked of doors.
type Load struct {
	Addresses  []string
	Rate       float64 // calls a second in all
	Duration   time.Duration
	Conns      int // to each door
	Keys       int
	RoundRobin bool // names come in turn, else they are drawn
	HotKey     bool // one name gets a third of all
	Prefix     string
}

// Told is what became of it.
type LoadResult struct {
	Answered, Rejected, Broken int64
	P50, P99, Max              float64 // of the answered, in seconds
	Rate                       float64 // answered a second
	// Sum is what was answered as added, by name; Maybe what may have been.
	Acknowledged, Uncertain map[string]float64
}

// Run asks, and waits for the answers.
func (l *Load) Run(ctx context.Context) (*LoadResult, error) {
	t := &LoadResult{Acknowledged: map[string]float64{}, Uncertain: map[string]float64{}}
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var all sync.WaitGroup
	n := l.Conns * len(l.Addresses)
	begin := time.Now()
	for i := range n {
		all.Go(func() {
			c := &caller{
				number: i, of: n, load: l, told: t, mu: &mu, hist: hist, addr: l.Addresses[i%len(l.Addresses)], every: time.Duration(float64(n) / l.Rate * 1e9),
				begin: begin.Add(time.Duration(float64(i) / l.Rate * 1e9)), dice: rand.New(rand.NewPCG(uint64(i), 7)),
			}
			c.run(ctx)
		})
	}
	all.Wait()
	t.P50, t.P99, t.Max = float64(hist.ValueAtQuantile(50))/1e6, float64(hist.ValueAtQuantile(99))/1e6, float64(hist.Max())/1e6
	t.Rate = float64(t.Answered) / l.Duration.Seconds()
	return t, nil
}

// caller has one connection after another.
type caller struct {
	load       *Load
	told       *LoadResult
	mu         *sync.Mutex
	hist       *hdrhistogram.Histogram
	addr       string
	every      time.Duration
	begin      time.Time
	dice       *rand.Rand
	nth        int
	number, of int
}

type out struct {
	due    time.Time
	name   string
	amount float64
}

func (c *caller) run(ctx context.Context) {
	end := c.begin.Add(c.load.Duration)
	for ctx.Err() == nil && time.Now().Before(end) {
		tcp, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			c.skip()
			continue
		}
		c.live(ctx, tcp, end)
	}
}

// skip lets calls that could not be made go by; they count as broken.
func (c *caller) skip() {
	for c.due().Before(time.Now().Add(-20 * time.Millisecond)) {
		c.nth++
		c.mu.Lock()
		c.told.Broken++
		c.mu.Unlock()
	}
}

func (c *caller) due() time.Time { return c.begin.Add(time.Duration(c.nth) * c.every) }

func (c *caller) live(ctx context.Context, tcp net.Conn, end time.Time) {
	orders := make(chan out, 4096)
	ended := make(chan bool)
	go func() {
		defer close(ended)
		c.read(tcp, orders)
	}()
	w := bufio.NewWriter(tcp)
	for sending := true; sending; {
		due := c.due()
		if !due.Before(end) || ctx.Err() != nil {
			break
		}
		if wait := time.Until(due); wait > 0 {
			if w.Flush() != nil {
				break
			}
			time.Sleep(wait)
		}
		o := out{due, fmt.Sprintf("%s%d", c.load.Prefix, c.dice.IntN(c.load.Keys)), float64(1 + c.dice.IntN(9))}
		if c.load.RoundRobin {
			o.name = fmt.Sprintf("%s%d", c.load.Prefix, (c.nth*c.of+c.number)%c.load.Keys)
		}
		if c.load.HotKey && c.dice.IntN(3) == 0 {
			o.name = c.load.Prefix + "0"
		}
		c.nth++
		select {
		case orders <- o:
			fmt.Fprintf(w, "POST /counters/%s?by=%g&expire_ms=60000 HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n", o.name, o.amount)
		case <-ended:
			sending = false
		}
	}
	w.Flush()
	close(orders)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
	}
	tcp.Close()
	<-ended
	c.mu.Lock()
	for o := range orders {
		c.told.Broken++
		c.told.Uncertain[o.name] += o.amount
	}
	c.mu.Unlock()
}

func (c *caller) read(tcp net.Conn, orders chan out) {
	r := bufio.NewReader(tcp)
	for o := range orders {
		status, _, err := answerOf(r)
		now := time.Now()
		c.mu.Lock()
		switch {
		case err != nil:
			c.told.Broken++
			c.told.Uncertain[o.name] += o.amount
		case status == 200:
			c.told.Answered++
			c.told.Acknowledged[o.name] += o.amount
			c.hist.RecordValue(min(59_000_000, max(1, now.Sub(o.due).Microseconds())))
		default:
			c.told.Rejected++
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// answerOf reads one answer of the counter's protocol.
func answerOf(r *bufio.Reader) (status int, body string, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, "", err
	}
	if len(line) < 12 {
		return 0, "", io.ErrUnexpectedEOF
	}
	if status, err = strconv.Atoi(line[9:12]); err != nil {
		return 0, "", err
	}
	length := 0
	for {
		if line, err = r.ReadString('\n'); err != nil {
			return 0, "", err
		}
		if line = strings.TrimSpace(line); line == "" {
			break
		}
		if name, v, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "Content-Length") {
			length, _ = strconv.Atoi(strings.TrimSpace(v))
		}
	}
	text := make([]byte, length)
	_, err = io.ReadFull(r, text)
	return status, string(text), err
}

// Check asks for each name's total and holds it against what was answered and what may have been added.
func (l *Load) Check(t *LoadResult) (lost, twice int, err error) {
	totals := map[string]float64{}
	for try := range 40 { // a keeper may have just been lost
		if err = l.totals(t, l.Addresses[try%len(l.Addresses)], totals); err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		return 0, 0, err
	}
	for name, sum := range t.Acknowledged {
		if totals[name] < sum-1e-6 {
			lost++
		}
		if totals[name] > sum+t.Uncertain[name]+1e-6 {
			twice++
		}
	}
	return lost, twice, nil
}

func (l *Load) totals(t *LoadResult, addr string, totals map[string]float64) error {
	tcp, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	defer tcp.Close()
	tcp.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(tcp)
	for name := range t.Acknowledged {
		if _, known := totals[name]; known {
			continue
		}
		fmt.Fprintf(tcp, "POST /counters/%s?by=0&expire_ms=60000 HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n", name)
		status, body, err := answerOf(r)
		if err != nil {
			return err
		}
		if status != 200 {
			return fmt.Errorf("the total of %s: status %d", name, status)
		}
		if totals[name], err = strconv.ParseFloat(body, 64); err != nil {
			return err
		}
	}
	return nil
}
