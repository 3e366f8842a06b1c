package wireformat

import (
	"go/ast"
	"go/token"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Packages that the general rules for strings leave out.
const (
	logTablePackage  = "internal/logline"
	logReaderPackage = "tools/audit"
	ownPackage       = "test/wireformat"
)

// nameLike matches a string that is a name, not a text, a number or a path.
var nameLike = regexp.MustCompile(`^[A-Za-z][\w-]*:?$`)

// internalConstants lists constant values, by package, that never leave the process.
var internalConstants = map[string][]string{
	"emulator":           {"cancel", "submit"},
	"internal/gateway":   {"on-demand", "spot"},
	"internal/scheduler": {"open"},
}

// collectConstants collects the values of string constants that look like names: states, causes,
// kinds, verbs and the like. The Go names of the constants may change, the values must not.
func collectConstants(c *collection) {
	c.eachConstant(func(f *goFile, name *ast.Ident, value ast.Expr) {
		literal, ok := value.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING || f.pkg.dir == ownPackage {
			return
		}
		text := unquote(literal.Value)
		if nameLike.MatchString(text) && !slices.Contains(internalConstants[f.pkg.dir], text) {
			c.add(packageKind("string constant", f), text, name.Pos())
		}
	})
}

// eachConstant calls visit for each constant with an explicit value, including local constants.
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

// rootPrefixPackage declares rootPrefix, the constant with the common prefix of all keys.
const (
	rootPrefixPackage = "internal/statekv"
	rootPrefix        = "RootPrefix"
)

// collectStateKeys collects the constants that are keys or key prefixes in the state service.
func collectStateKeys(c *collection) {
	p := c.module.packages[rootPrefixPackage]
	if p == nil {
		return
	}
	root, ok := c.module.stringValue(p.files[0], ast.NewIdent(rootPrefix))
	if !ok {
		c.errorf("%s.%s, the prefix of all keys, is not declared; was it renamed?", rootPrefixPackage, rootPrefix)
		return
	}
	c.eachConstant(func(f *goFile, name *ast.Ident, value ast.Expr) {
		if key, ok := c.module.stringValue(f, value); ok && strings.HasPrefix(key, root) {
			c.add(packageKind("state key", f), key, name.Pos())
		}
	})
}

// integerKinds maps each kind of integer constant that leaves the process to the pattern of its Go
// names.
var integerKinds = map[string]*regexp.Regexp{
	"schema number": regexp.MustCompile(`(?i)schema$`),
	"exit code":     regexp.MustCompile(`^exit[A-Z]`),
}

// collectIntegers collects schema numbers and exit codes.
func collectIntegers(c *collection) {
	c.eachConstant(func(f *goFile, name *ast.Ident, value ast.Expr) {
		literal, ok := value.(*ast.BasicLit)
		for kind, form := range integerKinds {
			if ok && literal.Kind == token.INT && form.MatchString(name.Name) {
				c.add(packageKind(kind, f), literal.Value, name.Pos())
			}
		}
	})
}

// gateTable identifies the table of feature gates in internal/rollout. The position of a gate in
// the table is its cluster version, counted from 1.
var gateTable = struct{ pkg, variable, field string }{"internal/rollout", "FeatureGates", "Feature"}

// collectClusterVersions collects the number of each cluster version with the feature that it adds.
func collectClusterVersions(c *collection) {
	p := c.module.packages[gateTable.pkg]
	if p == nil {
		return
	}
	table, ok := p.initialValues[gateTable.variable].value.(*ast.CompositeLit)
	if !ok {
		c.errorf("%s.%s, the table of feature gates, is not declared; was it renamed?",
			gateTable.pkg, gateTable.variable)
		return
	}
	for i, element := range table.Elts {
		gate, ok := element.(*ast.CompositeLit)
		if !ok {
			continue
		}
		for _, pair := range gate.Elts {
			pair, ok := pair.(*ast.KeyValueExpr)
			if !ok || typeName(pair.Key) != gateTable.field {
				continue
			}
			feature, _ := c.module.stringValue(p.initialValues[gateTable.variable].file, pair.Value)
			c.add("cluster version and the feature that it adds", strconv.Itoa(i+1)+" "+feature, pair.Pos())
		}
	}
}

// identifierFormat matches a format string that builds an identifier.
var identifierFormat = regexp.MustCompile(`^[^ /%]*%[^ ]*$`)

// collectIdentifierFormats collects the formats of stored keys and identifiers. Package config is
// left out: its formats only name settings in error messages.
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
			c.add(packageKind("identifier format", f), format, call.Pos())
		}
	})
}
