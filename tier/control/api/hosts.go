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
	body, ok := readBody(w, r, maxBodyBytes, 1)
	if !ok {
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

// decodeHeartbeat decodes the heartbeat of a host. It returns false if the body is malformed or lacks service or address.
func decodeHeartbeat(id string, body []byte) (controlclient.HostHeartbeat, bool) {
	var decoded opconfig.Heartbeat
	if err := decoded.UnmarshalJSON(body); err != nil || decoded.Service == "" || decoded.Address == "" {
		return controlclient.HostHeartbeat{}, false
	}
	host := directory.Host{
		ID: id, Service: decoded.Service, Address: decoded.Address, Zone: decoded.Zone, Version: decoded.Version,
		Slots: decoded.Slots, Draining: decoded.State == opconfig.StateDraining, Stage: decoded.Stage, Models: string(decoded.Models),
	}
	return controlclient.HostHeartbeat{Host: host, Seq: decoded.SeqNo}, true
}

// acknowledgeHeartbeat responds to a heartbeat with the target of the next one. A process with a lease names itself, so that hosts are
// distributed over the control processes and the heartbeats need no forwarding. A process with many more hosts than others names
// another process for some of them. The port is the same on all machines.
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
