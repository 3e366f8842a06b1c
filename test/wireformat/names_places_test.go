package wireformat

import (
	"go/ast"
	"go/token"
	"regexp"
)

// place is a declaration whose string literals leave the process, and which no rule finds.
type place struct {
	kind string
	pkg  string
	// declaration is a function, a method (Type.Method), or a variable or constant.
	declaration string
	// texts also takes literals that do not look like names.
	texts bool
}

// places are the declarations that are named because no rule finds their values. Whoever renames
// one of them renames it here too.
var places = []place{
	{kind: "machine state", pkg: "internal/gateway", declaration: "machineState", texts: true},
	{kind: "status of a compact tombstone", pkg: "internal/tombstone", declaration: "compactStatusCodes"},
	{kind: "required field of a submission", pkg: "internal/job", declaration: "requiredFields"},
	{kind: "bytes sought in a stored record", pkg: "internal/job", declaration: "fragmentsField", texts: true},
	{kind: "bytes sought in a stored record", pkg: "internal/job", declaration: "dependenciesField", texts: true},
	{kind: "pattern of job ids", pkg: "internal/job", declaration: "idPattern", texts: true},
	{kind: "separator in task ids", pkg: "internal/job", declaration: "TaskID", texts: true},
	{kind: "error of the cloud", pkg: "internal/cloud", declaration: "noCapacityReason", texts: true},
	{kind: "word in an error of the state service", pkg: "internal/statekv", declaration: "badRequest"},
	{kind: "rollout state", pkg: "internal/rollout", declaration: "lowerBlockedBy"},
	{kind: "machine status in the cloud", pkg: "emulator", declaration: "SimulatedCloud.Machines"},
	{kind: "machine status in the cloud", pkg: "emulator", declaration: "LocalCloud.Machines"},
	{kind: "name in the checks of a profile", pkg: "tools/scaletest", declaration: "JobClass.checks"},
	{kind: "log level", pkg: "cmd/robinstack", declaration: "configureLogging"},
	{kind: "log field of a task's phase", pkg: "tools/audit", declaration: "phaseFields"},
}

// lowerCaseName matches a name in lower case, as all those of the places are.
var lowerCaseName = regexp.MustCompile(`^[a-z][a-z_-]*$`)

// collectPlaces gathers the literals in the named declarations.
func collectPlaces(c *collection) {
	for _, place := range places {
		p := c.module.packages[place.pkg]
		if p == nil {
			continue // the module of another test
		}
		var node ast.Node
		if _, function := p.function(place.declaration); function != nil {
			node = function
		} else if value, ok := p.constants[place.declaration]; ok {
			node = value.value
		}
		if node == nil {
			c.faultf("%s.%s, which has names of the kind %q, is not declared; was it renamed?",
				place.pkg, place.declaration, place.kind)
			continue
		}
		ast.Inspect(node, func(node ast.Node) bool {
			literal, ok := node.(*ast.BasicLit)
			if ok && literal.Kind == token.STRING {
				text := unquote(literal.Value)
				if place.texts || lowerCaseName.MatchString(text) {
					c.add(place.kind, text, literal.Pos())
				}
			}
			return true
		})
	}
}
