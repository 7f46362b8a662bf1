package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
)

// What a run of the case "shrink" sets after the page of the site tamsui-results-grown.
const (
	shrinkCores    = 5
	shrinkStores   = 5
	shrinkTolerate = 2
	shrinkRecovery = 15 * time.Second
	shrinkContact  = 4 * time.Second

	coresDark = 6100 * time.Millisecond // two machines of the core are down for so long
)

// playShrink: two of five machines of the core are down for some seconds, their disks stay. As they come back, the final fault takes the
// disks of two others, and the power of all others that count for a second.
func playShrink(r *record, trouble bool) (broken bool, err error) {
	dark := coresDark
	if seconds, err := strconv.ParseFloat(os.Getenv("DARK_S"), 64); err == nil {
		dark = time.Duration(seconds * float64(time.Second))
	}
	var t *tier
	play := losses{
		cores: shrinkCores, stores: shrinkStores, tolerate: shrinkTolerate, recovery: shrinkRecovery,
		disrupt: func(of *tier) error {
			t = of
			cores := t.ofClass("core")
			if trouble {
				t.kill(cores[3])
				t.kill(cores[4])
				time.Sleep(dark)
			}
			if err := t.replaceConfig(1, config(2, 5000, keep.Seconds())); err != nil {
				return err
			}
			if !trouble {
				return nil
			}
			counted := append(append([]*machine{}, cores[:3]...), t.ofClass("storage")...)
			for _, m := range counted {
				t.kill(m)
			}
			if err := t.startAll(cores[3:]); err != nil {
				return err
			}
			for _, m := range cores[:2] {
				if err := t.wipe(m); err != nil {
					return err
				}
			}
			time.Sleep(time.Second)
			return t.startAll(counted)
		},
		after: func() bool { return t.readsConfig(2) },
	}
	return playLosses(r, play)
}

// readsConfig asks for the configuration for contact_ms, as the operator does at the end of a day, and reports whether one answer has
// the version, and none an older one.
func (t *tier) readsConfig(version uint64) bool {
	client := &http.Client{Timeout: time.Second}
	asked, newest, older := 0, 0, 0
	last := "no answer"
	for began := time.Now(); time.Since(began) < shrinkContact; time.Sleep(100 * time.Millisecond) {
		control := t.controls()[asked%shrinkCores]
		asked++
		response, err := client.Get("http://" + control + "/v1/config/read")
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		last = fmt.Sprint(response.StatusCode, " ", string(body[:min(len(body), 100)]))
		var read struct {
			Version uint64 `json:"version"`
		}
		switch {
		case response.StatusCode != http.StatusOK || json.Unmarshal(body, &read) != nil:
		case read.Version >= version:
			newest++
		default:
			older++
		}
	}
	t.record.say("the operator asked %d times for the configuration: version %d or newer %d times, an older one %d times; the last answer: %s",
		asked, version, newest, older, last)
	return newest > 0 && older == 0
}
