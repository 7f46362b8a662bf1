package tiercluster

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// callTimeout limits a request including the reading of its response.
const callTimeout = 6 * time.Second

// Response is the outcome of a request.
type Response struct {
	Status int
	Header http.Header
	Body   string
	Err    error // no response, or an incomplete one
}

// Call sends one request on a new connection. host is the request's Host field.
func Call(method, url, host string, header map[string]string, body string) Response {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	request.Host = host
	request.Close = true
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return Response{Err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: string(text), Err: err}
}
