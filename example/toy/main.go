// Command toy plays, on loopback, what stands round an api gateway: discovery, the counter and two hosts. It is there
// for trying otterseam out and is no model of a real one.
package main

import (
	"fmt"
	"log"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

var hosts = []string{"127.0.0.1:9001", "127.0.0.1:9002"}

func main() {
	for _, addr := range hosts {
		go serve(addr, host(addr))
	}
	go serve("127.0.0.1:6400", counter())
	fmt.Println("toy: hosts on 9001 and 9002, counter on 6400, discovery on 8500")
	serve("127.0.0.1:8500", http.HandlerFunc(discovery))
}

func serve(addr string, h http.Handler) { log.Fatal(http.ListenAndServe(addr, h)) }

// host takes 10 to 40 ms for an answer.
func host(addr string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(10+rand.IntN(30)) * time.Millisecond)
		fmt.Fprintf(w, "%s %s from %s\n", r.Method, r.URL, addr)
	})
}

// counter adds an amount to a name; a name is forgotten at the end of its life.
func counter() http.Handler {
	var mu sync.Mutex
	sums := map[string]float64{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		by, err := strconv.ParseFloat(r.FormValue("by"), 64)
		life, bad := strconv.Atoi(r.FormValue("expire_ms"))
		if err != nil || bad != nil {
			http.Error(w, "by and expire_ms are numbers", http.StatusBadRequest)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		name := r.URL.Path
		if _, known := sums[name]; !known {
			time.AfterFunc(time.Duration(life)*time.Millisecond, func() {
				mu.Lock()
				defer mu.Unlock()
				delete(sums, name)
			})
		}
		sums[name] += by
		fmt.Fprint(w, sums[name])
	})
}

// discovery tells the list once; a watch then gets an empty line every 2 s.
func discovery(w http.ResponseWriter, r *http.Request) {
	list := ""
	for i, addr := range hosts {
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf(`{"id":"host-%d","addr":%q,"zone":"hall-1","kind":"toy","cell":0,"state":"Ready","weight":1,"started_ms":0}`,
			i+1, addr)
	}
	fmt.Fprintf(w, `{"version":1,"full":true,"servers":[%s]}`+"\n", list)
	for r.FormValue("watch") == "1" {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			fmt.Fprintln(w)
		}
	}
}
