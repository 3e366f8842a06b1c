package wireformat

import (
	"go/ast"
	"go/token"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Packages whose strings are collected by kinds of their own.
const (
	logTablePackage = "internal/logline"
	logReader       = "tools/audit"
	ownPackage      = "test/wireformat"
)

// nameLike matches a string that is a name rather than a text, a number or a path.
var nameLike = regexp.MustCompile(`^[A-Za-z][\w-]*:?$`)

// internalConstants are values of constants, by package, that stay in the process.
var internalConstants = map[string][]string{
	"emulator":           {"cancel", "submit"},
	"internal/gateway":   {"on-demand", "spot"},
	"internal/scheduler": {"open"},
}

// collectConstants gathers the values of string constants that look like names: states, causes,
// kinds, verbs and the like. Their Go names may change, their values may not.
func collectConstants(c *collection) {
	c.eachConstant(func(f *goFile, name *ast.Ident, value ast.Expr) {
		literal, ok := value.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING || f.pkg.dir == ownPackage {
			return
		}
		text := unquote(literal.Value)
		if nameLike.MatchString(text) && !slices.Contains(internalConstants[f.pkg.dir], text) {
			c.add(in("string constant", f), text, name.Pos())
		}
	})
}

// eachConstant visits the constants that have a value of their own, local ones too.
func (c *collection) eachConstant(visit func(f *goFile, name *ast.Ident, value ast.Expr)) {
	c.eachNode(func(f *goFile, node ast.Node) {
		group, ok := node.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			return
		}
		for _, spec := range group.Specs {
			if spec, ok := spec.(*ast.ValueSpec); ok && len(spec.Values) == len(spec.Names) {
				for i, name := range spec.Names {
					visit(f, name, spec.Values[i])
				}
			}
		}
	})
}

// rootPrefixPackage and rootPrefix are where the prefix of all keys is declared.
const (
	rootPrefixPackage = "internal/statekv"
	rootPrefix        = "RootPrefix"
)

// collectStateKeys gathers the constants that are keys or prefixes of the state service.
func collectStateKeys(c *collection) {
	p := c.module.packages[rootPrefixPackage]
	if p == nil {
		return
	}
	root, ok := c.module.stringValue(p.files[0], ast.NewIdent(rootPrefix))
	if !ok {
		c.faultf("%s.%s, the prefix of all keys, is not declared", rootPrefixPackage, rootPrefix)
		return
	}
	c.eachConstant(func(f *goFile, name *ast.Ident, value ast.Expr) {
		if key, ok := c.module.stringValue(f, value); ok && strings.HasPrefix(key, root) {
			c.add(in("state key", f), key, name.Pos())
		}
	})
}

// integerKinds are the kinds of integer constants on the wire, by the form of their Go names.
var integerKinds = map[string]*regexp.Regexp{
	"schema number": regexp.MustCompile(`(?i)schema$`),
	"exit code":     regexp.MustCompile(`^exit[A-Z]`),
}

// collectIntegers gathers schema numbers and exit codes.
func collectIntegers(c *collection) {
	c.eachConstant(func(f *goFile, name *ast.Ident, value ast.Expr) {
		literal, ok := value.(*ast.BasicLit)
		for kind, form := range integerKinds {
			if ok && literal.Kind == token.INT && form.MatchString(name.Name) {
				c.add(in(kind, f), literal.Value, name.Pos())
			}
		}
	})
}

// featureGates is the table of internal/rollout whose order numbers the cluster versions.
var featureGates = struct{ pkg, variable, field string }{"internal/rollout", "FeatureGates", "Feature"}

// collectClusterVersions gathers the number of each cluster version with the feature it adds.
func collectClusterVersions(c *collection) {
	p := c.module.packages[featureGates.pkg]
	if p == nil {
		return
	}
	table, ok := p.constants[featureGates.variable].value.(*ast.CompositeLit)
	if !ok {
		c.faultf("%s.%s is not declared", featureGates.pkg, featureGates.variable)
		return
	}
	for i, element := range table.Elts {
		gate, ok := element.(*ast.CompositeLit)
		if !ok {
			continue
		}
		for _, pair := range gate.Elts {
			pair, ok := pair.(*ast.KeyValueExpr)
			if !ok || typeName(pair.Key) != featureGates.field {
				continue
			}
			feature, _ := c.module.stringValue(p.constants[featureGates.variable].file, pair.Value)
			c.add("cluster version and the feature that it adds", strconv.Itoa(i+1)+" "+feature, pair.Pos())
		}
	}
}

// identifierFormat matches a format that makes an identifier.
var identifierFormat = regexp.MustCompile(`^[^ /%]*%[^ ]*$`)

// collectIdentifierFormats gathers the formats of keys and identifiers that are stored. Those of
// package config name fields in errors.
func collectIdentifierFormats(c *collection) {
	c.eachNode(func(f *goFile, node ast.Node) {
		call, ok := node.(*ast.CallExpr)
		if !ok || qualifiedName(call.Fun) != "fmt.Sprintf" || len(call.Args) == 0 {
			return
		}
		if !strings.HasPrefix(f.pkg.dir, "internal/") || f.pkg.dir == "internal/config" {
			return
		}
		if format, ok := c.module.stringValue(f, call.Args[0]); ok && identifierFormat.MatchString(format) {
			c.add(in("identifier format", f), format, call.Pos())
		}
	})
}
