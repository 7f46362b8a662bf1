package scenariogen

import (
	"strings"
)

// affected is the category of components that a kind of disruption affects.
type affected int

const (
	affectsNone     affected = iota // no specific components: changes by the operator, clients, or all machines
	affectsMachines                 // machines of a class
	affectsDisks                    // disks of counted machines of a class
	affectsCore                     // counted machines only; see Site.CountsAsLoss
	affectsServers                  // servers of a service
	affectsTraffic                  // requests of a class
)

// span is a range from which a value is drawn. The zero span leaves the field zero, so that the bench uses its default.
type span struct{ lo, hi float64 }

// kindSpec describes how the fields of a disruption of a kind are drawn.
type kindSpec struct {
	affects         affected
	planned         bool
	degradesServers bool // affected servers stop serving or serve badly
	losesMachines   bool // an affected counted machine counts as lost
	share           span
	count           span
	magnitude       span
	wholeMagnitude  bool    // the magnitude is a whole number
	duration        span    // seconds
	interval        span    // seconds
	weight          float64 // probability of the kind, relative to the other kinds
	// variants holds additional variants, which the list of kinds only describes by reference to another kind ("the same")
	variants []string
	// classlessShare is the probability that a disruption names no machine class, so that the bench selects the machines
	classlessShare float64
}

// kindSpecs maps the name of each known kind to its spec. For a kind of the list that isn't in this table, guessSpec is used.
var kindSpecs = map[string]kindSpec{
	"burst":       {affects: affectsTraffic, magnitude: span{1.4, 2.4}, duration: span{2, 5}, weight: 0.6},
	"release":     {affects: affectsServers, planned: true, share: span{0.2, 0.5}, magnitude: span{1, 3}, wholeMagnitude: true, interval: span{0.5, 1.5}, weight: 0.6},
	"answer_lost": {affects: affectsServers, share: span{0.3, 0.6}, magnitude: span{0.02, 0.06}, duration: span{3, 6}, weight: 0.5},
	"garble":      {affects: affectsServers, share: span{0.3, 0.6}, magnitude: span{0.01, 0.04}, duration: span{3, 6}, weight: 0.5},
	"give_up":     {affects: affectsNone, share: span{0.05, 0.3}, magnitude: span{200, 3000}, duration: span{3, 8}, weight: 0.5},

	"srv_crash":          {affects: affectsServers, degradesServers: true, share: span{0.1, 0.25}, duration: span{1, 6}, weight: 0.7},
	"srv_slow":           {affects: affectsServers, degradesServers: true, share: span{0.1, 0.3}, magnitude: span{2, 6}, duration: span{3, 6}, weight: 0.5},
	"srv_grey":           {affects: affectsServers, degradesServers: true, share: span{0.1, 0.2}, magnitude: span{0.3, 0.6}, duration: span{3, 7}, weight: 0.5},
	"srv_lying_health":   {affects: affectsServers, degradesServers: true, share: span{0.08, 0.15}, duration: span{4, 7}, weight: 0.4},
	"srv_flap":           {affects: affectsServers, degradesServers: true, share: span{0.08, 0.2}, duration: span{4, 7}, interval: span{0.6, 2}, weight: 0.5},
	"srv_cut":            {affects: affectsServers, share: span{0.1, 0.5}, duration: span{1.5, 6}, weight: 1},
	"replace_with_reuse": {affects: affectsServers, share: span{0.1, 0.3}, weight: 0.7},
	"scale_out":          {affects: affectsServers, planned: true, share: span{0.1, 0.4}, interval: span{0.5, 3}, weight: 0.4},
	"scale_in":           {affects: affectsServers, degradesServers: true, planned: true, share: span{0.1, 0.25}, weight: 0.7},
	"idle_race":          {affects: affectsServers, share: span{0.3, 0.6}, magnitude: span{100, 600}, duration: span{3, 6}, weight: 0.4},

	"node_kill":    {affects: affectsMachines, losesMachines: true, share: span{0.1, 0.4}, duration: span{0.5, 5}, weight: 1.6},
	"node_freeze":  {affects: affectsMachines, losesMachines: true, share: span{0.1, 0.3}, duration: span{0.5, 5}, weight: 1.2},
	"node_slow":    {affects: affectsMachines, losesMachines: true, share: span{0.1, 0.3}, magnitude: span{3, 8}, duration: span{2, 5}, weight: 0.6},
	"node_cut":     {affects: affectsMachines, losesMachines: true, share: span{0.1, 0.4}, duration: span{0.8, 6}, weight: 1.2},
	"roll_term":    {affects: affectsMachines, planned: true, losesMachines: true, share: span{0.3, 1}, magnitude: span{1, 2}, wholeMagnitude: true, interval: span{0.6, 1.5}, weight: 0.9},
	"add_nodes":    {affects: affectsMachines, planned: true, losesMachines: true, weight: 0.6},
	"herd_kill":    {affects: affectsMachines, share: span{0.3, 0.7}, duration: span{0.4, 2.5}, weight: 0.8, classlessShare: 0.4},
	"reset_conns":  {affects: affectsMachines, share: span{0.1, 0.6}, magnitude: span{0.2, 1}, weight: 0.5},
	"hup":          {affects: affectsMachines, planned: true, share: span{0.2, 1}, interval: span{0.2, 2}, weight: 0.5},
	"clock_step":   {affects: affectsNone, share: span{0.2, 0.6}, magnitude: span{500, 4000}, duration: span{2, 6}, weight: 0.5},
	"replace_core": {affects: affectsCore, losesMachines: true, magnitude: span{0.5, 3}, weight: 1},
	"core_cut":     {affects: affectsCore, losesMachines: true, duration: span{0.8, 7}, weight: 1.8, classlessShare: 0.5},

	"after_ack_kill": {affects: affectsCore, losesMachines: true, duration: span{0.8, 3}, weight: 1.2, classlessShare: 0.5},
	"after_ack_wipe": {affects: affectsCore, losesMachines: true, duration: span{0.8, 3}, weight: 1.4, classlessShare: 0.5, variants: []string{"timed"}},
	"disk_slow":      {affects: affectsDisks, losesMachines: true, magnitude: span{10, 40}, duration: span{2, 6}, weight: 0.5},
	"disk_full":      {affects: affectsDisks, losesMachines: true, duration: span{2, 6}, weight: 0.5},
	"disk_stall":     {affects: affectsDisks, losesMachines: true, duration: span{1, 5}, weight: 0.7},
	"retire":         {affects: affectsNone, planned: true, losesMachines: true, duration: span{7, 9}, weight: 0.5},

	"config_change": {affects: affectsNone, planned: true, weight: 0.8},
	"config_race":   {affects: affectsNone, planned: true, count: span{1, 4}, interval: span{0.6, 1.5}, weight: 0.5},
	"bad_config":    {affects: affectsNone, planned: true, count: span{1, 3}, interval: span{0.6, 1.2}, weight: 0.4},
	"big_config":    {affects: affectsNone, planned: true, count: span{50, 350}, weight: 0.4},
	"ack_lost":      {affects: affectsNone, magnitude: span{0.4, 0.8}, duration: span{4, 14}, weight: 0.6},
	"seed_turnover": {affects: affectsNone, planned: true, weight: 0.5},
}

// specOf returns the spec of a kind. For an unknown kind it is guessed from the kind's description in the list.
func specOf(k Kind) kindSpec {
	if s, known := kindSpecs[k.Name]; known {
		return s
	}
	return guessSpec(k.Text)
}

// guessSpec guesses the spec of a kind that was added to the bench after kindSpecs was written, from its description in the list.
func guessSpec(text string) kindSpec {
	guess := kindSpec{duration: span{2, 5}, weight: 1}
	switch {
	case strings.Contains(text, "machines"):
		guess.affects, guess.losesMachines = affectsMachines, true
	case strings.Contains(text, "disks"):
		guess.affects, guess.losesMachines = affectsDisks, true
	case strings.Contains(text, "servers"):
		guess.affects = affectsServers
	}
	if strings.Contains(text, "share (") {
		guess.share = span{0.1, 0.4}
	}
	if strings.Contains(text, "gap_s") {
		guess.interval = span{0.5, 1.5}
	}
	return guess
}

// Variants that the first paragraph of the list allows in addition to the variants of a kind.
var (
	machineSelectors = []string{"turn", "leader", "reader", "seed"}
	machineFollowUps = []string{"meet", "race", "hard", "drain"}
	serverSelectors  = []string{"across", "all"}
	cutEndings       = []string{"reset", "refuse"}
)

// busyVariant is only allowed for a rolling restart.
const busyVariant = "busy"

// wipingVariant of the kind retire makes the other machines lose their disks.
const wipingVariant = "wipe"

// finalFaults lists the possible final faults of a day and their variants.
var finalFaults = []struct {
	kind     string
	variants []string
}{
	{"power_off_all", []string{"", "taken", "all taken", "timed"}},
	{"wipe_after_ack", []string{"", "all", "timed", "oldest"}},
	{"kill_all", []string{"", "taken", "timed"}},
}
