package wireformat

import (
	"fmt"
	"go/ast"
	"go/token"
	"maps"
	"slices"
	"strings"
)

// externalName is a name that other processes, operators or stored data depend on, with its
// position in the sources.
type externalName struct {
	kind     string
	name     string
	position string
}

// collection holds the external names of a module by kind. A name that occurs at several positions
// has one entry for each, so that a rename at a single position changes the count.
type collection struct {
	module *module
	names  map[string][]externalName
	errors []string
}

// add records the occurrence of a name.
func (c *collection) add(kind, name string, pos token.Pos) {
	c.names[kind] = append(c.names[kind], externalName{kind, name, c.module.fset.Position(pos).String()})
}

// errorf records that a declaration or value that the collector relies on was not found.
func (c *collection) errorf(format string, args ...any) {
	c.errors = append(c.errors, fmt.Sprintf(format, args...))
}

// collect collects the external names of all kinds from a module.
func collect(m *module) *collection {
	c := &collection{module: m, names: map[string][]externalName{}}
	for _, collectKind := range []func(*collection){
		collectTags, collectUntaggedFields, collectMapKeys, collectServices, collectCalledMethods,
		collectRoutes, collectRequests, collectParameters, collectHeaders, collectStatusCodes,
		collectCommands, collectFlags, collectArguments, collectEnvironment,
		collectConstants, collectStateKeys, collectIdentifierFormats, collectNamedDeclarations,
		collectClusterVersions, collectIntegers, collectLogTable, collectLogCalls, collectDeployedTOML,
	} {
		collectKind(c)
	}
	return c
}

// format returns the names in the format of the list: sorted by kind and name, one name a line.
func (c *collection) format() string {
	var b strings.Builder
	for i, kind := range slices.Sorted(maps.Keys(c.names)) {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "# %s\n", kind)
		var names []string
		for _, found := range c.names[kind] {
			names = append(names, found.name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintln(&b, name)
		}
	}
	return b.String()
}

// parseList parses a list and returns how often it contains each name, by kind.
func parseList(text string) map[string]map[string]int {
	listed := map[string]map[string]int{}
	kind := ""
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		if heading, ok := strings.CutPrefix(line, "# "); ok {
			kind = heading
			listed[kind] = map[string]int{}
		} else if line != "" {
			listed[kind][line]++
		}
	}
	return listed
}

// differences compares a list with the collected names. It returns the errors of the collection,
// and one line for each name that was renamed, added or removed.
func (c *collection) differences(list string) []string {
	listed := parseList(list)
	found := map[string]map[string][]string{}
	for kind, names := range c.names {
		found[kind] = map[string][]string{}
		for _, n := range names {
			found[kind][n.name] = append(found[kind][n.name], n.position)
		}
	}
	report := slices.Clone(c.errors)
	for kind, names := range listed {
		for name, count := range names {
			if places := found[kind][name]; len(places) < count {
				report = append(report, fmt.Sprintf("%s: %q is listed %d times and occurs %d times at %v",
					kind, name, count, len(places), places))
			}
		}
	}
	for kind, names := range found {
		for name, places := range names {
			if count := listed[kind][name]; len(places) > count {
				report = append(report, fmt.Sprintf("%s: %q is listed %d times and occurs %d times at %v",
					kind, name, count, len(places), places))
			}
		}
	}
	slices.Sort(report)
	return report
}

// eachNode calls visit for each syntax node of all packages.
func (c *collection) eachNode(visit func(f *goFile, node ast.Node)) {
	for _, dir := range slices.Sorted(maps.Keys(c.module.packages)) {
		for _, f := range c.module.packages[dir].files {
			ast.Inspect(f.syntax, func(node ast.Node) bool {
				if node != nil {
					visit(f, node)
				}
				return true
			})
		}
	}
}

// packageKind returns the kind of names that is listed separately for the package of f.
func packageKind(kind string, f *goFile) string { return kind + ", " + f.pkg.dir }
