package api

import (
	"context"
	"net"
	"net/http"

	"github.com/go-chi/chi/v5"

	"otterseam/tier/codes"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/opconfig"
)

func (a *API) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, read := readBody(w, r, maxBodyBytes)
	if !read {
		return
	}
	heartbeat, valid := decodeHeartbeat(chi.URLParam(r, "id"), body)
	if !valid {
		writeProblem(w, codes.Malformed, "the heartbeat needs service and address")
		return
	}
	if a.backend.KeepsSession(heartbeat) {
		a.acknowledgeHeartbeat(w)
		return
	}
	if !a.mayForward(w) {
		a.backend.RejectHeartbeat()
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := a.backend.Heartbeat(ctx, heartbeat)
	if a.succeeded(w, result, err) {
		a.acknowledgeHeartbeat(w)
	}
}

// decodeHeartbeat reads the heartbeat of a host.
func decodeHeartbeat(id string, body []byte) (controlclient.HostHeartbeat, bool) {
	var said opconfig.Heartbeat
	if err := said.UnmarshalJSON(body); err != nil || said.Service == "" || said.Address == "" {
		return controlclient.HostHeartbeat{}, false
	}
	host := directory.Host{
		ID: id, Service: said.Service, Address: said.Address, Zone: said.Zone, Version: said.Version,
		Slots: said.Slots, Draining: said.State == opconfig.StateDraining, Stage: said.Stage, Models: string(said.Models),
	}
	return controlclient.HostHeartbeat{Host: host, Seq: said.SeqNo}, true
}

// acknowledgeHeartbeat answers a heartbeat. A process that can keep the session asks the host to stay with it, so that hosts spread
// over the control processes and none has to pass their heartbeats on. One that has many more hosts than others names another for some
// of them, whose port is the same on all machines.
func (a *API) acknowledgeHeartbeat(w http.ResponseWriter) {
	if !a.backend.MayServe() {
		writeBody(w, http.StatusOK, a.targetAny)
		return
	}
	targetIP := a.backend.HeartbeatTarget()
	_, port, err := net.SplitHostPort(a.config.Address)
	if targetIP == "" || err != nil {
		writeBody(w, http.StatusOK, a.targetSelf)
		return
	}
	writeBody(w, http.StatusOK, targetBody(net.JoinHostPort(targetIP, port)))
}

func (a *API) deregister(w http.ResponseWriter, r *http.Request) {
	if !a.mayForward(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := a.backend.Deregister(ctx, chi.URLParam(r, "id"))
	if a.succeeded(w, result, err) {
		writeJSON(w, http.StatusOK, struct{}{})
	}
}
