package wireformat

import (
	"go/ast"
	"go/token"
	"strings"
)

// tagKinds maps the encodings whose struct tags name what leaves a process to the kind of these
// names.
var tagKinds = map[string]string{"json": "JSON key", "toml": "TOML key", "expr": "policy variable"}

// collectTags gathers the names in struct tags.
func collectTags(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		field, ok := node.(*ast.Field)
		if !ok {
			return
		}
		for encoding, kind := range tagKinds {
			tag, ok := structTag(field, encoding)
			name, _, _ := strings.Cut(tag, ",")
			if ok && name != "-" && name != "" {
				c.add(in(kind, f), name, field.Pos())
			}
		}
	})
}

// Kinds of fields that JSON writes under their Go names.
const (
	goFieldKey    = "JSON key that is a Go field name"
	loadPlanField = "Go field name in the plan of the load process"
)

// collectUntaggedFields gathers the fields that JSON writes under their Go names: those without
// a tag of every struct that another one with JSON tags contains.
func collectUntaggedFields(c *collection) {
	visited := map[ast.Expr]bool{}
	if decl := c.declared(decodedOnly); decl != nil {
		visited[decl.expr] = true
	}
	c.eachNode(func(f *goFile, node ast.Node) {
		if s, ok := node.(*ast.StructType); ok && hasJSONTag(s) {
			c.visitJSON(goFieldKey, f, s, visited)
		}
	})
	if decl := c.declared(untaggedRoot); decl != nil {
		c.visitJSON(loadPlanField, decl.file, decl.expr, map[ast.Expr]bool{})
	}
}

// typeReference names a type that the collector looks for.
type typeReference struct{ pkg, name string }

// untaggedRoot is a type without any tag that is written as JSON: the plan for the process of the
// workers and users. decodedOnly is a type with tags and a field without one that is set by the
// code and never part of JSON.
var (
	untaggedRoot = typeReference{"tools/scaletest", "LoadPlan"}
	decodedOnly  = typeReference{"tools/devcluster", "Response"}
)

// declared returns the declaration of a type, or nil in a module without its package. A package
// without the type is a fault.
func (c *collection) declared(reference typeReference) *typeDecl {
	p := c.module.packages[reference.pkg]
	if p == nil {
		return nil
	}
	decl := p.types[reference.name]
	if decl == nil {
		c.faultf("%s.%s is not declared; was it renamed?", reference.pkg, reference.name)
	}
	return decl
}

// hasJSONTag reports whether a field of the struct has a JSON tag.
func hasJSONTag(s *ast.StructType) bool {
	for _, field := range s.Fields.List {
		if _, ok := structTag(field, "json"); ok {
			return true
		}
	}
	return false
}

// visitJSON gathers the untagged fields of the structs in a type.
func (c *collection) visitJSON(kind string, f *goFile, expr ast.Expr, visited map[ast.Expr]bool) {
	if visited[expr] {
		return
	}
	visited[expr] = true
	switch typ := expr.(type) {
	case *ast.StarExpr:
		c.visitJSON(kind, f, typ.X, visited)
	case *ast.ArrayType:
		c.visitJSON(kind, f, typ.Elt, visited)
	case *ast.MapType:
		c.visitJSON(kind, f, typ.Value, visited)
	case *ast.Ident, *ast.SelectorExpr:
		if decl := c.module.typeOf(f, typ); decl != nil && !decl.encodesItself() {
			c.visitJSON(kind, decl.file, decl.expr, visited)
		}
	case *ast.StructType:
		for _, field := range typ.Fields.List {
			tag, tagged := structTag(field, "json")
			if tag == "-" {
				continue
			}
			for _, name := range fieldNames(field) {
				if !tagged && len(field.Names) > 0 && token.IsExported(name) {
					c.add(in(kind, f), name, field.Pos())
				}
			}
			c.visitJSON(kind, f, field.Type, visited)
		}
	}
}

// encodesItself reports whether the type has its own JSON encoding.
func (d *typeDecl) encodesItself() bool {
	for _, method := range d.file.pkg.methods[d.name] {
		if method.Name.Name == "MarshalJSON" {
			return true
		}
	}
	return false
}

// internalMaps are packages whose map literals have keys for their own use only.
var internalMaps = map[string]bool{
	logTablePackage: true, ownPackage: true, "internal/machine": true, "internal/tombstone": true,
}

// collectMapKeys gathers the constant string keys of composite literals: JSON objects that are
// written as maps, and tables of settings.
func collectMapKeys(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		literal, ok := node.(*ast.CompositeLit)
		if !ok || internalMaps[f.pkg.dir] {
			return
		}
		for _, element := range literal.Elts {
			pair, ok := element.(*ast.KeyValueExpr)
			if !ok {
				continue
			}
			_, field := pair.Key.(*ast.Ident)
			if _, isMap := literal.Type.(*ast.MapType); field && !isMap {
				continue
			}
			if key, ok := c.module.stringValue(f, pair.Key); ok && key != "" {
				c.add(in("map key", f), key, pair.Pos())
			}
		}
	})
}
