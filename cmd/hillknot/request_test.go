package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

// script plays a router that is ready and does as told with all else.
func script(t *testing.T, handle func(*fakes.Peer, rpc.Message)) string {
	t.Helper()
	r, err := fakes.NewReadyRouter("127.0.0.1:0", handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r.Addr()
}

// say runs a command line.
func say(args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = runCommandLine(args, &o, &e)
	return status, o.String(), e.String()
}

const some = "7f3a9c21e0b4d655"

// Scripts go by the exit status: each outcome has its own.
func TestExitStatus(t *testing.T) {
	body := filepath.Join(t.TempDir(), "body")
	if err := os.WriteFile(body, []byte("order"), 0o600); err != nil {
		t.Fatal(err)
	}
	serve := func(p *fakes.Peer, m rpc.Message) { p.SendBody(m.ID, append([]byte("got "), m.Body...)) }
	word := func(w string) func(*fakes.Peer, rpc.Message) {
		return func(p *fakes.Peer, m rpc.Message) { p.SendError(m.ID, w) }
	}
	for _, c := range []struct {
		name   string
		handle func(*fakes.Peer, rpc.Message)
		args   []string
		status int
		words  string
	}{
		{"served", serve, []string{"get", some}, 0, "served"},
		{"sent", serve, []string{"send", some, "--body", body}, 0, "served"},
		{"refused", word(rpc.CodeThrottled), []string{"send", some, "--body", body}, 3, "refused"},
		{"unusable", word(rpc.CodeBadRequest), []string{"send", some, "--body", body}, 4, "failed"},
		{"failed", word("Failed"), []string{"send", some, "--body", body}, 5, "may have run"},
		{"broken", func(p *fakes.Peer, m rpc.Message) { p.Reset() }, []string{"send", some, "--body", body}, 5, "may have run"},
		{"broken, safe", word("Failed"), []string{"get", some}, 1, "error"},
		{"late", func(*fakes.Peer, rpc.Message) {}, []string{"get", some, "--deadline", "400ms"}, 6, "deadline over"},
		{"late order", func(*fakes.Peer, rpc.Message) {}, []string{"send", some, "--body", body, "--deadline", "400ms"}, 5, "may have run"},
		{"no object", serve, []string{"get", "x"}, 2, ""},
		{"no such flag", serve, []string{"get", some, "--colour"}, 2, ""},
		{"no body", serve, []string{"send", some, "--body", body + "x"}, 2, ""},
		{"no class", serve, []string{"get", some, "--class", ""}, 2, ""},
	} {
		args := append(c.args, "--json", "--router", script(t, c.handle))
		status, out, errs := say(args...)
		if c.args[0] == "get" { // the answer has standard output
			out = errs
		}
		var r result
		if err := json.Unmarshal([]byte(out), &r); c.words != "" && (err != nil || r.Outcome != c.words || r.Attempts < 1 || r.Milliseconds <= 0) {
			t.Errorf("%s: %q, %v", c.name, out, err)
		}
		if status != c.status {
			t.Errorf("%s: status %d, want %d; %s", c.name, status, c.status, errs)
		}
	}
	if status, out, _ := say("get", some, "--router", script(t, serve)); status != 0 || out != "got " {
		t.Errorf("status %d, %q", status, out)
	}
	if status, _, _ := say("get", some); status != 2 {
		t.Errorf("no router: status %d", status)
	}
	if status, _, _ := say("health", "--log-level", "loud", "--router", "127.0.0.1:9"); status != 2 {
		t.Errorf("no such level: status %d", status)
	}
}

// A file is there whole or not at all, also where the answer broke off in its middle and was fetched again.
func TestGetToFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "score")
	whole := bytes.Repeat([]byte("score "), 30_000)
	tries, spoil := 0, true
	addr := script(t, func(p *fakes.Peer, m rpc.Message) {
		all := rpc.AppendBodyResponse(nil, m.ID, whole)
		if tries++; tries == 1 || spoil {
			p.SendRaw(bytes.ReplaceAll(all[:100_000], []byte("score"), []byte("spoil")))
			p.Close()
			return
		}
		p.SendRaw(all)
	})
	if status, _, _ := say("get", some, "--router", addr, "-o", path, "--deadline", "300ms"); status == 0 {
		t.Error("a cut answer was taken")
	}
	if files, err := os.ReadDir(filepath.Dir(path)); err != nil || len(files) > 0 {
		t.Errorf("left behind: %v, %v", files, err)
	}
	tries, spoil = 0, false
	status, out, errs := say("get", some, "--router", addr, "-o", path, "--json", "--class", "full-score")
	if got, err := os.ReadFile(path); status != 0 || !bytes.Equal(got, whole) || tries != 2 {
		t.Errorf("status %d, %d bytes, %d tries, %v, %s%s", status, len(got), tries, err, out, errs)
	}
	var shown bytes.Buffer
	f, err := createOutputFile(path, &shown)
	if err != nil {
		t.Fatal(err)
	}
	defer f.discard()
	f.Size(100 << 10)
	for range 2 {
		if _, err := f.Write(make([]byte, 50<<10)); err != nil {
			t.Fatal(err)
		}
	}
	if want := "\r  50 of 100 kB\r 100 of 100 kB\n"; shown.String() != want {
		t.Errorf("progress %q, want %q", shown.String(), want)
	}
}

// Every faulty key is told, not the first alone; the router's flags go on working behind one dash.
func TestCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"listen":"here","dns":{"listen":"there","names":["a"]},"settings":{"dcs":"e"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	status, out, _ := say("config", "check", path)
	for _, key := range []string{`"listen"`, `"journal"`, `"dns.listen"`, `"settings.dcs"`} {
		if !strings.Contains(out, "key "+key) {
			t.Errorf("key %s is not told of in %q", key, out)
		}
	}
	if status != 1 {
		t.Errorf("status %d", status)
	}
	if status, out, errs := say("config", "check", "../../example/config.json", "--operator", "../../deploy/operator.hcl"); status != 0 {
		t.Errorf("status %d: %s%s", status, out, errs)
	}
	for _, args := range [][]string{{"-config", path}, {"-config=" + path}, {"serve", "--config", path}, {"serve", "-operator", "no", "-config", path}} {
		if status, _, errs := say(args...); status != 1 || strings.Contains(errs, "unknown") {
			t.Errorf("%v: status %d, %q", args, status, errs)
		}
	}
}
