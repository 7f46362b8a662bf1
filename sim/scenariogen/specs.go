package scenariogen

import "strings"

// target is what a kind of disruption strikes.
type target int

const (
	targetNone     target = iota // the operator's changes, clients, all machines alike
	targetMachines               // machines of a class
	targetDisks                  // disks of machines of a class
	targetCore                   // counted machines only
	targetServers                // servers of a service
	targetTraffic                // requests of a class
)

// span is a range from which a figure is drawn; a span of zeros leaves the field to the bench.
type span struct{ lo, hi float64 }

// spec tells how the fields of a kind are drawn.
type spec struct {
	target  target
	planned bool
	spoils  bool // servers that are struck serve no more, or badly
	loses   bool // a counted machine that is struck counts as lost
	share   span
	count   span
	x       span
	wholeX  bool // x counts things
	forS    span
	gapS    span
	weight  float64 // chance to be drawn, beside the other kinds
	// variants that the list of kinds says in words of another kind ("the same")
	hows []string
	// fraction of entries that name no class of machines, so that the bench picks by its rule
	noClass float64
}

// specs are the kinds known. A kind of the list that isn't here gets guessedSpec.
var specs = map[string]spec{
	"burst":       {target: targetTraffic, x: span{1.4, 2.4}, forS: span{2, 5}, weight: 0.6},
	"release":     {target: targetServers, planned: true, share: span{0.2, 0.5}, x: span{1, 3}, wholeX: true, gapS: span{0.5, 1.5}, weight: 0.6},
	"answer_lost": {target: targetServers, share: span{0.3, 0.6}, x: span{0.02, 0.06}, forS: span{3, 6}, weight: 0.5},
	"garble":      {target: targetServers, share: span{0.3, 0.6}, x: span{0.01, 0.04}, forS: span{3, 6}, weight: 0.5},
	"give_up":     {target: targetNone, share: span{0.05, 0.3}, x: span{200, 3000}, forS: span{3, 8}, weight: 0.5},

	"srv_crash":          {target: targetServers, spoils: true, share: span{0.1, 0.25}, forS: span{1, 6}, weight: 0.7},
	"srv_slow":           {target: targetServers, spoils: true, share: span{0.1, 0.3}, x: span{2, 6}, forS: span{3, 6}, weight: 0.5},
	"srv_grey":           {target: targetServers, spoils: true, share: span{0.1, 0.2}, x: span{0.3, 0.6}, forS: span{3, 7}, weight: 0.5},
	"srv_lying_health":   {target: targetServers, spoils: true, share: span{0.08, 0.15}, forS: span{4, 7}, weight: 0.4},
	"srv_flap":           {target: targetServers, spoils: true, share: span{0.08, 0.2}, forS: span{4, 7}, gapS: span{0.6, 2}, weight: 0.5},
	"srv_cut":            {target: targetServers, share: span{0.1, 0.5}, forS: span{1.5, 6}, weight: 1},
	"replace_with_reuse": {target: targetServers, share: span{0.1, 0.3}, weight: 0.7},
	"scale_out":          {target: targetServers, planned: true, share: span{0.1, 0.4}, gapS: span{0.5, 3}, weight: 0.4},
	"scale_in":           {target: targetServers, spoils: true, planned: true, share: span{0.1, 0.25}, weight: 0.7},
	"idle_race":          {target: targetServers, share: span{0.3, 0.6}, x: span{100, 600}, forS: span{3, 6}, weight: 0.4},

	"node_kill":    {target: targetMachines, loses: true, share: span{0.1, 0.4}, forS: span{0.5, 5}, weight: 1.6},
	"node_freeze":  {target: targetMachines, loses: true, share: span{0.1, 0.3}, forS: span{0.5, 5}, weight: 1.2},
	"node_slow":    {target: targetMachines, loses: true, share: span{0.1, 0.3}, x: span{3, 8}, forS: span{2, 5}, weight: 0.6},
	"node_cut":     {target: targetMachines, loses: true, share: span{0.1, 0.4}, forS: span{0.8, 6}, weight: 1.2},
	"roll_term":    {target: targetMachines, planned: true, loses: true, share: span{0.3, 1}, x: span{1, 2}, wholeX: true, gapS: span{0.6, 1.5}, weight: 0.9},
	"add_nodes":    {target: targetMachines, planned: true, loses: true, weight: 0.6},
	"herd_kill":    {target: targetMachines, share: span{0.3, 0.7}, forS: span{0.4, 2.5}, weight: 0.8, noClass: 0.4},
	"reset_conns":  {target: targetMachines, share: span{0.1, 0.6}, x: span{0.2, 1}, weight: 0.5},
	"hup":          {target: targetMachines, planned: true, share: span{0.2, 1}, gapS: span{0.2, 2}, weight: 0.5},
	"clock_step":   {target: targetNone, share: span{0.2, 0.6}, x: span{500, 4000}, forS: span{2, 6}, weight: 0.5},
	"replace_core": {target: targetCore, loses: true, x: span{0.5, 3}, weight: 1},
	"core_cut":     {target: targetCore, loses: true, forS: span{0.8, 7}, weight: 1.8, noClass: 0.5},

	"after_ack_kill": {target: targetCore, loses: true, forS: span{0.8, 3}, weight: 1.2, noClass: 0.5},
	"after_ack_wipe": {target: targetCore, loses: true, forS: span{0.8, 3}, weight: 1.4, noClass: 0.5, hows: []string{"timed"}},
	"disk_slow":      {target: targetDisks, loses: true, x: span{10, 40}, forS: span{2, 6}, weight: 0.5},
	"disk_full":      {target: targetDisks, loses: true, forS: span{2, 6}, weight: 0.5},
	"disk_stall":     {target: targetDisks, loses: true, forS: span{1, 5}, weight: 0.7},
	"retire":         {target: targetNone, planned: true, loses: true, forS: span{7, 9}, weight: 0.5},

	"config_change": {target: targetNone, planned: true, weight: 0.8},
	"config_race":   {target: targetNone, planned: true, count: span{1, 4}, gapS: span{0.6, 1.5}, weight: 0.5},
	"bad_config":    {target: targetNone, planned: true, count: span{1, 3}, gapS: span{0.6, 1.2}, weight: 0.4},
	"big_config":    {target: targetNone, planned: true, count: span{50, 350}, weight: 0.4},
	"ack_lost":      {target: targetNone, x: span{0.4, 0.8}, forS: span{4, 14}, weight: 0.6},
	"seed_turnover": {target: targetNone, planned: true, weight: 0.5},
}

// specOf gives what is known of a kind, or a guess from its line in the list.
func specOf(k Kind) spec {
	if s, known := specs[k.Name]; known {
		return s
	}
	return guessedSpec(k.Text)
}

// guessedSpec reads the fields of a kind that came after this table off its line.
func guessedSpec(text string) spec {
	guess := spec{forS: span{2, 5}, weight: 1}
	switch {
	case strings.Contains(text, "machines"):
		guess.target, guess.loses = targetMachines, true
	case strings.Contains(text, "disks"):
		guess.target, guess.loses = targetDisks, true
	case strings.Contains(text, "servers"):
		guess.target = targetServers
	}
	if strings.Contains(text, "share (") {
		guess.share = span{0.1, 0.4}
	}
	if strings.Contains(text, "gap_s") {
		guess.gapS = span{0.5, 1.5}
	}
	return guess
}

// Variants that the list's first paragraph allows beside those of a kind.
var (
	machineSelectors = []string{"turn", "leader", "reader", "seed"}
	machineFollowUps = []string{"meet", "race", "hard", "drain"}
	serverSelectors  = []string{"across", "all"}
	cutEndings       = []string{"reset", "refuse"}
)

// busyVariant is allowed for a rolling restart alone.
const busyVariant = "busy"

// wipingVariant of an emptied machine makes the others lose their disks.
const wipingVariant = "wipe"

// closings are the final faults that a day may end with, and their variants.
var closings = []struct {
	kind string
	hows []string
}{
	{"power_off_all", []string{"", "taken", "all taken", "timed"}},
	{"wipe_after_ack", []string{"", "all", "timed", "oldest"}},
	{"kill_all", []string{"", "taken", "timed"}},
}
