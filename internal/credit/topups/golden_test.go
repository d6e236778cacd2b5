package topups

import (
	"path/filepath"
	"reflect"
	"testing"

	"hillknot/internal/credit"
	"hillknot/internal/testutil/golden"
)

// Operators keep this file, and routers read it again and again: what an old line says must not change, as ledgers
// hold its hash. testdata/golden/topups.hcl is as commit 86ccf0f reads it.
//
// What reaches the bytes: the names of the tags `hcl:"..."` of file and topUp ("among", "topup", "id", "account",
// "amount"), and no name of Go.
func TestGoldenTopUps(t *testing.T) {
	got, err := Read(filepath.Join("testdata", "golden", "topups.hcl"))
	want := []credit.TopUp{
		{ID: "inv-1", Account: "acme", Amount: 25_000_001, Routers: []string{"r1", "r2"}},
		{ID: "inv/2", Account: "ünion", Amount: -500_000, Routers: []string{"r3"}},
		{ID: "inv-3", Account: "acme", Amount: 1_000_000_000_000_000, Routers: []string{"r1", "r2"}},
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v; want %+v", got, err, want)
	}
	golden.Nonzero(t, want[0])
}
