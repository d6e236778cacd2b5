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

// Every package and every exported item outside tests has a doc comment.
func TestEveryExportedItemHasADocComment(t *testing.T) {
	packages := map[string]bool{} // by folder: whether a file has a package comment
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == "journal" && filepath.Dir(path) == "../.." || strings.HasPrefix(d.Name(), ".") && len(d.Name()) > 2):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		dir := filepath.Dir(path)
		packages[dir] = packages[dir] || file.Doc != nil
		for _, decl := range file.Decls {
			for _, at := range undocumented(decl) {
				t.Errorf("%s has no doc comment", files.Position(at))
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for dir, documented := range packages {
		if !documented {
			t.Errorf("package in %s has no doc comment", dir)
		}
	}
}

// undocumented returns the positions of exported items without a comment, be it their own or that of their group.
func undocumented(decl ast.Decl) (places []token.Pos) {
	switch d := decl.(type) {
	case *ast.FuncDecl:
		if d.Name.IsExported() && d.Doc == nil && exportedReceiver(d) && !standardMethod(d) {
			places = append(places, d.Pos())
		}
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.TypeSpec:
				if s.Name.IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil {
					places = append(places, s.Pos())
				}
			case *ast.ValueSpec:
				if s.Names[0].IsExported() && d.Doc == nil && s.Doc == nil && s.Comment == nil {
					places = append(places, s.Pos())
				}
			}
		}
	}
	return places
}

// exportedReceiver reports whether a function has no receiver, or one of an exported type.
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

// standardMethod reports whether a method has a name and a meaning that the standard library defines.
func standardMethod(d *ast.FuncDecl) bool {
	switch d.Name.Name {
	case "Error", "String", "Unwrap", "Is", "Len", "Less", "Swap", "Push", "Pop":
		return d.Recv != nil
	}
	return false
}
