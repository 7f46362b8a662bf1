// Package operatorconfig reads the file in which an operator says what an installation wants beyond its settings: what is on,
// and how much it may use. It must never know what the parts do with it.
package operatorconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
)

// Variable names the file; without it all is as if nothing was wished.
const Variable = "EDGE_OPERATOR"

// Wishes are what the file holds.
type Wishes struct {
	Membership struct {
		On   bool    `json:"on"`   // api gateways find out who of them is there
		Mail float64 `json:"mail"` // part of the mail that one takes in which this may use in quiet times; 0.1 where it isn't given
	} `json:"membership"`
	Overload struct {
		On bool `json:"on"` // what all api gateways do while hosts don't answer is bounded as a sum
	} `json:"overload"`
	Copies struct {
		Keepers []string `json:"keepers"` // addresses at which keepers hear api gateways; none: nothing is held elsewhere
		Counts  bool     `json:"counts"`  // counts and debts are held by them, in place of the counter service
		Marks   bool     `json:"marks"`   // before a delivery that must not run twice its mark is held by them
		Use     bool     `json:"use"`     // what customers have used is held by them until it is billed
	} `json:"copies"`
}

// Members is the part of the mail that membership may use; 0: it is off.
func (w *Wishes) Members() float64 {
	if !w.Membership.On {
		return 0
	}
	return w.Membership.Mail
}

// Read reads the file that the environment names.
func Read() (w Wishes, err error) {
	w.Membership.Mail = 0.1
	path := os.Getenv(Variable)
	if path == "" {
		return w, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return w, fmt.Errorf("operator's file: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields() // a wish that is misspelt would be one that is silently not followed
	if err := d.Decode(&w); err != nil {
		return w, fmt.Errorf("operator's file %s: %w", path, err)
	}
	for _, a := range w.Copies.Keepers {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return w, fmt.Errorf("operator's file %s: copies.keepers: %w", path, err)
		}
	}
	if held := w.Copies.Counts || w.Copies.Marks || w.Copies.Use; held != (len(w.Copies.Keepers) > 0) {
		return w, fmt.Errorf("operator's file %s: copies wants keepers, and something for them to hold: counts, marks or use", path)
	}
	if w.Membership.Mail < 0.01 || w.Membership.Mail > 0.5 {
		return w, fmt.Errorf("operator's file %s: membership.mail is %g; a part from 0.01 to 0.5 is wanted", path, w.Membership.Mail)
	}
	return w, nil
}
