package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// raw sends bytes on one connection and returns the answers until the connection is silent or closed.
func raw(front, text string) []string {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return []string{err.Error()}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return []string{err.Error()}
	}
	var answers []string
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		body, _ := io.ReadAll(response.Body)
		answers = append(answers, fmt.Sprintf("%d X-Request-Id %q body %q", response.StatusCode, response.Header.Get("X-Request-Id"), shorten(string(body))))
	}
}

// plainRequest returns a request on the route for plain hosts.
func plainRequest(id, path, lengths, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + routeHost + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 2000\r\n" + lengths + "\r\n" + body
}

// hidden: a client sends a request with both Content-Length and Transfer-Encoding, whose body by the length holds another request.
func hidden(b *Bench) error {
	if err := b.begin(); err != nil {
		return err
	}
	if err := b.Cluster.StartHost(&Host{ID: "i-records1", Service: "records"}, b.Runs); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	front := b.Cluster.Fronts()[0]
	for _, way := range []string{"alone", "behind another request", "with a bare line feed"} {
		for range 5 {
			first, outer, inner := newID(), newID(), "f"+newID()[1:]
			hiddenText := plainRequest(inner, "/issue/hidden", "Content-Length: 0\r\n", "")
			body := "0\r\n\r\n" + hiddenText
			length := fmt.Sprintf("Content-Length: %d", len(body))
			lengths := length + "\r\nTransfer-Encoding: chunked\r\n"
			text := ""
			switch {
			case !b.Trouble:
				lengths = length + "\r\n"
			case way == "with a bare line feed":
				lengths = length + "\nTransfer-Encoding: chunked\r\n"
			}
			if way == "behind another request" {
				text = plainRequest(first, "/issue/first", "Content-Length: 0\r\n", "")
			}
			text += plainRequest(outer, "/issue/outer", lengths, body)
			b.Record.Event("%s: a client sends on one connection\n%s", way, strings.ReplaceAll(text, "\r", "<CR>"))
			for _, answer := range raw(front, text) {
				b.Record.Event("%s: the client gets %s", way, answer)
			}
			if runs := b.Runs.Of(inner); len(runs) > 0 {
				b.Judge.breach("UNASKED", "%s: %s ran %s, which was hidden in the body of %s", way, runs[0].Host, inner, outer)
			}
			for _, run := range b.Runs.Of(outer) {
				if !b.Trouble && run.Body != body {
					b.Judge.breach("UNASKED", "%s ran with the body %q", outer, run.Body)
				}
			}
			if !b.Trouble && len(b.Runs.Of(outer)) == 0 {
				return fmt.Errorf("the plain request %s did not run", outer)
			}
		}
	}
	return nil
}
