package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Every identifier that the architecture page names as `package.Name` or `package.Type.Member` exists.
func TestArchitecturePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	declared := declaredNames(t, "../..")
	named := 0
	for _, match := range regexp.MustCompile("`([a-z]+)\\.([A-Za-z]+(?:\\.[A-Za-z]+)?)`").FindAllStringSubmatch(string(page), -1) {
		names, isPackage := declared[match[1]]
		if !isPackage {
			continue // a file, or a flag
		}
		if named++; !names[match[2]] {
			t.Errorf("the page names %s.%s, which does not exist", match[1], match[2])
		}
	}
	if named < 50 {
		t.Errorf("%d names of the page were looked up, want at least 50", named)
	}
}

// declaredNames returns what the packages below a folder declare, by package name: functions, types, constants and
// variables, and Type.Member for methods and fields.
func declaredNames(t *testing.T, root string) map[string]map[string]bool {
	t.Helper()
	declared := map[string]map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		names := declared[file.Name.Name]
		if names == nil {
			names = map[string]bool{}
			declared[file.Name.Name] = names
		}
		for _, decl := range file.Decls {
			addDeclared(names, decl)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return declared
}

func addDeclared(names map[string]bool, decl ast.Decl) {
	switch d := decl.(type) {
	case *ast.FuncDecl:
		names[receiverPrefix(d)+d.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.TypeSpec:
				names[s.Name.Name] = true
				addMembers(names, s)
			case *ast.ValueSpec:
				for _, name := range s.Names {
					names[name.Name] = true
				}
			}
		}
	}
}

func receiverPrefix(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	receiver := d.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// addMembers adds the fields of a struct and the methods of an interface.
func addMembers(names map[string]bool, s *ast.TypeSpec) {
	var members *ast.FieldList
	switch typ := s.Type.(type) {
	case *ast.StructType:
		members = typ.Fields
	case *ast.InterfaceType:
		members = typ.Methods
	default:
		return
	}
	for _, member := range members.List {
		for _, name := range member.Names {
			names[s.Name.Name+"."+name.Name] = true
		}
	}
}
