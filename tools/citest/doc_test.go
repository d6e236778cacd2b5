package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// Each package and each exported item outside tests has a doc comment.
func TestEveryExportedItemHasADocComment(t *testing.T) {
	hasPackageDoc := map[string]bool{} // by folder: whether one of its files has a package comment
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == "journal" && filepath.Dir(path) == "../.." ||
			strings.HasPrefix(d.Name(), ".") && len(d.Name()) > 2):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		fileSet := token.NewFileSet()
		file, err := parser.ParseFile(fileSet, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		dir := filepath.Dir(path)
		hasPackageDoc[dir] = hasPackageDoc[dir] || file.Doc != nil
		for _, decl := range file.Decls {
			for _, position := range undocumentedItems(decl) {
				t.Errorf("%s has no doc comment", fileSet.Position(position))
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for dir, documented := range hasPackageDoc {
		if !documented {
			t.Errorf("package in %s has no doc comment", dir)
		}
	}
}

// undocumentedItems returns the positions of the exported items of a declaration that have neither a comment of their own nor
// one of their group.
func undocumentedItems(decl ast.Decl) (positions []token.Pos) {
	switch d := decl.(type) {
	case *ast.FuncDecl:
		if d.Name.IsExported() && d.Doc == nil && exportedReceiver(d) && !standardMethod(d) {
			positions = append(positions, d.Pos())
		}
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.TypeSpec:
				if s.Name.IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil {
					positions = append(positions, s.Pos())
				}
			case *ast.ValueSpec:
				if s.Names[0].IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil {
					positions = append(positions, s.Pos())
				}
			}
		}
	}
	return positions
}

// exportedReceiver reports whether d is a function, or a method of an exported type.
func exportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	receiver := d.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return !ok || name.IsExported()
}

// standardMethod reports whether d is a method whose name and meaning the standard library defines.
func standardMethod(d *ast.FuncDecl) bool {
	switch d.Name.Name {
	case "Error", "String", "Unwrap", "Is", "Len", "Less", "Swap", "Push", "Pop":
		return d.Recv != nil
	}
	return false
}
