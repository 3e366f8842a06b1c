package wireformat

import (
	"go/ast"
	"go/token"
	"strings"
)

// tagKinds maps the keys of struct tags that contain external names to the kind of these names.
var tagKinds = map[string]string{"json": "JSON key", "toml": "TOML key", "expr": "policy variable"}

// collectTags collects the names in struct tags.
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
				c.add(packageKind(kind, f), name, field.Pos())
			}
		}
	})
}

// Kinds of the fields that JSON encodes under their Go names.
const (
	untaggedFieldKind = "JSON key that is a Go field name"
	loadPlanFieldKind = "Go field name in the plan of the load process"
)

// collectUntaggedFields collects the fields that JSON encodes under their Go names: the fields
// without a tag in all structs that have a JSON tag or are contained in such a struct.
func collectUntaggedFields(c *collection) {
	visited := map[ast.Expr]bool{}
	if decl := c.declared(internalFieldType); decl != nil {
		visited[decl.expr] = true
	}
	c.eachNode(func(f *goFile, node ast.Node) {
		if s, ok := node.(*ast.StructType); ok && hasJSONTag(s) {
			c.collectJSONFields(untaggedFieldKind, f, s, visited)
		}
	})
	if decl := c.declared(untaggedJSONType); decl != nil {
		c.collectJSONFields(loadPlanFieldKind, decl.file, decl.expr, map[ast.Expr]bool{})
	}
}

// typeReference names a type that the collector treats specially.
type typeReference struct{ pkg, name string }

// untaggedJSONType is encoded as JSON although it has no tags: the plan for the load
// process. internalFieldType has JSON tags, but its untagged field is set by the code after
// decoding and is never part of the JSON.
var (
	untaggedJSONType  = typeReference{"tools/scaletest", "LoadPlan"}
	internalFieldType = typeReference{"tools/devcluster", "Response"}
)

// declared returns the declaration of a type, or nil in a module without the type's package. A
// package that does not declare the type is reported as an error.
func (c *collection) declared(reference typeReference) *typeDecl {
	p := c.module.packages[reference.pkg]
	if p == nil {
		return nil
	}
	decl := p.types[reference.name]
	if decl == nil {
		c.errorf("%s.%s, which the collector looks up by name, is not declared; was it renamed?",
			reference.pkg, reference.name)
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

// collectJSONFields collects the untagged fields of all structs that a type contains.
func (c *collection) collectJSONFields(kind string, f *goFile, expr ast.Expr, visited map[ast.Expr]bool) {
	if visited[expr] {
		return
	}
	visited[expr] = true
	switch typ := expr.(type) {
	case *ast.StarExpr:
		c.collectJSONFields(kind, f, typ.X, visited)
	case *ast.ArrayType:
		c.collectJSONFields(kind, f, typ.Elt, visited)
	case *ast.MapType:
		c.collectJSONFields(kind, f, typ.Value, visited)
	case *ast.Ident, *ast.SelectorExpr:
		if decl := c.module.typeOf(f, typ); decl != nil && !decl.encodesItself() {
			c.collectJSONFields(kind, decl.file, decl.expr, visited)
		}
	case *ast.StructType:
		for _, field := range typ.Fields.List {
			tag, tagged := structTag(field, "json")
			if tag == "-" {
				continue
			}
			for _, name := range fieldNames(field) {
				if !tagged && len(field.Names) > 0 && token.IsExported(name) {
					c.add(packageKind(kind, f), name, field.Pos())
				}
			}
			c.collectJSONFields(kind, f, field.Type, visited)
		}
	}
}

// encodesItself reports whether the type implements its own JSON encoding.
func (d *typeDecl) encodesItself() bool {
	for _, method := range d.file.pkg.methods[d.name] {
		if method.Name.Name == "MarshalJSON" {
			return true
		}
	}
	return false
}

// internalMapPackages are the packages whose map literals have only internal keys.
var internalMapPackages = map[string]bool{
	logTablePackage: true, ownPackage: true, "internal/machine": true, "internal/tombstone": true,
}

// collectMapKeys collects the constant string keys of composite literals: JSON objects that are
// encoded from maps, and tables of settings.
func collectMapKeys(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		literal, ok := node.(*ast.CompositeLit)
		if !ok || internalMapPackages[f.pkg.dir] {
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
				c.add(packageKind("map key", f), key, pair.Pos())
			}
		}
	})
}
