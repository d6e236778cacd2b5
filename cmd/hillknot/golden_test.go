package main

import (
	"bytes"
	"encoding/json"
	"testing"

	"hillknot/internal/testutil/golden"
)

// Scripts read the line that --json prints. The files in testdata/golden were written at commit 86ccf0f.
//
// The line contains the names in the tags `json:"..."` of result ("outcome", "tries", "ms", "bytes", "unchanged", "router",
// "may_have_run", "wait_ms", "error"), and the words for outcomes that outcomeOf returns. It contains no Go name, as long as
// every field has a tag.
func TestGoldenResult(t *testing.T) {
	want := result{
		Outcome:      "failed",
		Attempts:     2,
		Milliseconds: 1.5,
		Bytes:        640,
		Unchanged:    true,
		Router:       "127.0.0.1:7000",
		MayHaveRun:   true,
		WaitMS:       250,
		Error:        "an error",
	}
	golden.Nonzero(t, want)
	var line bytes.Buffer
	if err := json.NewEncoder(&line).Encode(want); err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "result.json", line.Bytes())
	line.Reset()
	if err := json.NewEncoder(&line).Encode(result{Outcome: "served"}); err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "result-least.json", line.Bytes())
	var got result
	if err := json.Unmarshal(golden.Read(t, "result.json"), &got); err != nil || got != want {
		t.Errorf("decoded %+v, error %v; want %+v", got, err, want)
	}
}
