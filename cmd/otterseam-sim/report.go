package main

// This file owns the command that writes pages and text from kept results.

import (
	"errors"

	"otterseam/sim/batch"
	"otterseam/sim/report"
)

type reportCmd struct {
	Results []string `arg:"" help:"Files that --keep wrote."`
	Out     string   `short:"o" help:"The page to write; without it, text is written." placeholder:"FILE.html"`
	Title   string   `default:"Results" help:"Of the page."`
}

func (c *reportCmd) Run(s *streams) error {
	if err := batch.CheckWritable(c.Out); err != nil {
		return badInput{err}
	}
	var all []*batch.Run
	for _, f := range c.Results {
		rs, err := batch.Load(f)
		if err != nil {
			return badInput{err}
		}
		all = append(all, rs...)
	}
	if len(all) == 0 {
		return badInput{errors.New("there are no runs in these files")}
	}
	if c.Out == "" {
		return report.Text(s.out, all)
	}
	b, err := report.HTML(c.Title, all)
	if err != nil {
		return err
	}
	return batch.WriteFile(c.Out, b)
}
