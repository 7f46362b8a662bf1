package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	recovery = 12 * time.Second // bounds.recovery_s
	programs = 24
)

// begin starts the deployment with its hosts, sends the first configuration and waits until the fronts are ready.
func (b *Bench) begin() error {
	if err := b.Cluster.StartAll(); err != nil {
		return err
	}
	for i := range 3 {
		host := &Host{ID: fmt.Sprintf("i-engine%d", i+1), Service: "engine", Engine: true, EventWait: 5 * time.Millisecond}
		if err := b.Cluster.StartHost(host, b.Runs); err != nil {
			return err
		}
	}
	if status := b.Cluster.ReplaceConfig(0, 1, 10*time.Second); status != 200 {
		return fmt.Errorf("the first configuration was answered %d", status)
	}
	if !b.Cluster.WaitReady(10 * time.Second) {
		return errors.New("the fronts are not ready")
	}
	time.Sleep(4 * time.Second) // the stores' replicas are filled
	return nil
}

// each runs a function for every program at the same time and returns for how many it reported success.
func each(count int, do func(i int) bool) (succeeded int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i := range count {
		wait.Go(func() {
			if do(i) {
				mu.Lock()
				succeeded++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return succeeded
}

// storesAway: two of three stores lose power for eight seconds; their disks stay. Meanwhile comes the final fault: right after the
// acknowledgement of a configuration the third store loses its disk, and all others that count lose power. All are back a second later.
func storesAway(b *Bench) error {
	if err := b.begin(); err != nil {
		return err
	}
	first := make([]Kept, programs)
	served := each(programs, func(i int) bool {
		kept, ok := b.Client.Try(fmt.Sprintf("p%d", i), fmt.Sprintf("s%d", i), Kept{}, fmt.Sprintf("question %d ", i), 20, time.Now().Add(10*time.Second))
		first[i] = kept
		return ok
	})
	if served != programs {
		return fmt.Errorf("only %d of %d programs were served before the disruption", served, programs)
	}
	b.Record.Event("status before:\n%s", b.Cluster.Status())
	lost := b.Cluster.Machine("storage-1")
	dark := []*Machine{b.Cluster.Machine("storage-2"), b.Cluster.Machine("storage-3")}
	if b.Trouble {
		for _, m := range dark {
			b.Cluster.Kill(m)
		}
	}
	time.Sleep(darkBefore())
	b.Record.Event("status before the final fault:\n%s", b.Cluster.Status())
	if status := b.Cluster.ReplaceConfig(1, 2, 10*time.Second); status != 200 {
		return fmt.Errorf("the second configuration was answered %d", status)
	}
	if b.Trouble {
		down := append([]*Machine{lost}, dark...)
		b.Cluster.Kill(lost)
		for _, m := range b.Cluster.Machines {
			if m.class == "core" {
				b.Cluster.Kill(m)
				down = append(down, m)
			}
		}
		if err := b.Cluster.WipeDisk(lost); err != nil {
			return err
		}
		time.Sleep(time.Second)
		for _, m := range down {
			if err := b.Cluster.Start(m); err != nil {
				return err
			}
		}
	}
	back := time.Now()
	b.Record.Event("all machines are back")
	time.Sleep(recovery)
	b.Record.Event("recovery_s has passed; status:\n%s", b.Cluster.Status())
	var mu sync.Mutex
	asked, answered := 0, 0
	ask := func(earlier []Kept, what string) int {
		return each(programs, func(i int) bool {
			previous := Kept{}
			program, session := fmt.Sprintf("q%d", i), fmt.Sprintf("t%d", i)
			if earlier != nil {
				previous, program, session = earlier[i], earlier[i].Program, earlier[i].Session
			}
			for range 6 {
				_, ok := b.Client.Try(program, session, previous, fmt.Sprintf("%s %d ", what, i), 1, time.Now().Add(10*time.Second))
				mu.Lock()
				asked++
				if ok {
					answered++
				}
				mu.Unlock()
				if ok {
					return true
				}
				time.Sleep(300 * time.Millisecond)
			}
			return false
		})
	}
	onward := ask(first, "and then")
	fresh := ask(nil, "new question")
	result := fmt.Sprintf("later than recovery_s after all machines were back: %d of %d requests served; %d of %d programs went on from turns that were answered whole, %d of %d new programs began",
		answered, asked, onward, programs, fresh, programs)
	b.Record.Event("%s; %.1f s after all were back", result, time.Since(back).Seconds())
	fmt.Println(result)
	if 4*answered < asked {
		b.Judge.breach("RECOVER", "%d of %d requests were served later than recovery_s after all machines were back", answered, asked)
	}
	return nil
}

// darkBefore returns how long the two stores are dark before the final fault. DARK_S changes it from 7 s, to compare.
func darkBefore() time.Duration {
	if seconds, err := strconv.ParseFloat(os.Getenv("DARK_S"), 64); err == nil {
		return time.Duration(seconds * float64(time.Second))
	}
	return 7 * time.Second
}

// chaos: machines with a disk lose power or freeze at random, also several at once, and one of them loses its disk. Not a case.
func chaos(b *Bench) error {
	if err := b.begin(); err != nil {
		return err
	}
	r := rand.New(rand.NewPCG(b.Seed, 1))
	stop := make(chan struct{})
	var wait sync.WaitGroup
	last := make([]Kept, programs)
	for i := range programs {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if kept, ok := b.Client.Try(fmt.Sprintf("p%d", i), "s", last[i], fmt.Sprintf("q%d.%d ", i, n), 3, time.Now().Add(4*time.Second)); ok {
					last[i] = kept
				}
				if n%4 == 3 {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	for i := range 8 {
		wait.Go(func() { b.spend(i, stop) })
	}
	acknowledged := uint64(1)
	wait.Go(func() {
		for version := uint64(2); ; {
			select {
			case <-stop:
				return
			default:
			}
			switch status := b.Cluster.ReplaceConfig(version-1, version, time.Second); {
			case status == 200:
				acknowledged = version
				version++
			case status >= 400 && status < 500:
				b.Judge.breach("CONFIG", "version %d on %d was refused with %d", version, version-1, status)
				return
			}
			time.Sleep(150 * time.Millisecond)
		}
	})
	time.Sleep(time.Second)
	counted := b.Cluster.Machines
	var mu sync.Mutex
	wiped := false
	var faults sync.WaitGroup
	end := time.Now().Add(25 * time.Second)
	var retired *Machine
	if b.Cluster.options.Stores > 3 {
		retired = b.Cluster.Machine(fmt.Sprintf("storage-%d", 1+r.IntN(b.Cluster.options.Stores)))
		pause := time.Duration(r.Int64N(int64(8 * time.Second)))
		faults.Go(func() {
			time.Sleep(pause)
			if !b.Cluster.Retire(retired.Name, 30*time.Second) {
				b.Record.Event("the retirement of %s was not completed", retired.Name)
				return
			}
			b.Cluster.Kill(retired)
			_ = b.Cluster.WipeDisk(retired)
			retired.gone = true
		})
	}
	for _, m := range counted {
		if m == retired {
			continue
		}
		quiet := time.Duration(r.Int64N(int64(6 * time.Second)))
		seed := r.Uint64()
		faults.Go(func() {
			r := rand.New(rand.NewPCG(seed, 2))
			time.Sleep(quiet)
			for time.Now().Before(end) {
				down := 200*time.Millisecond + time.Duration(r.Int64N(int64(6*time.Second)))
				if r.IntN(3) == 0 {
					down /= 6
				}
				if r.IntN(4) == 0 {
					b.Cluster.Signal(m, 15)
					for waited := 0; b.Cluster.Running(m) && waited < 90; waited++ {
						time.Sleep(100 * time.Millisecond)
					}
					b.Cluster.Kill(m)
					time.Sleep(down / 6)
					_ = b.Cluster.Start(m)
				} else if r.IntN(4) == 0 {
					b.Cluster.Signal(m, 19)
					time.Sleep(down)
					b.Cluster.Signal(m, 18)
				} else {
					b.Cluster.Kill(m)
					mu.Lock()
					wipe := m.class != "front" && !wiped && r.IntN(4) == 0
					wiped = wiped || wipe
					mu.Unlock()
					if wipe {
						_ = b.Cluster.WipeDisk(m)
					}
					time.Sleep(down)
					_ = b.Cluster.Start(m)
				}
				time.Sleep(time.Duration(r.Int64N(int64(5 * time.Second))))
			}
		})
	}
	faults.Wait()
	b.Record.Event("all machines are back")
	time.Sleep(recovery)
	close(stop)
	wait.Wait()
	b.Record.Event("status:\n%s", b.Cluster.Status())
	read := b.Cluster.ReadConfig(5 * time.Second)
	b.Record.Event("read back: version %d; acknowledged %d", read, acknowledged)
	if read < acknowledged {
		b.Judge.breach("CONFIG", "version %d was read back after %d was acknowledged", read, acknowledged)
	}
	now := time.Now()
	kept := b.Judge.Kept()
	var recent []Kept
	for _, each := range kept {
		if now.Sub(each.AnswerAt) < 45*time.Second {
			recent = append(recent, each)
		}
	}
	r.Shuffle(len(recent), func(i, j int) { recent[i], recent[j] = recent[j], recent[i] })
	recent = recent[:min(len(recent), 200)]
	onward := each(len(recent), func(i int) bool {
		time.Sleep(time.Duration(i) * 10 * time.Millisecond)
		_, ok := b.Client.Try(recent[i].Program, "x", recent[i], "check ", 5, time.Now().Add(6*time.Second))
		return ok
	})
	fmt.Printf("%d turns kept, %d of %d went on\n", len(kept), onward, len(recent))
	if onward < len(recent) {
		b.Judge.breach("LOST", "%d of %d turns could not be continued", len(recent)-onward, len(recent))
	}
	return nil
}

// spend runs programs one after the other until each has spent its budget.
func (b *Bench) spend(i int, stop chan struct{}) {
	const budget, most = 90, 9
	for k := 0; ; k++ {
		program, received := fmt.Sprintf("b%d.%d", i, k), 0
		for done := false; !done; {
			select {
			case <-stop:
				return
			default:
			}
			turn := Turn{Program: program, Session: "s", Input: "spend ", Budget: budget, Most: most, Deadline: 3 * time.Second}
			fronts := b.Cluster.Fronts()
			answer := turn.Send(fronts[rand.IntN(len(fronts))], b.Record)
			b.Judge.Observe(turn, Kept{}, answer)
			received += answer.Events * stride
			if received > budget+most {
				b.Judge.breach("BUDGET", "program %s received %d tokens of a budget of %d", program, received, budget)
				return
			}
			done = answer.Status == 402
			if !answer.served() {
				time.Sleep(150 * time.Millisecond)
			}
		}
	}
}
