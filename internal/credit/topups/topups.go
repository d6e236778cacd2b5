// Package topups reads the file of top-ups, in which operators record the payments of customers. docs/credit.md describes
// the file.
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
	// maxFileSize is the maximum size of the file, in bytes.
	maxFileSize = 16 << 20

	// maxAmount is the maximum amount of a top-up, in credits. Up to this amount a number in the file is exact to a
	// millionth.
	maxAmount = 1e9

	// unitsPerCredit is the number of units of credit.TopUp.Amount per credit.
	unitsPerCredit = 1e6
)

// fileContent is the decoded content of the file.
type fileContent struct {
	Routers []string `hcl:"among,optional"` // of the top-ups that name no routers
	TopUps  []topUp  `hcl:"topup,block"`
}

type topUp struct {
	ID      string   `hcl:"id,label"`
	Account string   `hcl:"account"`
	Amount  float64  `hcl:"amount"` // in credits
	Routers []string `hcl:"among,optional"`
}

// Read reads the file, which is in HCL. Errors name the file and, where known, line and column. Read does not check the
// top-ups beyond the bound on their amounts; credit.Ledger.ApplyTopUps does.
func Read(path string) ([]credit.TopUp, error) {
	text, err := readBounded(path)
	if err != nil {
		return nil, fmt.Errorf("top-ups: %w", err)
	}
	parsed, diagnostics := hclparse.NewParser().ParseHCL(text, path)
	if diagnostics.HasErrors() {
		return nil, fmt.Errorf("top-ups: %w", diagnostics)
	}
	var content fileContent
	if diagnostics := gohcl.DecodeBody(parsed.Body, nil, &content); diagnostics.HasErrors() {
		return nil, fmt.Errorf("top-ups: %w", diagnostics)
	}
	var list []credit.TopUp
	for _, t := range content.TopUps {
		if !(math.Abs(t.Amount) <= maxAmount) { // also true for NaN
			return nil, fmt.Errorf("top-ups %s: top-up %q: amount is over a billion credits", path, t.ID)
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

// readBounded reads a file of any kind. It returns an error that names the file if the file cannot be read or is larger
// than maxFileSize.
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
		return nil, fmt.Errorf("%s: file is over %d bytes long", path, maxFileSize)
	}
	return text, nil
}
