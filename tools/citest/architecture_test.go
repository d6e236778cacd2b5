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

// The code declares each identifier that the architecture page names as `package.Name` or `package.Type.Member`.
func TestArchitecturePageNamesExistingIdentifiers(t *testing.T) {
	page, err := os.ReadFile("../../docs/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	declared := declaredNames(t, "../..")
	checked := 0
	for _, match := range regexp.MustCompile("`([a-z]+)\\.([A-Za-z]+(?:\\.[A-Za-z]+)?)`").FindAllStringSubmatch(string(page), -1) {
		names, isPackage := declared[match[1]]
		if !isPackage {
			continue // the name of a file or a flag
		}
		if checked++; !names[match[2]] {
			t.Errorf("the page names %s.%s, which the code does not declare", match[1], match[2])
		}
	}
	if checked < 50 {
		t.Errorf("the page names %d identifiers, want at least 50", checked)
	}
}

// declaredNames returns the names that the packages below a folder declare outside tests, by package name: functions, types,
// constants and variables, and Type.Member for methods and fields.
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
			addDeclaredNames(names, decl)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return declared
}

// addDeclaredNames adds the names that a declaration declares.
func addDeclaredNames(names map[string]bool, decl ast.Decl) {
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

// receiverPrefix returns the name of the receiver's type and a dot for a method, and an empty string for a function or a method
// of a generic type.
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

// addMembers adds Type.Member for the named fields of a struct or the methods of an interface.
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
