package api

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
)

func (a *API) beginRetirement(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxBodyBytes, 1)
	if !ok {
		return
	}
	var request struct {
		DeadlineS float64 `json:"deadline_s"`
	}
	if len(body) > 0 && json.Unmarshal(body, &request) != nil {
		writeProblem(w, codes.Malformed, "the body is no JSON object with deadline_s")
		return
	}
	if !a.mayForward(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := a.backend.Submit(ctx, state.RetireNode{Node: chi.URLParam(r, "node"), Needed: a.config.StoresNeeded})
	if a.succeeded(w, result, err) {
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (a *API) readRetirement(w http.ResponseWriter, r *http.Request) {
	if !a.mayForward(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := a.backend.RetirementState(ctx, chi.URLParam(r, "node"))
	if a.succeeded(w, result, err) {
		writeJSON(w, http.StatusOK, map[string]string{"state": string(result.Body)})
	}
}
