// Package topups reads the file of top-ups, in which operators record what customers have paid. docs/credit.md
// describes it.
package topups

import (
	"fmt"
	"io"
	"math"
	"os"

	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"hillknot/internal/credit"
)

const (
	// maxFileSize bounds the file, in bytes.
	maxFileSize = 16 << 20

	// maxAmount bounds the credits of a top-up: within it a number in the file is exact to a millionth.
	maxAmount = 1e9

	// unitsPerCredit is how many units of credit.TopUp.Amount a credit has.
	unitsPerCredit = 1e6
)

// file is the content of the file.
type file struct {
	Routers []string `hcl:"among,optional"` // of the top-ups that name none
	TopUps  []topUp  `hcl:"topup,block"`
}

type topUp struct {
	ID      string   `hcl:"id,label"`
	Account string   `hcl:"account"`
	Amount  float64  `hcl:"amount"` // in credits
	Routers []string `hcl:"among,optional"`
}

// Read reads the file, which is HCL. Errors name the file, and if they can, line and column. What the top-ups say is
// for credit.Ledger.ApplyTopUps to check.
func Read(path string) ([]credit.TopUp, error) {
	text, err := readBounded(path)
	if err != nil {
		return nil, fmt.Errorf("top-ups: %w", err)
	}
	parsed, diagnostics := hclparse.NewParser().ParseHCL(text, path)
	if diagnostics.HasErrors() {
		return nil, fmt.Errorf("top-ups: %w", diagnostics)
	}
	var content file
	if diagnostics := gohcl.DecodeBody(parsed.Body, nil, &content); diagnostics.HasErrors() {
		return nil, fmt.Errorf("top-ups: %w", diagnostics)
	}
	var list []credit.TopUp
	for _, t := range content.TopUps {
		if !(math.Abs(t.Amount) <= maxAmount) { // not a number, too
			return nil, fmt.Errorf("top-ups %s: %q: amount is over a milliard", path, t.ID)
		}
		routers := t.Routers
		if routers == nil {
			routers = content.Routers
		}
		list = append(list, credit.TopUp{
			ID:      t.ID,
			Account: t.Account,
			Amount:  int64(math.Round(t.Amount * unitsPerCredit)),
			Routers: routers,
		})
	}
	return list, nil
}

// readBounded reads a file, which may be of any kind, up to maxFileSize. The error names the file.
func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileSize+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxFileSize {
		return nil, fmt.Errorf("%s: over %d bytes", path, maxFileSize)
	}
	return text, nil
}
