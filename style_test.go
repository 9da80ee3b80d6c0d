package seamloom_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
	"unicode"
)

// withdrawnWords are words that no declared name may contain. They remain only in struct tags and in
// texts, because network protocols, stored files and settings still use them.
var withdrawnWords = []string{
	"charter", "circuit", "courier", "crumb", "district", "drawer", "expediter", "hatch", "inquiry", "keeper",
	"larder", "menu", "rehearsal", "rota", "stove", "taster", "trouble",
}

// sourceFiles parses all Go files of the module and returns them by path.
func sourceFiles(t *testing.T) (*token.FileSet, map[string]*ast.File) {
	t.Helper()
	set, files := token.NewFileSet(), map[string]*ast.File{}
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		files[filepath.ToSlash(path)] = file
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return set, files
}

// words splits a camel-case name into lower-case words.
func words(name string) []string {
	var words []string
	start := 0
	for i, letter := range name {
		if i > start && unicode.IsUpper(letter) {
			words = append(words, strings.ToLower(name[start:i]))
			start = i
		}
	}
	return append(words, strings.ToLower(name[start:]))
}

// withdrawnWord returns the first withdrawn word that a name contains, in the singular or the plural, or "" if
// the name contains none.
func withdrawnWord(name string) string {
	for _, word := range words(name) {
		for _, withdrawn := range withdrawnWords {
			plural := strings.TrimSuffix(withdrawn, "y") + "ies"
			if word == withdrawn || word == withdrawn+"s" || word == plural {
				return withdrawn
			}
		}
	}
	return ""
}

// TestNoDeclaredNameHasAWithdrawnWord checks the names of all types, functions, fields, parameters, constants and
// variables, except the variables of range clauses.
func TestNoDeclaredNameHasAWithdrawnWord(t *testing.T) {
	set, files := sourceFiles(t)
	for _, file := range files {
		ast.Inspect(file, func(node ast.Node) bool {
			for _, name := range declaredNames(node) {
				if word := withdrawnWord(name.Name); word != "" {
					t.Errorf("%s: the name %s contains the withdrawn word %q", set.Position(name.Pos()), name.Name, word)
				}
			}
			return true
		})
	}
}

// declaredNames returns the names that a syntax node declares. It leaves out range clauses, imports and labels.
func declaredNames(node ast.Node) []*ast.Ident {
	switch declaration := node.(type) {
	case *ast.FuncDecl:
		return []*ast.Ident{declaration.Name}
	case *ast.TypeSpec:
		return []*ast.Ident{declaration.Name}
	case *ast.ValueSpec:
		return declaration.Names
	case *ast.Field:
		return declaration.Names
	case *ast.AssignStmt:
		if declaration.Tok != token.DEFINE {
			return nil
		}
		var names []*ast.Ident
		for _, left := range declaration.Lhs {
			if name, isName := left.(*ast.Ident); isName {
				names = append(names, name)
			}
		}
		return names
	}
	return nil
}

// TestExportedNamesHaveDocComments checks that each exported type, function and method outside of tests
// has a doc comment.
func TestExportedNamesHaveDocComments(t *testing.T) {
	set, files := sourceFiles(t)
	for path, file := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		for _, declaration := range file.Decls {
			switch decl := declaration.(type) {
			case *ast.FuncDecl:
				if decl.Name.IsExported() && decl.Doc == nil {
					t.Errorf("%s: %s has no doc comment", set.Position(decl.Pos()), decl.Name.Name)
				}
			case *ast.GenDecl:
				for _, spec := range decl.Specs {
					named, isType := spec.(*ast.TypeSpec)
					if isType && named.Name.IsExported() && decl.Doc == nil && named.Doc == nil {
						t.Errorf("%s: %s has no doc comment", set.Position(named.Pos()), named.Name.Name)
					}
				}
			}
		}
	}
}
