package resources

import (
	"os"
	"testing"
)

// Each value is reported, and follows what the process does.
func TestReadReportsWhatTheProcessUses(t *testing.T) {
	before := Read()
	if before.ResidentBytes <= 0 || before.PeakBytes < before.ResidentBytes/2 || before.HeapBytes <= 0 || before.Goroutines < 2 {
		t.Errorf("implausible usage: %+v", before)
	}
	const blockBytes = 32 << 20
	block := make([]byte, blockBytes)
	for i := range block {
		block[i] = 1
	}
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() { <-stop }()
	after := Read()
	if grown := after.ResidentBytes - before.ResidentBytes; grown < blockBytes/2 {
		t.Errorf("resident memory grew by %d bytes, want about %d", grown, blockBytes)
	}
	if after.HeapBytes-before.HeapBytes < blockBytes/2 || after.PeakBytes < blockBytes {
		t.Errorf("heap or peak did not grow: before %+v, after %+v", before, after)
	}
	if after.Descriptors != before.Descriptors+1 || after.Goroutines != before.Goroutines+1 {
		t.Errorf("descriptors or goroutines did not grow by one: before %+v, after %+v", before, after)
	}
	if block[len(block)-1] != 1 {
		t.Error("the block is not kept")
	}
}
