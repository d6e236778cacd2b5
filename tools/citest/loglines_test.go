package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// The list of docs/operations.md holds each log line of the router, with its level, and the code logs each line of the list.
func TestOperationsPageListsExactlyTheLogLines(t *testing.T) {
	listed, logged := listedLogLines(t, "../../docs/operations.md"), map[logLine]bool{}
	for _, root := range []string{"../../internal", "../../cmd/hillknot"} {
		addLogLines(t, root, logged)
	}
	if len(logged) < 30 {
		t.Errorf("found %d log lines in the code, want at least 30", len(logged))
	}
	for line := range logged {
		if !listed[line] {
			t.Errorf("the page does not list the line %q at level %s", line.message, line.level)
		}
	}
	for line := range listed {
		if !logged[line] {
			t.Errorf("the page lists the line %q at level %s, which the code does not log", line.message, line.level)
		}
	}
}

// logLine identifies a log line by its level and its constant message.
type logLine struct{ level, message string }

// listedLogLines returns the log lines that the page at path lists in a table, whose columns are component, level, messages and
// others.
func listedLogLines(t *testing.T, path string) map[logLine]bool {
	t.Helper()
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "\n## Log lines\n")
	if !found {
		t.Fatal("the page has no section \"Log lines\"")
	}
	listed := map[logLine]bool{}
	for row := range strings.Lines(section) {
		cells := strings.Split(row, "|")
		if len(cells) < 6 {
			continue // not a row of the table
		}
		for _, message := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(cells[3], -1) {
			listed[logLine{strings.TrimSpace(cells[2]), message[1]}] = true
		}
	}
	return listed
}

// addLogLines adds to logged the lines that the packages below a folder log through a variable named log, outside tests.
func addLogLines(t *testing.T, root string, logged map[logLine]bool) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if line, ok := loggedLine(node); ok {
				logged[line] = true
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// loggedLine returns the line that node logs. The result ok reports whether node is a call such as log.Info("message", ...)
// with a literal message.
func loggedLine(node ast.Node) (line logLine, ok bool) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return line, false
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod {
		return line, false
	}
	logger, isName := method.X.(*ast.Ident)
	text, isText := call.Args[0].(*ast.BasicLit)
	if !isName || logger.Name != "log" || !isText {
		return line, false
	}
	message, err := strconv.Unquote(text.Value)
	return logLine{strings.ToLower(method.Sel.Name), message}, err == nil
}
