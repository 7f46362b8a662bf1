package main

import (
	"errors"

	"otterseam/sim/batch"
	"otterseam/sim/report"
)

type reportCommand struct {
	Results []string `arg:"" help:"Files that --keep of other subcommands wrote."`
	Out     string   `short:"o" help:"Write an HTML page to this file; without it, text is printed." placeholder:"FILE.html"`
	Title   string   `default:"Results" help:"Title of the page."`
}

func (c *reportCommand) Run(out *output) error {
	if err := batch.CheckWritable(c.Out); err != nil {
		return inputError{err}
	}
	var all []*batch.Run
	for _, file := range c.Results {
		runs, err := batch.Load(file)
		if err != nil {
			return inputError{err}
		}
		all = append(all, runs...)
	}
	if len(all) == 0 {
		return inputError{errors.New("the files hold no runs")}
	}
	if c.Out == "" {
		return report.Text(out.stdout, all)
	}
	page, err := report.HTML(c.Title, all)
	if err != nil {
		return err
	}
	return batch.WriteFile(c.Out, page)
}
