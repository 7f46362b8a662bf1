package tiercluster

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// callTimeout ends a request and the reading of its response.
const callTimeout = 6 * time.Second

// Response is what a request got.
type Response struct {
	Status int
	Header http.Header
	Body   string
	Err    error // there is no response, or it broke off
}

// Call sends one request on a connection of its own. host is its Host field.
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
