package daemon

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
	"testing"
)

// receiverFiles are the files with methods that other daemons call by net/rpc.
var receiverFiles = []string{
	"notice.go", "../config/revision/receiver.go", "../guard/receiver.go", "../fleet/membership/receiver.go", "../limit/enforcer/receiver.go",
	"../fleet/departure/keeper/receiver.go",
}

// TestCalledMethodsRecover checks that each method that serves calls defers mesh.Recover first. Without it, one message
// that makes a method panic ends the process.
func TestCalledMethodsRecover(t *testing.T) {
	methods := 0
	for _, name := range receiverFiles {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			f, ok := declaration.(*ast.FuncDecl)
			if !ok || f.Recv == nil || !f.Name.IsExported() || !servesCalls(f) {
				continue
			}
			methods++
			if !defersRecover(f) {
				t.Errorf("%s: %s does not defer mesh.Recover", name, f.Name.Name)
			}
		}
	}
	if methods < len(receiverFiles) {
		t.Errorf("found %d methods in %d files", methods, len(receiverFiles))
	}
}

// servesCalls reports whether f has the form of a net/rpc method of a receiver.
func servesCalls(f *ast.FuncDecl) bool {
	star, ok := f.Recv.List[0].Type.(*ast.StarExpr)
	if !ok {
		return false
	}
	name, ok := star.X.(*ast.Ident)
	return ok && strings.HasSuffix(name.Name, "Receiver") && f.Type.Params.NumFields() == 2 && f.Type.Results.NumFields() == 1
}

func defersRecover(f *ast.FuncDecl) bool {
	first, ok := f.Body.List[0].(*ast.DeferStmt)
	if !ok {
		return false
	}
	called, ok := first.Call.Fun.(*ast.SelectorExpr)
	return ok && called.Sel.Name == "Recover"
}
