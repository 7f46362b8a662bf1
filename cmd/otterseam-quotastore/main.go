// Command otterseam-quotastore is one keeper of what api gateways hold for each other, and what an operator asks of keepers.
//
// This file owns the arguments, the log and the signals. It must never decide anything.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/server"
)

type commands struct {
	Run    runCmd    `cmd:"" help:"Run one keeper of the list."`
	Found  foundCmd  `cmd:"" help:"Found an installation of all keepers of the list, once; or again from a snapshot when all was lost."`
	Status statusCmd `cmd:"" help:"Say how all keepers and groups stand; exit 1 where calls are turned away."`
	Save   saveCmd   `cmd:"" help:"Save all that is held to a file."`
	Take   takeCmd   `cmd:"" help:"Hand out a batch of use; the next number says that the one before was taken over."`
}

type listed struct {
	List string `required:"" help:"The installation's list of keepers." placeholder:"FILE.json"`
}

type runCmd struct {
	listed
	Name   string  `required:"" help:"Which keeper of the list this is."`
	Dir    string  `help:"Folder for what it holds; without one, copies alone carry the promise." placeholder:"DIR"`
	Peer   string  `help:"Where it listens for keepers, if not as the list says." placeholder:"ADDRESS"`
	Door   string  `help:"Where it listens for whoever counts, if not as the list says." placeholder:"ADDRESS"`
	Memory float64 `default:"256" help:"Memory that it should stay within, in MB."`
}

func (c *runCmd) Run() error {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	debug.SetGCPercent(300)
	debug.SetMemoryLimit(int64(0.7 * c.Memory * (1 << 20)))
	signal.Ignore(syscall.SIGXFSZ) // a file that can't grow is an error of the write, which is handled
	l, err := server.ReadClusterConfig(c.List)
	if err != nil {
		return err
	}
	k, err := server.New(l, server.Options{Name: c.Name, Dir: c.Dir, PeerAddress: c.Peer, CounterAddress: c.Door}, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	again := make(chan os.Signal, 4)
	signal.Notify(again, syscall.SIGHUP)
	var group errgroup.Group
	group.Go(func() error {
		defer stop()
		return k.Run(ctx)
	})
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-again:
				l, err := server.ReadClusterConfig(c.List)
				if err != nil {
					log.Error().Err(err).Msg("new list not taken up")
					continue
				}
				k.Reconfigure(l)
			}
		}
	})
	if err := group.Wait(); err != nil {
		log.Error().Err(err).Msg("ended")
		return err
	}
	log.Info().Msg("ended")
	return nil
}

type foundCmd struct {
	listed
	From string        `help:"A snapshot that the installation begins with; all that was promised after it was taken is lost." placeholder:"FILE"`
	Wait time.Duration `default:"20s" help:"For how long keepers that don't answer yet are waited for."`
}

func (c *foundCmd) Run() error {
	l, err := server.ReadClusterConfig(c.List)
	if err != nil {
		return err
	}
	var states map[int][]byte
	if c.From != "" {
		text, err := os.ReadFile(c.From)
		if err != nil {
			return err
		}
		s, err := server.DecodeSnapshot(text)
		if err != nil {
			return err
		}
		if s.Groups != l.Groups {
			return fmt.Errorf("the snapshot has %d groups, the list %d", s.Groups, l.Groups)
		}
		states = s.States
		fmt.Printf("The snapshot was taken at %s, %.0f s ago. What was promised since then may be lost:\n"+
			"- totals are too low by what was added since;\n"+
			"- debts noted since are put back by nobody, and debts put back since are put back again if their names still live;\n"+
			"- deliveries begun since are not known: a repeat of one may run again;\n"+
			"- use counted since is not handed out, and batches taken over since come again under their numbers.\n",
			time.Unix(s.Taken, 0).UTC().Format(time.RFC3339), time.Since(time.Unix(s.Taken, 0)).Seconds())
	}
	id, err := server.Bootstrap(l, states, c.Wait)
	if err != nil {
		return err
	}
	fmt.Printf("founded installation %016x: %d keepers, %d groups of %d copies\n", id, len(l.Members), l.Groups, l.Replicas)
	return nil
}

type statusCmd struct{ listed }

func (c *statusCmd) Run() error {
	l, err := server.ReadClusterConfig(c.List)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
	leads := map[int]protocol.GroupHealth{}
	fmt.Fprintln(w, "keeper\tzone\tlife\tleads\tholds\t")
	for _, spot := range l.Members {
		a, err := server.SendCommand(spot.PeerAddress, &protocol.Admin{Operation: protocol.OperationStatus}, 2*time.Second)
		if err != nil {
			fmt.Fprintf(w, "%s\t%s\t%v\t\t\t\n", spot.Name, spot.Zone, err)
			continue
		}
		led, held := 0, 0
		for _, h := range a.Health {
			if h.HasReplica {
				held++
			}
			if h.IsLeader {
				led++
				if h.AppliedIndex >= leads[h.Group].AppliedIndex {
					leads[h.Group] = h
				}
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%08x\t%d\t%d\t\n", spot.Name, spot.Zone, a.Incarnation, led, held)
	}
	w.Flush()
	fmt.Fprintln(w, "\ngroup\tled by\theld by\tnames\t")
	for g := range l.Groups {
		h, ok := leads[g]
		if !ok {
			fmt.Fprintf(w, "%d\tnobody: calls for it are turned away\t\t\t\n", g)
			continue
		}
		by := ""
		for _, id := range h.Replicas {
			if n := id.Number(); n < len(l.Members) {
				by += l.Members[n].Name + " "
			}
		}
		if !h.Stable {
			by += "(changing)"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t\n", g, l.Members[h.Leader].Name, by, h.Counters)
	}
	w.Flush()
	if len(leads) < l.Groups {
		return errors.New("not all groups have a leader")
	}
	return nil
}

type saveCmd struct {
	listed
	To string `required:"" help:"File to write." placeholder:"FILE"`
}

func (c *saveCmd) Run() error {
	l, err := server.ReadClusterConfig(c.List)
	if err != nil {
		return err
	}
	s, err := server.TakeSnapshot(l, time.Now())
	if err != nil {
		return err
	}
	return s.WriteFile(c.To)
}

type takeCmd struct {
	listed
	Batch uint64 `required:"" help:"Its number: that of the last batch gives it again, the one after it a new one. The first is 1."`
}

func (c *takeCmd) Run() error {
	l, err := server.ReadClusterConfig(c.List)
	if err != nil {
		return err
	}
	var all []error
	for _, spot := range l.Members {
		a, err := server.SendCommand(spot.PeerAddress, &protocol.Admin{Operation: protocol.OperationCollectUsage, Batch: c.Batch}, 5*time.Second)
		if err != nil {
			all = append(all, fmt.Errorf("keeper %s: %w", spot.Name, err))
			continue
		}
		sum := map[string]float64{}
		var order []string
		for _, u := range a.Usage {
			if _, known := sum[u.Customer]; !known {
				order = append(order, u.Customer)
			}
			sum[u.Customer] += u.Units
		}
		for _, who := range order {
			fmt.Printf("%d\t%s\t%g\n", c.Batch, who, sum[who])
		}
		return nil
	}
	return errors.Join(all...)
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("otterseam-quotastore"), kong.Description("Keeps what api gateways hold for each other on several machines."), kong.UsageOnError())
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "otterseam-quotastore:", err)
		os.Exit(1)
	}
}
