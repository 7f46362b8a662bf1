// Command recorder wrote tier-1895881.tar.gz and tier-1895881.json: the data folders of a whole small tier, and what that tier had
// acknowledged when all its processes were killed at once. It belongs to commit 1895881 and is kept as it ran there:
//
//	git checkout 1895881 (with this folder laid over it)
//	go build -o /tmp/ottertier ./cmd/ottertier
//	go run ./lab/tierrig/testdata/recorder /tmp/ottertier /tmp/recorded lab/tierrig/testdata
package main

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"otterseam/lab/tierhost"
	"otterseam/lab/tierrig"
)

const (
	limit       = 60 * time.Second
	network     = 250
	fillBytes   = 60_000
	fillWorkers = 8
	padding     = 100_000
	openTokens  = 3_000
)

type host struct {
	ID, Service, Address string
}

type program struct {
	Name     string
	Spent    int
	LastTurn string // its newest kept turn
	Chain    string // what a turn that goes on from it is given
}

type recording struct {
	Commit       string
	Version      uint64
	Config       string
	Hosts        []host
	Deregistered string
	Programs     []program
	Retired      []string // retirement read back as completed
	Retiring     []string // retirement just begun
	Rewritten    []string // data folders whose journal was rewritten as a snapshot
}

// config keeps turns of /chat/ for a hundred years and those of /fill/ for a second.
func config(version uint64) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"chat","host":"try.example","path_prefix":"/chat/","route_type":"streaming","timeout_ms":20000,"target_ms":250,"priority":0,
  "service":"engine","max_attempts":2,"retained":true,"keep_s":3153600000,"sticky":true,"resumable":false,"gap_aim_ms":400},
 {"name":"fill","host":"try.example","path_prefix":"/fill/","route_type":"streaming","timeout_ms":5000,"target_ms":250,"priority":1,
  "service":"engine","max_attempts":2,"retained":true,"keep_s":1},
 {"name":"lookup","host":"try.example","path_prefix":"/lookup/","route_type":"safe","timeout_ms":1200,"target_ms":150,"priority":2,
  "service":"records","max_attempts":2},
 {"name":"slow","host":"try.example","path_prefix":"/slow/","route_type":"streaming","timeout_ms":20000,"target_ms":250,"priority":1,
  "service":"slow","max_attempts":1,"retained":true,"keep_s":3153600000}],
 "services":[{"name":"slow","health_path":"/health","max_conns":96,"protocol":"h1"},
  {"name":"engine","health_path":"/health","max_conns":230,"protocol":"h1","engine":{"slots":32,"kv_tokens":200000,"stride":3}},
  {"name":"records","health_path":"/health","max_conns":96,"protocol":"h1"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version)
}

func must(err error, what ...any) {
	if err != nil {
		fmt.Fprintln(os.Stderr, append(what, err)...)
		os.Exit(1)
	}
}

func want(so bool, what ...any) {
	if !so {
		must(fmt.Errorf("not as wanted"), what...)
	}
}

type recorder struct {
	rig     *tierrig.Rig
	dir     string
	mu      sync.Mutex
	next    int
	version uint64
}

func main() {
	binary, dir, out := os.Args[1], os.Args[2], os.Args[3]
	must(os.RemoveAll(dir))
	must(os.MkdirAll(dir, 0o755))
	rig, err := tierrig.Start(tierrig.Options{Program: binary, Dir: dir, Network: network, Fronts: 2, Controls: 3, Stores: 4, Tolerate: 1})
	must(err)
	defer rig.Stop()
	r := &recorder{rig: rig, dir: dir}
	result := recording{Commit: "1895881"}
	for i, h := range []host{{"engine-1", "engine", ""}, {"engine-2", "engine", ""}, {"records-1", "records", ""}, {"records-2", "records", ""}} {
		h.Address = fmt.Sprintf("127.0.%d.1:%d", network, 9001+i)
		started := &tierhost.Host{ID: h.ID, Service: h.Service, Slots: 8, Controls: rig.Controls}
		must(started.Start(h.Address))
		rig.Hosts = append(rig.Hosts, started)
		if h.ID == "records-2" {
			result.Deregistered = h.ID
			continue
		}
		result.Hosts = append(result.Hosts, h)
	}
	slow := host{"slow-1", "slow", fmt.Sprintf("127.0.%d.1:9008", network)}
	beats := &tierhost.Host{ID: slow.ID, Service: slow.Service, Slots: 8, Controls: rig.Controls}
	must(beats.Start(fmt.Sprintf("127.0.%d.1:9009", network)))
	beats.Address = slow.Address // where another server listens
	rig.Hosts = append(rig.Hosts, beats)
	go func() { must(http.ListenAndServe(slow.Address, http.HandlerFunc(answerSlowly))) }()
	result.Hosts = append(result.Hosts, slow)
	r.replace(config(1))
	must(rig.WaitReady(limit), "ready")
	must(tierrig.Until(limit, func() bool { return r.hosts() == 5 }), "hosts")
	old := r.oldestSegments()

	// records-2 goes for good
	rig.Hosts[3].Stop()
	got := r.operator("/v1/instances/records-2/deregister", "")
	fmt.Println("deregister:", got.Status, got.Body)

	result.Programs = r.programs(24)
	fmt.Println("programs written")

	// retirement of a store, to its end
	got = r.operator("/v1/retire/storage-4/begin", `{"deadline_s":10}`)
	want(got.Status == http.StatusOK, "retire", got)
	must(tierrig.Until(limit, func() bool { return strings.Contains(r.read("/v1/retire/storage-4/read").Body, "completed") }), "retired")
	result.Retired = []string{"storage-4"}
	fmt.Println("retired")

	// journals that were rewritten: in control by padded configurations, in stores by turns with long bodies
	for !r.rewritten(old, "core-") {
		r.replace(config(r.version+1) + strings.Repeat(" ", padding))
	}
	fmt.Println("control's journals were rewritten, version", r.version)
	for !r.rewritten(old, "storage-1", "storage-2", "storage-3") {
		r.fill(100)
	}
	fmt.Println("stores' journals were rewritten")

	// a member of control that caught up from nothing
	machine := rig.Machine("core-2")
	machine.Kill()
	must(rig.Wipe(machine))
	must(rig.StartMachine(machine))
	must(tierrig.Until(limit, func() bool { return rig.InSync(2) && r.controlInSync(3) }), "copies")

	result.Programs = append(result.Programs, r.more(24, 8)...)
	r.replace(config(r.version + 1))
	result.Version, result.Config = r.version, config(r.version)
	for _, p := range result.Programs { // refused, which is acknowledged too
		got := r.turn(p.Name, "", fmt.Sprint(p.Spent), 3, "x")
		want(got.Status == http.StatusPaymentRequired, p, got)
	}
	must(tierrig.Until(limit, func() bool { return rig.InSync(2) && r.controlInSync(3) }), "copies")
	result.Rewritten = r.changedFolders(old)

	open := r.goOn(program{Name: "open"}, 3)
	open.Spent += openTokens
	result.Programs = append(result.Programs, open)
	r.openTurn(func() {
		got = r.operator("/v1/retire/storage-3/begin", `{"deadline_s":10}`)
		want(got.Status == http.StatusOK, "retire", got)
	})
	result.Retiring = []string{"storage-3"}
	for _, m := range slices.Backward(rig.Machines) { // fronts first
		m.Kill()
	}
	text, err := json.MarshalIndent(result, "", " ")
	must(err)
	must(os.WriteFile(filepath.Join(out, "tier-1895881.json"), append(text, '\n'), 0o644))
	must(pack(filepath.Join(dir, "data"), filepath.Join(out, "tier-1895881.tar.gz")))
}

func (r *recorder) hosts() int {
	state, err := r.rig.Status()
	if err != nil {
		return 0
	}
	return len(state.Hosts)
}

func (r *recorder) controlInSync(copies int) bool {
	state, err := r.rig.Status()
	return err == nil && len(state.Control.InSync) == copies && len(state.Control.Members) == copies && len(state.Control.Previous) == 0
}

func (r *recorder) replace(text string) {
	got := r.rig.Replace(r.version, text, limit)
	want(got.Err == nil && got.Status == http.StatusOK, "replace", r.version, got)
	r.version++
}

func (r *recorder) operator(path, body string) tierrig.Answer {
	return tierrig.Call(http.MethodPost, "http://"+r.rig.Controls()[0]+path, "", nil, body)
}

func (r *recorder) read(path string) tierrig.Answer {
	return tierrig.Call(http.MethodGet, "http://"+r.rig.Controls()[0]+path, "", nil, "")
}

func (r *recorder) id() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return fmt.Sprintf("5eed%06x", r.next)
}

// turn asks until it isn't refused with a promise; the answer's header holds the request's id.
func (r *recorder) turn(program, previous, budget string, tokens int, body string) tierrig.Answer {
	return r.turnOn("/chat/x", program, previous, budget, tokens, body)
}

func (r *recorder) turnOn(path, program, previous, budget string, tokens int, body string) tierrig.Answer {
	var got tierrig.Answer
	err := tierrig.Until(limit, func() bool {
		id := r.id()
		header := map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "5000", "Program": program, "Session": "session of " + program, "X-Token-Count": fmt.Sprintf("10,%d", tokens)}
		if previous != "" {
			header["Previous"] = previous
		}
		if budget != "" {
			header["Budget"] = budget
		}
		got = tierrig.Call(http.MethodPost, "http://"+r.rig.Fronts()[int(id[len(id)-1])%2]+path, "try.example", header, body)
		if got.Header == nil {
			got.Header = http.Header{}
		}
		got.Header.Set("X-Request-Id", id)
		return got.Err == nil && got.Status != http.StatusServiceUnavailable && got.Status < 500
	})
	must(err, program, got)
	return got
}

// programs have one to three kept turns each.
func (r *recorder) programs(count int) []program {
	var all []program
	for i := range count {
		p := program{Name: fmt.Sprintf("program-%d", i)}
		for turn := range 1 + i%3 {
			p = r.goOn(p, 3*(1+turn+i%2))
		}
		all = append(all, p)
	}
	return all
}

// more are programs of one turn, written after the snapshots.
func (r *recorder) more(from, count int) []program {
	var all []program
	for i := range count {
		all = append(all, r.goOn(program{Name: fmt.Sprintf("program-%d", from+i)}, 6))
	}
	return all
}

// goOn adds a turn of a number of tokens, a multiple of those of an event. Its estimate is a token higher, so that what was
// charged in the end differs from it.
func (r *recorder) goOn(p program, tokens int) program {
	body := fmt.Sprintf("turn of %s, %d spent before ", p.Name, p.Spent)
	got := r.turn(p.Name, p.LastTurn, "1000000", tokens+1, body)
	want(got.Status == http.StatusOK, p, got)
	p.Spent += tokens
	p.LastTurn = got.Header.Get("X-Request-Id")
	p.Chain += body
	for event := range tokens / 3 {
		p.Chain += fmt.Sprintf("e%d\n", event+1)
	}
	return p
}

// fill writes turns that are soon forgotten.
func (r *recorder) fill(count int) {
	var all sync.WaitGroup
	body := strings.Repeat("filling ", fillBytes/8)
	for worker := range fillWorkers {
		all.Go(func() {
			for i := range count / fillWorkers {
				got := r.turnOn("/fill/x", fmt.Sprintf("fill-%d-%d", worker, i), "", "", 3, body)
				want(got.Status == http.StatusOK, "fill", got)
			}
		})
	}
	all.Wait()
}

// openTurn begins a turn that is under way when all processes are killed; the estimate of its tokens counts as spent.
func (r *recorder) openTurn(before func()) {
	conn, err := net.Dial("tcp", r.rig.Fronts()[0])
	must(err)
	before()
	_, err = fmt.Fprintf(conn, "POST /slow/x HTTP/1.1\r\nHost: try.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\nProgram: open\r\nSession: s\r\n"+
		"Budget: 9000000\r\nX-Token-Count: 10,%d\r\nContent-Length: 1\r\n\r\nx", r.id(), openTokens)
	must(err)
	start := make([]byte, 1024)
	n, err := io.ReadAtLeast(conn, start, 100)
	must(err)
	want(bytes.Contains(start[:n], []byte("200 OK")), string(start[:n]))
}

// answerSlowly sends an event and then nothing more.
func answerSlowly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal-slow-1")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: e1\n\n")
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

func (r *recorder) oldestSegments() map[string]string {
	oldest := map[string]string{}
	must(filepath.WalkDir(filepath.Join(r.dir, "data"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasPrefix(entry.Name(), "segment") {
			return nil // files go while journals are rewritten
		}
		if folder := filepath.Dir(path); oldest[folder] == "" || entry.Name() < oldest[folder] {
			oldest[folder] = entry.Name()
		}
		return nil
	}))
	return oldest
}

func (r *recorder) changedFolders(old map[string]string) []string {
	var all []string
	for folder, name := range r.oldestSegments() {
		if name > old[folder] && old[folder] != "" {
			relative, err := filepath.Rel(filepath.Join(r.dir, "data"), folder)
			must(err)
			all = append(all, relative)
		}
	}
	slices.Sort(all)
	return all
}

func (r *recorder) rewritten(old map[string]string, machines ...string) bool {
	changed := r.changedFolders(old)
	for folder := range old {
		relative, _ := filepath.Rel(filepath.Join(r.dir, "data"), folder)
		for _, machine := range machines {
			if strings.HasPrefix(relative, machine) && !slices.Contains(changed, relative) {
				return false
			}
		}
	}
	return true
}

func pack(from, to string) error {
	file, err := os.Create(to)
	if err != nil {
		return err
	}
	zip, _ := gzip.NewWriterLevel(file, gzip.BestCompression)
	archive := tar.NewWriter(zip)
	if err := archive.AddFS(os.DirFS(from)); err != nil {
		return err
	}
	if err := archive.Close(); err != nil {
		return err
	}
	if err := zip.Close(); err != nil {
		return err
	}
	return file.Close()
}
