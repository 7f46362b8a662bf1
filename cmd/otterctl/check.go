package main

import (
	"fmt"
	"io"
	"os"

	"otterseam/tier/opconfig"
	"otterseam/tier/settings"
)

// run validates an operator's configuration in the same way as control.
func (c *checkConfigCommand) run(out io.Writer) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	config, err := opconfig.Parse(body)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	fmt.Fprintf(out, "%s is valid: version %d, %d routes, %d services\n", c.File, config.Version, len(config.Routes), len(config.Services))
	return nil
}

// run validates a settings file in the same way as a process at its start.
func (c *checkSettingsCommand) run(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	s, err := settings.Parse(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	fmt.Fprintf(out, "%s is valid: node %s, role %s, zone %s, %d seeds\n", c.File, s.Node, s.Role, s.Zone, len(s.Seeds))
	return nil
}
