package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

// newScriptedRouter starts a fake router that reports that it is ready and passes all other requests to handle. It returns the
// router's address.
func newScriptedRouter(t *testing.T, handle func(*fakes.ClientConn, rpc.Message)) string {
	t.Helper()
	router, err := fakes.NewReadyRouter(anyPort, handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(router.Close)
	return router.Addr()
}

// runAndCapture runs a command line and returns its exit status and output.
func runAndCapture(args ...string) (status int, stdout, stderr string) {
	var out, errorOut bytes.Buffer
	status = runCommandLine(args, &out, &errorOut)
	return status, out.String(), errorOut.String()
}

// validObject is a valid name of an object.
const validObject = "7f3a9c21e0b4d655"

// Scripts depend on the exit status, so each outcome has its own.
func TestExitStatusOfEachOutcome(t *testing.T) {
	body := filepath.Join(t.TempDir(), "body")
	if err := os.WriteFile(body, []byte("order"), 0o600); err != nil {
		t.Fatal(err)
	}
	serve := func(conn *fakes.ClientConn, m rpc.Message) { conn.SendBody(m.ID, append([]byte("got "), m.Body...)) }
	fail := func(code string) func(*fakes.ClientConn, rpc.Message) {
		return func(conn *fakes.ClientConn, m rpc.Message) { conn.SendError(m.ID, code) }
	}
	reset := func(conn *fakes.ClientConn, _ rpc.Message) { conn.Reset() }
	silent := func(*fakes.ClientConn, rpc.Message) {}
	get := []string{"get", validObject}
	send := []string{"send", validObject, "--body", body}
	with := func(args []string, more ...string) []string { return append(slices.Clone(args), more...) }
	for _, c := range []struct {
		name    string
		handle  func(*fakes.ClientConn, rpc.Message)
		args    []string
		status  int
		outcome string // empty if no result is printed
	}{
		{"served", serve, get, 0, "served"},
		{"sent", serve, send, 0, "served"},
		{"refused", fail(rpc.CodeThrottled), send, 3, "refused"},
		{"unusable", fail(rpc.CodeBadRequest), send, 4, "failed"},
		{"failed", fail("Failed"), send, 5, "may have run"},
		{"broken", reset, send, 5, "may have run"},
		{"broken, safe", fail("Failed"), get, 1, "error"},
		{"late", silent, with(get, "--deadline", "400ms"), 6, "deadline over"},
		{"late order", silent, with(send, "--deadline", "400ms"), 5, "may have run"},
		{"no object", serve, []string{"get", "x"}, 2, ""},
		{"no such flag", serve, with(get, "--colour"), 2, ""},
		{"no body", serve, []string{"send", validObject, "--body", body + "x"}, 2, ""},
		{"no class", serve, with(get, "--class", ""), 2, ""},
	} {
		status, out, stderr := runAndCapture(with(c.args, "--json", "--router", newScriptedRouter(t, c.handle))...)
		if c.args[0] == "get" { // standard output has the answer
			out = stderr
		}
		var got result
		err := json.Unmarshal([]byte(out), &got)
		faulty := err != nil || got.Outcome != c.outcome || got.Attempts < 1 || got.Milliseconds <= 0
		if c.outcome != "" && faulty {
			t.Errorf("%s: result %q, error %v", c.name, out, err)
		}
		if status != c.status {
			t.Errorf("%s: status %d, want %d; %s", c.name, status, c.status, stderr)
		}
	}
	if status, out, _ := runAndCapture("get", validObject, "--router", newScriptedRouter(t, serve)); status != 0 || out != "got " {
		t.Errorf("get without a file: status %d, output %q", status, out)
	}
	if status, _, _ := runAndCapture("get", validObject); status != 2 {
		t.Errorf("no router: status %d", status)
	}
	if status, _, _ := runAndCapture("health", "--log-level", "loud", "--router", unreachableAddress); status != 2 {
		t.Errorf("no such level: status %d", status)
	}
}

// The output file exists complete or not at all, also if the answer broke off in the middle and the request was retried.
func TestGetWritesACompleteFileOrNone(t *testing.T) {
	path := filepath.Join(t.TempDir(), "score")
	complete := bytes.Repeat([]byte("score "), 30_000)
	attempts, cutAll := 0, true
	address := newScriptedRouter(t, func(conn *fakes.ClientConn, m rpc.Message) {
		answer := rpc.AppendBodyResponse(nil, m.ID, complete)
		if attempts++; attempts == 1 || cutAll {
			conn.SendRaw(bytes.ReplaceAll(answer[:100_000], []byte("score"), []byte("spoil")))
			conn.Close()
			return
		}
		conn.SendRaw(answer)
	})
	if status, _, _ := runAndCapture("get", validObject, "--router", address, "-o", path, "--deadline", "300ms"); status == 0 {
		t.Error("get succeeded with a truncated answer")
	}
	if files, err := os.ReadDir(filepath.Dir(path)); err != nil || len(files) > 0 {
		t.Errorf("files left behind: %v, error %v", files, err)
	}
	attempts, cutAll = 0, false
	status, out, stderr := runAndCapture("get", validObject, "--router", address, "-o", path, "--json", "--class", "full-score")
	if got, err := os.ReadFile(path); status != 0 || !bytes.Equal(got, complete) || attempts != 2 {
		t.Errorf("status %d, %d bytes, %d attempts, %v, %s%s", status, len(got), attempts, err, out, stderr)
	}
	t.Run("progress of two writes is shown", testProgress)
}

// testProgress checks the progress that is shown for a file that is written in two pieces.
func testProgress(t *testing.T) {
	path := filepath.Join(t.TempDir(), "score")
	var shown bytes.Buffer
	file, err := createOutputFile(path, &shown)
	if err != nil {
		t.Fatal(err)
	}
	defer file.discard()
	file.Size(100 << 10)
	for range 2 {
		if _, err := file.Write(make([]byte, 50<<10)); err != nil {
			t.Fatal(err)
		}
	}
	if want := "\r  50 of 100 kB\r 100 of 100 kB\n"; shown.String() != want {
		t.Errorf("progress %q, want %q", shown.String(), want)
	}
}

// "config check" prints every faulty key, not only the first. The router's long flags also work with a single dash.
func TestConfigCheckPrintsEveryFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	const faulty = `{"listen":"here","dns":{"listen":"there","names":["a"]},"settings":{"dcs":"e"}}`
	if err := os.WriteFile(path, []byte(faulty), 0o600); err != nil {
		t.Fatal(err)
	}
	status, out, _ := runAndCapture("config", "check", path)
	for _, key := range []string{`"listen"`, `"journal"`, `"dns.listen"`, `"settings.dcs"`} {
		if !strings.Contains(out, "key "+key) {
			t.Errorf("the fault of key %s is not reported in %q", key, out)
		}
	}
	if status != 1 {
		t.Errorf("status %d", status)
	}
	status, out, stderr := runAndCapture("config", "check", "../../example/config.json", "--operator", "../../deploy/operator.hcl")
	if status != 0 {
		t.Errorf("status %d: %s%s", status, out, stderr)
	}
	for _, args := range [][]string{
		{"-config", path},
		{"-config=" + path},
		{"serve", "--config", path},
		{"serve", "-operator", "no", "-config", path},
	} {
		if status, _, stderr := runAndCapture(args...); status != 1 || strings.Contains(stderr, "unknown") {
			t.Errorf("%v: status %d, %q", args, status, stderr)
		}
	}
}
