package api

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/opconfig"
)

// baseVersionHeader is the header with the version that an operator's change is based on.
const baseVersionHeader = "X-Base-Version"

func (a *API) replaceConfig(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxConfigBytes, configCopies)
	if !ok {
		return
	}
	base, err := strconv.ParseUint(strings.TrimSpace(r.Header.Get(baseVersionHeader)), 10, 64)
	if err != nil {
		writeProblem(w, codes.Malformed, "X-Base-Version is missing or no whole number")
		return
	}
	config, err := opconfig.Parse(body)
	if err != nil {
		writeProblem(w, codes.ConfigInvalid, err.Error())
		return
	}
	if !a.mayForward(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := a.backend.Submit(ctx, state.ReplaceConfig{Base: base, Version: config.Version, Body: body})
	if a.succeeded(w, result, err) {
		writeJSON(w, http.StatusOK, map[string]uint64{"version": config.Version})
	}
}

func (a *API) readConfig(w http.ResponseWriter, r *http.Request) {
	if !a.mayForward(w) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	result, err := a.backend.Submit(ctx, state.ReadConfig{})
	if a.succeeded(w, result, err) {
		writeBody(w, http.StatusOK, result.Body)
	}
}
