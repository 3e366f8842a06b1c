package wireformat

import (
	"go/ast"
	"go/token"
	"regexp"
)

// namedDeclaration is a declaration whose string literals are external names that no general rule
// finds.
type namedDeclaration struct {
	kind string
	pkg  string
	// declaration is the name of a function, method (Type.Method), variable or constant.
	declaration string
	// allLiterals also collects literals that do not look like names.
	allLiterals bool
}

// namedDeclarations are collected by name because no general rule finds their literals. An entry
// here must be renamed together with its declaration.
var namedDeclarations = []namedDeclaration{
	{kind: "machine state", pkg: "internal/gateway", declaration: "machineState", allLiterals: true},
	{kind: "status of a compact tombstone", pkg: "internal/tombstone", declaration: "compactStatusCodes"},
	{kind: "required field of a submission", pkg: "internal/job", declaration: "requiredFields"},
	{kind: "bytes sought in a stored record", pkg: "internal/job", declaration: "fragmentsField", allLiterals: true},
	{kind: "bytes sought in a stored record", pkg: "internal/job", declaration: "dependenciesField", allLiterals: true},
	{kind: "pattern of job ids", pkg: "internal/job", declaration: "idPattern", allLiterals: true},
	{kind: "separator in task ids", pkg: "internal/job", declaration: "TaskID", allLiterals: true},
	{kind: "error of the cloud", pkg: "internal/cloud", declaration: "noCapacityReason", allLiterals: true},
	{kind: "word in an error of the state service", pkg: "internal/statekv", declaration: "badRequest"},
	{kind: "rollout state", pkg: "internal/rollout", declaration: "lowerBlockedBy"},
	{kind: "machine status in the cloud", pkg: "emulator", declaration: "SimulatedCloud.Machines"},
	{kind: "machine status in the cloud", pkg: "emulator", declaration: "LocalCloud.Machines"},
	{kind: "name in the checks of a profile", pkg: "tools/scaletest", declaration: "JobClass.checks"},
	{kind: "log level", pkg: "cmd/robinstack", declaration: "configureLogging"},
	{kind: "log field of a task's phase", pkg: "tools/audit", declaration: "phaseKeys"},
}

// lowerCaseName matches a name in lower case; the external names in namedDeclarations have this
// form.
var lowerCaseName = regexp.MustCompile(`^[a-z][a-z_-]*$`)

// collectNamedDeclarations collects the literals in namedDeclarations.
func collectNamedDeclarations(c *collection) {
	for _, entry := range namedDeclarations {
		p := c.module.packages[entry.pkg]
		if p == nil {
			continue // a test module without this package
		}
		var node ast.Node
		if _, function := p.function(entry.declaration); function != nil {
			node = function
		} else if value, ok := p.initialValues[entry.declaration]; ok {
			node = value.value
		}
		if node == nil {
			c.errorf("%s.%s, which contains names of the kind %q, is not declared; was it renamed?",
				entry.pkg, entry.declaration, entry.kind)
			continue
		}
		ast.Inspect(node, func(node ast.Node) bool {
			literal, ok := node.(*ast.BasicLit)
			if ok && literal.Kind == token.STRING {
				text := unquote(literal.Value)
				if entry.allLiterals || lowerCaseName.MatchString(text) {
					c.add(entry.kind, text, literal.Pos())
				}
			}
			return true
		})
	}
}
