package topups

import (
	"path/filepath"
	"reflect"
	"testing"

	"hillknot/internal/credit"
	"hillknot/internal/testutil/golden"
)

// Operators keep this file, and routers read it repeatedly: the meaning of an old top-up must not change, because ledgers
// hold its hash. The expected values are those that commit 86ccf0f reads from testdata/golden/topups.hcl.
//
// The format depends on the names in the tags `hcl:"..."` of fileContent and topUp ("among", "topup", "id", "account",
// "amount"), and on no Go name.
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
