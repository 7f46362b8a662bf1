package tierhost

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	heartbeatRetry    = 20 * time.Millisecond // pause after a heartbeat that wasn't acknowledged
	heartbeatTimeout  = time.Second
)

// heartbeat is the body of a host's heartbeat request to control.
type heartbeat struct {
	Address        string `json:"address"`
	ColdLeftMS     int    `json:"cold_left_ms"`
	SequenceNumber uint64 `json:"seq_no"`
	Service        string `json:"service"`
	Slots          int    `json:"slots"`
	State          string `json:"state"`
	Version        string `json:"version"`
	Zone           string `json:"zone"`
}

// heartbeatLoop sends heartbeats to one control address until a heartbeat fails there, then to the next address.
func (h *Host) heartbeatLoop(ctx context.Context) {
	client := &http.Client{Timeout: heartbeatTimeout}
	for next := 0; ctx.Err() == nil; {
		wait := heartbeatRetry
		if controls := h.Controls(); len(controls) > 0 {
			if h.sendHeartbeat(client, controls[next%len(controls)]) {
				wait = heartbeatInterval
			} else {
				next++
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// sendHeartbeat sends a heartbeat and reports whether control acknowledged it.
func (h *Host) sendHeartbeat(client *http.Client, control string) bool {
	body, err := json.Marshal(h.nextHeartbeat())
	if err != nil {
		return false
	}
	response, err := client.Post("http://"+control+"/v1/instances/"+h.ID+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // so that the connection can be reused
	return response.StatusCode == http.StatusOK
}

func (h *Host) nextHeartbeat() heartbeat {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequenceNumber++
	return heartbeat{
		Service:        h.Service,
		Address:        h.Address,
		Zone:           "zone-a",
		Version:        "v1",
		Slots:          h.Slots,
		State:          "ready",
		SequenceNumber: h.sequenceNumber,
	}
}
