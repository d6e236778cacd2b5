package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A stamp is never dated into the future, nor before the given earliest time, however far the clocks of the two
// machines are apart.
func TestStampDate(t *testing.T) {
	const now, wall = 1000 * time.Hour, 500_000 * time.Hour
	for _, c := range []struct {
		name                  string
		stamp, earliest, want time.Duration
	}{
		{"clocks agree", wall - 3*time.Second, 0, now - 3*time.Second},
		{"the other clock is an hour ahead", wall + time.Hour, 0, now},
		{"the other clock is an hour behind", wall - time.Hour, now - time.Second, now - time.Second},
		{"3 s ago, after the earliest time", wall - 3*time.Second, now - 5*time.Second, now - 3*time.Second},
		{"long ago, no earliest time", wall - 2000*time.Hour, 0, 1},
		{"an earliest time in the future", wall - time.Hour, now + time.Second, now},
		{"the least possible stamp", math.MinInt64, 0, 1},
		{"the greatest possible stamp", math.MaxInt64, 0, now},
	} {
		if got := Stamp(c.stamp).Date(now, wall, c.earliest); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The monotonic clock never goes back and is far above 0 at the start, and Wall agrees with the system's clock.
func TestNowAndWall(t *testing.T) {
	before := Now()
	if after := Now(); after < before || before < 100*24*time.Hour {
		t.Errorf("monotonic clock read %v, then %v", before, after)
	}
	if d := Wall() - time.Duration(time.Now().UnixNano()); d.Abs() > time.Minute {
		t.Errorf("the wall clock is off by %v", d)
	}
}

// clockFuncs are the functions and methods that read a clock or convert a time to a Unix time.
var clockFuncs = map[string]bool{
	"UnixNano": true, "UnixMilli": true, "UnixMicro": true, "Unix": true,
	"Now": true, "Since": true, "Until": true,
}

// No other package of the router, the decision module or the client library reads a clock of the machine directly.
func TestNoOtherPackageReadsAClock(t *testing.T) {
	// The load tests are not part of the router.
	roots := []string{"../../internal", "../../balancer", "../../cmd/hillknot", "../../cmd/hillknot-simulator", "../../client"}
	for _, root := range roots {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			isSource := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
			if err != nil || d.IsDir() || !isSource || mayReadClock(path) {
				return err
			}
			for _, position := range clockReads(t, path) {
				t.Errorf("%s reads a clock", position)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// mayReadClock reports whether a file belongs to the clock package itself, or to a package that plays another party
// in tests.
func mayReadClock(path string) bool {
	dirs := []string{"internal/clock", "internal/testutil/faultnet", "internal/testutil/fakes", "internal/testutil/timeline"}
	for _, dir := range dirs {
		if strings.Contains(filepath.ToSlash(filepath.Dir(path))+"/", dir+"/") {
			return true
		}
	}
	return false
}

// clockReads returns the positions in a file that use package time to read a clock, or call a method that converts a
// time to a Unix time.
func clockReads(t *testing.T, path string) []string {
	t.Helper()
	var positions []string
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		s, ok := n.(*ast.SelectorExpr)
		if !ok || !clockFuncs[s.Sel.Name] {
			return true
		}
		pkg, isIdent := s.X.(*ast.Ident)
		isTimePkg := isIdent && pkg.Name == "time"
		if isTimePkg || strings.HasPrefix(s.Sel.Name, "Unix") && !(isIdent && (pkg.Name == "net" || pkg.Name == "unix")) {
			positions = append(positions, fileSet.Position(s.Pos()).String())
		}
		return true
	})
	return positions
}
