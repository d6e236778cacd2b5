// Package topups reads the file in which an operator writes down what customers have paid.
package topups

import (
	"fmt"
	"math"
	"os"

	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"hillknot/internal/credit"
)

// sizeMost bounds the file.
const sizeMost = 16 << 20

type file struct {
	Among  []string `hcl:"among,optional"` // for top-ups that say nothing else
	Topups []topup  `hcl:"topup,block"`
}

type topup struct {
	ID      string   `hcl:"id,label"`
	Account string   `hcl:"account"`
	Amount  float64  `hcl:"amount"` // credits
	Among   []string `hcl:"among,optional"`
}

// amountMost is how many credits one top-up may have: within it a number in the file is exact to a millionth.
const amountMost = 1e9

// Read reads the file, which is HCL. Errors name file, line and column.
func Read(path string) (list []credit.TopUp, err error) {
	if info, err := os.Stat(path); err == nil && info.Size() > sizeMost {
		return nil, fmt.Errorf("top-ups %s: over %d bytes", path, sizeMost)
	}
	f, diags := hclparse.NewParser().ParseHCLFile(path)
	if diags.HasErrors() {
		return nil, fmt.Errorf("top-ups: %w", diags)
	}
	var all file
	if diags := gohcl.DecodeBody(f.Body, nil, &all); diags.HasErrors() {
		return nil, fmt.Errorf("top-ups: %w", diags)
	}
	for _, t := range all.Topups {
		if !(math.Abs(t.Amount) <= amountMost) {
			return nil, fmt.Errorf("top-ups %s: %q: amount is over a milliard", path, t.ID)
		}
		among := t.Among
		if among == nil {
			among = all.Among
		}
		list = append(list, credit.TopUp{ID: t.ID, Account: t.Account, Amount: int64(math.Round(t.Amount * 1e6)), Routers: among})
	}
	return list, nil
}
